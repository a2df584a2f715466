//! Several entries that enforce the quota of one account, in virtual time: requests arrive at
//! random, entries claim units in a log, and the fleet counts what is
//! admitted in each window.

use std::collections::VecDeque;
use std::time::Duration;

use bamboodoor::router::accounts::Account;
use bamboodoor::router::accounts::AccountEntry;
use bamboodoor::router::accounts::Accounts;
use bamboodoor::router::accounts::Quota;
use bamboodoor::router::accounts::QuotaUnit;
use bamboodoor::router::lease::Lease;
use bamboodoor::router::lease::LeaseSettings;
use bamboodoor::router::lease::RenewalResponse;
use bamboodoor::router::quota_claims::ClaimBatch;
use bamboodoor::router::quota_claims::EntryIncarnation;
use bamboodoor::router::quotas::QuotaSettings;
use bamboodoor::router::quotas::Quotas;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::harness::ms;

/// Name of the account.
pub const ACCOUNT: &str = "account";
/// What may be admitted beyond the quota.
pub const SETTINGS: QuotaSettings =
    QuotaSettings { window: Duration::from_secs(8), tolerance: 0.1, allowance: 190_000.0 };
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time from an append to the moment from which reads return it.
const APPEND_TIME: Duration = Duration::from_millis(20);
/// Longest time for which a request waits for its claim.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(500);
/// Time from a claim to the moment at which it is read back.
const READ_TIME: Duration = Duration::from_millis(60);
/// Interval of the renewals of the membership.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the store drops a member.
const MEMBER_TTL: Duration = Duration::from_secs(4);
/// Time for which the log retains records.
const RETENTION: Duration = Duration::from_secs(20);

/// Shape of a fleet.
#[derive(Debug, Clone)]
pub struct QuotaFleetSettings {
    /// Weight of each entry in the distribution of the requests.
    pub weights: Vec<f64>,
    /// Units a second of the quota; the burst is one second of it.
    pub rate_per_s: f64,
    /// Smallest and largest number of units of a request.
    pub units: (f64, f64),
    /// True if all requests arrive at equal intervals, at each entry at the same moments.
    pub same_phases: bool,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Default for QuotaFleetSettings {
    fn default() -> Self {
        Self {
            weights: uneven(26),
            rate_per_s: 150_000.0,
            units: (3_300.0, 5_300.0),
            same_phases: false,
            seed: 1,
        }
    }
}

/// Returns weights of entries of which the busiest gets four times what the idlest gets.
pub fn uneven(entries: usize) -> Vec<f64> {
    (0..entries).map(|entry| 1.0 + 3.0 * entry as f64 / (entries - 1) as f64).collect()
}

/// Returns the account with this quota, its burst one second of the rate.
pub fn accounts(rate_per_s: f64) -> Accounts {
    let unit = QuotaUnit::Tokens { per_plain_request: 200 };
    let quota = Quota { unit, rate_per_s, burst: rate_per_s };
    let account = Account { name: ACCOUNT.into(), priority: None, quota: Some(quota) };
    Accounts::new(vec![AccountEntry { account, keys: Vec::new() }]).expect("they are valid")
}

/// Entry of the fleet.
struct Member {
    quotas: Quotas,
    lease: Lease,
    next_offset: usize,
    /// When it reads the log next; `None` if it has no cause to.
    read_at: Option<Duration>,
    /// Time after which the phases of its tasks begin.
    phase: Duration,
    is_running: bool,
    is_frozen: bool,
    reaches_store: bool,
    /// When the store last heard of it; `None` before.
    renewed_at: Option<Duration>,
    /// Requests that wait for a claim.
    waiting: Vec<Waiting>,
    /// Units that have arrived towards the next request, with equal phases.
    accumulated: f64,
}

/// Request that was admitted or refused.
#[derive(Debug, Clone, Copy)]
struct Decided {
    at: Duration,
    units: f64,
}

/// Request that waits for a claim.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    units: f64,
    is_owed: bool,
    until: Duration,
}

/// Entries, log and group in virtual time.
pub struct QuotaFleet {
    settings: QuotaFleetSettings,
    members: Vec<Member>,
    log: Vec<(Duration, ClaimBatch)>,
    version: u64,
    accounts: Accounts,
    rng: ChaCha8Rng,
    next_entry: u64,
    pub now: Duration,
    admitted: VecDeque<Decided>,
    /// Units that a single bucket of the quota would admit now.
    owed_credit: f64,
    /// Units that a single bucket of the quota would have admitted.
    pub owed_units: f64,
    /// The part of them that was refused.
    pub lost_units: f64,
    /// Units that were admitted.
    pub admitted_units: f64,
    /// Number of refused requests.
    pub refused: usize,
    /// Appended records and reads.
    pub store_calls: usize,
}

impl QuotaFleet {
    /// Creates a fleet that has just been started, with the given quota in force.
    pub fn new(settings: QuotaFleetSettings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let rate = settings.rate_per_s;
        let mut fleet = Self {
            members: Vec::new(),
            log: Vec::new(),
            version: 1,
            accounts: accounts(rate),
            rng,
            next_entry: 0,
            now: ms(1_000),
            admitted: VecDeque::new(),
            owed_credit: rate,
            owed_units: 0.0,
            lost_units: 0.0,
            admitted_units: 0.0,
            refused: 0,
            store_calls: 0,
            settings,
        };
        for _ in 0..fleet.settings.weights.len() {
            let member = fleet.new_member();
            fleet.members.push(member);
        }
        fleet
    }

    /// A fleet that has run without requests for long enough to be settled.
    pub fn settled(settings: QuotaFleetSettings) -> Self {
        let mut fleet = Self::new(settings);
        fleet.run(Duration::from_secs(14), 0.0);
        fleet
    }

    fn new_member(&mut self) -> Member {
        self.next_entry += 1;
        let phase = self.rng.random_range(Duration::ZERO..RENEWAL_INTERVAL);
        let mut quotas = Quotas::new(Some(SETTINGS), EntryIncarnation(self.next_entry));
        quotas.configure(self.now, self.version, &self.accounts);
        Member {
            quotas,
            lease: Lease::new(LeaseSettings::default()),
            next_offset: 0,
            read_at: None,
            phase: if self.settings.same_phases { Duration::ZERO } else { phase },
            is_running: true,
            is_frozen: false,
            reaches_store: true,
            renewed_at: None,
            waiting: Vec::new(),
            accumulated: 0.0,
        }
    }

    /// Adds an entry with this weight.
    pub fn add(&mut self, weight: f64) {
        self.settings.weights.push(weight);
        let member = self.new_member();
        self.members.push(member);
    }

    /// Kills an entry.
    pub fn kill(&mut self, entry: usize) {
        self.members[entry].is_running = false;
    }

    /// Starts an entry that was killed.
    pub fn restart(&mut self, entry: usize) {
        let renewed_at = self.members[entry].renewed_at;
        self.members[entry] = self.new_member();
        self.members[entry].renewed_at = renewed_at;
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Cuts an entry off from the store, or ends that.
    pub fn set_reaches_store(&mut self, entry: usize, reaches_store: bool) {
        self.members[entry].reaches_store = reaches_store;
    }

    /// Freezes an entry, or wakes it.
    pub fn set_frozen(&mut self, entry: usize, is_frozen: bool) {
        self.members[entry].is_frozen = is_frozen;
    }

    /// Has all requests go to one entry from now on.
    pub fn send_all_to(&mut self, entry: usize) {
        self.settings.weights.iter_mut().for_each(|weight| *weight = 0.0);
        self.settings.weights[entry] = 1.0;
    }

    /// Applies a configuration with another quota everywhere. Windows count from now on.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.version += 1;
        self.settings.rate_per_s = rate_per_s;
        self.accounts = accounts(rate_per_s);
        for member in &mut self.members {
            member.quotas.configure(self.now, self.version, &self.accounts);
        }
        self.admitted.clear();
    }

    /// Applies a configuration without the account everywhere.
    pub fn remove_account(&mut self) {
        self.version += 1;
        for member in &mut self.members {
            member.quotas.configure(self.now, self.version, &Accounts::default());
        }
    }

    /// Applies the last quota again, in a new version of the configuration.
    pub fn restore_account(&mut self) {
        self.version += 1;
        for member in &mut self.members {
            member.quotas.configure(self.now, self.version, &self.accounts);
        }
    }

    /// Plays this long, with requests of `load` times the quota.
    pub fn run(&mut self, duration: Duration, load: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for entry in 0..self.members.len() {
                if self.members[entry].is_running && !self.members[entry].is_frozen {
                    self.run_tasks(entry);
                }
            }
            let rate = self.settings.rate_per_s;
            self.owed_credit = (self.owed_credit + rate * STEP.as_secs_f64()).min(rate);
            self.arrive(load);
        }
    }

    fn run_tasks(&mut self, entry: usize) {
        let since = self.now.saturating_sub(self.members[entry].phase);
        if is_due(since, RENEWAL_INTERVAL) {
            self.renew(entry);
        }
        if self.members[entry].quotas.needs_first_read() {
            self.members[entry].read_at.get_or_insert(self.now);
        }
        let may_claim = self.members[entry].read_at.is_none();
        let claims = may_claim.then(|| self.members[entry].quotas.take_claims()).flatten();
        if let Some(claims) = claims
            && self.members[entry].reaches_store
        {
            self.store_calls += 1;
            self.log.push((self.now + APPEND_TIME, claims));
            self.members[entry].read_at.get_or_insert(self.now + READ_TIME);
        }
        let is_due = self.members[entry].read_at.is_some_and(|at| at <= self.now);
        if is_due && self.members[entry].reaches_store {
            self.members[entry].read_at = None;
            self.read_log(entry);
            self.decide_waiting(entry, true);
        } else {
            self.decide_waiting(entry, false);
        }
    }

    fn renew(&mut self, entry: usize) {
        let now = self.now;
        if self.members[entry].reaches_store {
            self.members[entry].renewed_at = Some(now);
            let is_member =
                |member: &&Member| member.renewed_at.is_some_and(|at| now < at + MEMBER_TTL);
            let members = self.members.iter().filter(is_member).count();
            let share = 1.0 / members as f64;
            let response = RenewalResponse { generation: 1, holds: false, share };
            self.members[entry].lease.record_renewal(now, now, response);
        }
        let member = &mut self.members[entry];
        let share = member.lease.share(now);
        member.quotas.set_equal_share(now, share);
    }

    fn read_log(&mut self, entry: usize) {
        let member = &mut self.members[entry];
        let now = self.now;
        let written = self.log.iter().skip(member.next_offset);
        let written = written.take_while(|(at, _)| *at <= now);
        let read = written.clone().count();
        let claims = written.filter(|(at, _)| now < *at + RETENTION);
        let claims: Vec<ClaimBatch> = claims.map(|(_, claims)| claims.clone()).collect();
        member.next_offset += read;
        self.store_calls += 1;
        member.quotas.record_claims(now, claims);
        member.quotas.record_log_read(now);
    }

    fn arrive(&mut self, load: f64) {
        let total: f64 = self.settings.weights.iter().sum();
        let units_per_step = load * self.settings.rate_per_s * STEP.as_secs_f64();
        let (smallest, largest) = self.settings.units;
        let mean_units = (smallest + largest) / 2.0;
        for entry in 0..self.members.len() {
            let expected = units_per_step * self.settings.weights[entry] / total / mean_units;
            let arrivals = self.arrivals(entry, expected);
            for _ in 0..arrivals {
                let units = self.rng.random_range(smallest..=largest);
                self.decide(entry, units);
            }
        }
    }

    fn arrivals(&mut self, entry: usize, expected: f64) -> usize {
        if self.settings.same_phases {
            let accumulated = self.members[entry].accumulated + expected;
            self.members[entry].accumulated = accumulated.fract();
            return accumulated as usize;
        }
        let mut arrivals = 0;
        let mut remaining = 1.0 - (-expected).exp();
        while self.rng.random::<f64>() < remaining {
            arrivals += 1;
            remaining = 1.0 - (-expected).exp();
        }
        arrivals
    }

    fn decide(&mut self, entry: usize, units: f64) {
        let member = &mut self.members[entry];
        if !member.is_running || member.is_frozen {
            return;
        }
        let is_owed = self.owed_credit >= units;
        if is_owed {
            self.owed_credit -= units;
            self.owed_units += units;
        }
        if member.quotas.awaits_claim(self.now, ACCOUNT, units) {
            let until = self.now + MAX_CLAIM_WAIT;
            member.waiting.push(Waiting { units, is_owed, until });
            return;
        }
        self.admit(entry, units, is_owed);
    }

    /// Decides the waiting requests of an entry whose wait is over: all of them after a read
    /// of the log.
    fn decide_waiting(&mut self, entry: usize, has_read: bool) {
        for waiting in std::mem::take(&mut self.members[entry].waiting) {
            let is_over = waiting.until <= self.now;
            if !has_read && !is_over {
                self.members[entry].waiting.push(waiting);
                continue;
            }
            let quotas = &mut self.members[entry].quotas;
            if !is_over && quotas.awaits_claim(self.now, ACCOUNT, waiting.units) {
                self.members[entry].waiting.push(waiting);
            } else {
                self.admit(entry, waiting.units, waiting.is_owed);
            }
        }
    }

    fn admit(&mut self, entry: usize, units: f64, is_owed: bool) {
        let member = &mut self.members[entry];
        if member.quotas.admit(self.now, ACCOUNT, units).is_ok() {
            self.admitted_units += units;
            self.admitted.push_back(Decided { at: self.now, units });
            return;
        }
        self.refused += 1;
        if is_owed {
            self.lost_units += units;
        }
    }

    /// Part of what a single bucket would have admitted that was refused.
    pub fn lost_part(&self) -> f64 {
        self.lost_units / self.owed_units
    }

    /// What was admitted, as a part of what a single bucket would have admitted.
    pub fn used_part(&self) -> f64 {
        self.admitted_units / self.owed_units
    }

    /// Largest number of units admitted in any window, as a part of what the users allow.
    pub fn largest_window(&self) -> f64 {
        let allowed = (self.settings.rate_per_s * 8.0 + self.settings.rate_per_s) * 1.1 + 190_000.0;
        let mut in_window = VecDeque::new();
        let mut sum = 0.0;
        let mut largest = 0.0_f64;
        for decided in &self.admitted {
            in_window.push_back(*decided);
            sum += decided.units;
            while let Some(oldest) = in_window.front().filter(|it| it.at + ms(8_000) < decided.at) {
                sum -= oldest.units;
                in_window.pop_front();
            }
            largest = largest.max(sum);
        }
        largest / allowed
    }
}

fn is_due(since: Duration, interval: Duration) -> bool {
    since.as_millis() / interval.as_millis()
        != since.saturating_sub(STEP).as_millis() / interval.as_millis()
}
