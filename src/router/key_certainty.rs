//! How long an entry may accept the keys of client accounts without news of the configuration.
//!
//! A key must be refused within a time limit after a configuration has withdrawn it, also by an
//! entry that cannot read configurations. So an entry keeps the time up to which it knows that
//! no newer configuration exists, and accepts keys only until the limit has passed since then.
//!
//! That time is when a read of the feed was sent whose response left nothing newer unread. A
//! read that the store held back for its whole wait, and answered without a record, proves more:
//! the store answers as soon as there is a record, so there was none until the end of the wait.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::OTHER_ENTRY_RETRY_AFTER;
use crate::router::Router;
use crate::router::accounts::ApiKey;
use crate::router::accounts::Caller;
use crate::router::configuration::Configuration;

/// Part of the limit that is kept back, since clocks run at different speeds and waits are
/// rounded to milliseconds.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Time before the end of the certainty by which a read must have ended: one that gets no
/// response, a pause, and another one.
const REREAD_TIME: Duration = Duration::from_millis(1_700);
/// Shortest wait that a read asks of the store, so that reads do not follow each other at once.
const MIN_POLL: Duration = Duration::from_millis(100);

/// Complete read of the feed of configurations: it left nothing newer unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// When the read was sent; of a read in several pages, when the first was.
    pub requested_at: Duration,
    /// When its response was complete.
    pub received_at: Duration,
    /// How long the store was to hold back the response until there is a record; zero if there
    /// was one.
    pub fruitless_wait: Duration,
}

impl ConfigurationRead {
    /// Time at which the feed certainly held nothing newer than what was read.
    fn complete_until(&self) -> Duration {
        let wait_end = self.requested_at + self.fruitless_wait;
        if self.received_at >= wait_end { wait_end } else { self.requested_at }
    }
}

/// Change of whether the entry is certain of its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCertaintyChange {
    /// Keys are refused from now on.
    Lost {
        /// Time since the configuration was known to be current; `None` if it never was.
        age: Option<Duration>,
    },
    /// Keys are accepted again.
    Regained {
        /// Requests that were refused meanwhile.
        refused: u64,
    },
}

/// What an entry knows of whether its configuration is current.
#[derive(Debug, Clone, Default)]
pub struct KeyCertainty {
    /// Time from the withdrawal of a key within which it must be refused; `None` if that also
    /// may take longer while the store cannot be read.
    limit: Option<Duration>,
    /// Time up to which no newer configuration exists.
    current_until: Option<Duration>,
    /// True if the newest configuration cannot be decoded, so that it may withdraw keys.
    newest_unreadable: bool,
    /// True while responses of the store name an era that is over.
    store_outdated: bool,
    /// When the store last named an era that is over.
    outdated_at: Option<Duration>,
    /// True if the loss of the certainty has been reported.
    loss_reported: bool,
    /// Requests refused since then.
    refused: u64,
}

impl KeyCertainty {
    /// Creates the state of an entry that has not read a configuration yet. `limit` is the time
    /// from the withdrawal of a key within which it must be refused, if it must be so also while
    /// the store cannot be read.
    pub fn new(limit: Option<Duration>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Records a complete read. It proves nothing if the store that answered may be in an era
    /// that is over.
    pub fn record_read(&mut self, read: &ConfigurationRead) {
        let outdated = self.outdated_at.is_some_and(|at| read.requested_at <= at);
        if self.newest_unreadable || self.store_outdated || outdated {
            return;
        }
        self.current_until = self.current_until.max(Some(read.complete_until()));
    }

    /// Records whether the newest configuration that was read can be decoded.
    pub fn record_readable(&mut self, readable: bool) {
        self.newest_unreadable = !readable;
    }

    /// Records whether the era that a response of the store named is over.
    pub(super) fn record_era(&mut self, now: Duration, over: bool) {
        self.store_outdated = over;
        if over {
            self.outdated_at = Some(now);
        }
    }

    /// True if a key may be accepted now: no configuration can have withdrawn it for longer than
    /// the limit.
    pub fn is_certain(&self, now: Duration) -> bool {
        let Some(limit) = self.limit else { return true };
        self.certain_until(limit).is_some_and(|until| now < until)
    }

    /// Time since the configuration was known to be current; `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current_until.map(|until| now.saturating_sub(until))
    }

    /// How long the store may hold back the response to the next read, `longest` at most: so
    /// that the certainty does not end if one response is lost.
    pub fn long_poll(&self, now: Duration, longest: Duration) -> Duration {
        let Some(limit) = self.limit.filter(|_| !self.newest_unreadable) else { return longest };
        let until = self.certain_until(limit).unwrap_or_default();
        let wait = until.saturating_sub(now).saturating_sub(REREAD_TIME);
        wait.max(MIN_POLL).min(longest)
    }

    fn certain_until(&self, limit: Duration) -> Option<Duration> {
        let current_until = self.current_until?;
        Some(current_until + limit.saturating_sub(CLOCK_MARGIN))
    }

    fn count_refused(&mut self) {
        self.refused += 1;
    }

    fn take_change(&mut self, now: Duration) -> Option<KeyCertaintyChange> {
        let lost = !self.is_certain(now);
        if lost == std::mem::replace(&mut self.loss_reported, lost) {
            return None;
        }
        Some(match lost {
            true => KeyCertaintyChange::Lost { age: self.age(now) },
            false => KeyCertaintyChange::Regained { refused: std::mem::take(&mut self.refused) },
        })
    }
}

impl Router {
    /// What is known of whether the configuration in force is current.
    pub fn key_certainty(&mut self) -> &mut KeyCertainty {
        &mut self.key_certainty
    }

    /// How long the store may hold back the response to the next read of the configuration,
    /// `longest` at most.
    pub fn configuration_poll(&self, now: Duration, longest: Duration) -> Duration {
        if self.needs_keys() { self.key_certainty.long_poll(now, longest) } else { longest }
    }

    /// Returns what changed since the last call about whether keys are accepted. Nothing does
    /// while the configuration asks no caller for a key.
    pub fn take_key_certainty_change(&mut self, now: Duration) -> Option<KeyCertaintyChange> {
        if !self.needs_keys() {
            return None;
        }
        self.key_certainty.take_change(now)
    }

    /// True if callers need keys that the entry cannot accept now.
    pub(super) fn refuses_keys(&self, now: Duration) -> bool {
        self.needs_keys() && !self.key_certainty.is_certain(now)
    }

    /// Returns who sent a request.
    ///
    /// # Errors
    /// The refusal of a request that needs a key of an account and has none, or whose key may
    /// have been withdrawn or added since.
    pub(super) fn identify_caller(
        &mut self,
        now: Duration,
        configuration: &Configuration,
        route: usize,
        key: Option<&ApiKey>,
    ) -> Result<Caller, Refusal> {
        match configuration.identify_caller(route, key) {
            Some(caller) if caller.account().is_none() => Ok(caller),
            _ if !self.key_certainty.is_certain(now) => {
                self.key_certainty.count_refused();
                let retry_after = Some(OTHER_ENTRY_RETRY_AFTER);
                Err(Refusal::not_run(RefusalReason::KeysUncertain, retry_after))
            }
            Some(caller) => Ok(caller),
            None => Err(Refusal::not_run(RefusalReason::UnknownApiKey, None)),
        }
    }

    /// True if the configuration in force has a route for which callers need a key.
    fn needs_keys(&self) -> bool {
        self.configuration.as_ref().is_some_and(|configuration| {
            let has_accounts = !configuration.accounts.is_empty();
            has_accounts && configuration.routes.iter().any(|route| !route.public)
        })
    }
}
