//! Replica of a fleet, and what it said of itself during a run.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use standins::platform::replica::Kind;
use standins::platform::replica::Replica;

use crate::proxy::Proxy;

/// Delay of an engine before each response and each event.
const ENGINE_DELAY: Duration = Duration::from_millis(40);
/// Delay of a plain service before each response.
const DESK_DELAY: Duration = Duration::from_millis(10);

/// Time after which a replica that has crashed serves again.
const CRASH_TIME: Duration = Duration::from_secs(3);
/// Most time between the arrival of a request that is rejected and the response.
const RESPONSE_TIME: Duration = Duration::from_millis(50);

/// Stand-in replica and the proxy through which entries reach it.
#[derive(Debug)]
pub struct ReplicaNode {
    /// Stand-in replica behind the proxy.
    pub replica: Arc<Replica>,
    /// Proxy whose address the instance list names.
    pub proxy: Arc<Proxy>,
    /// Name of its service.
    pub service: &'static str,
    /// Time at which the store listed it as leaving; `None` until then.
    pub leaving_since: Mutex<Option<Instant>>,
    /// Time at which it left the store and its connections were reset; `None` until then.
    pub gone_since: Mutex<Option<Instant>>,
    /// Time from which it said in its responses that it leaves; `None` until then.
    pub announced_leaving_at: Mutex<Option<Instant>>,
    /// Rate limits that it has named, in the order of time.
    pub rate_limits: Mutex<Vec<NamedRateLimit>>,
    /// Times at which pauses of it started and ended, in the order of the starts.
    pub pauses: Mutex<Vec<(Instant, Instant)>>,
    /// Times during which it turned all requests away, in their order.
    pub turn_aways: Mutex<Vec<TurnAway>>,
}

/// Rate limit that a replica named for a time.
#[derive(Debug, Clone, Copy)]
pub struct NamedRateLimit {
    /// Requests a second that it takes from all entries together.
    pub requests_per_s: f64,
    /// Time from which it named the limit.
    pub from: Instant,
    /// Time until which it names the limit.
    pub until: Instant,
}

/// Time during which a replica turned all requests away with 503 and `Retry-After`.
#[derive(Debug, Clone, Copy)]
pub struct TurnAway {
    /// `Retry-After` of its responses.
    pub retry_after: Duration,
    /// Time from which it turned requests away.
    pub from: Instant,
    /// Time until which it turns them away.
    pub until: Instant,
}

impl ReplicaNode {
    /// Starts a replica of a service, and its proxy.
    pub(crate) async fn start(id: &str, service: &'static str, kind: Kind) -> Arc<Self> {
        let (replica, address) = Replica::start(id, kind).await;
        replica.response_delay.set(if kind == Kind::Plain { DESK_DELAY } else { ENGINE_DELAY });
        let proxy = Proxy::start(address).await;
        let (crashing, crashing_proxy) = (replica.clone(), proxy.clone());
        tokio::spawn(async move {
            loop {
                crashing.crashed.notified().await;
                crashing_proxy.crash(CRASH_TIME).await;
            }
        });
        Arc::new(Self {
            replica,
            proxy,
            service,
            leaving_since: Mutex::default(),
            gone_since: Mutex::default(),
            announced_leaving_at: Mutex::default(),
            rate_limits: Mutex::default(),
            pauses: Mutex::default(),
            turn_aways: Mutex::default(),
        })
    }

    /// Names a rate limit for this long, unless it names one already.
    pub async fn name_rate_limit(&self, requests_per_s: f64, duration: Duration) {
        let from = Instant::now();
        {
            let mut limits = self.rate_limits.lock().expect("the mutex is not poisoned");
            if limits.last().is_some_and(|limit| from < limit.until) {
                return;
            }
            limits.push(NamedRateLimit { requests_per_s, from, until: from + duration });
        }
        self.replica.set_rate_limit(Some(&requests_per_s.to_string()));
        tokio::time::sleep(duration).await;
        self.replica.set_rate_limit(None);
    }

    /// Time at which the store listed it as leaving; `None` until then.
    pub fn leaving_since(&self) -> Option<Instant> {
        *self.leaving_since.lock().expect("the mutex is not poisoned")
    }

    /// Pauses the replica from `now` on.
    pub fn pause(&self, now: Instant, duration: Duration) {
        self.pauses.lock().expect("the mutex is not poisoned").push((now, now + duration));
        self.replica.pause.start(now, duration);
    }

    /// Latest time at which a rejection is sent whose request arrived at `at`: pauses may hold it
    /// back.
    pub fn latest_rejection_at(&self, at: Instant) -> Instant {
        let mut latest = at;
        for (from, until) in self.pauses.lock().expect("the mutex is not poisoned").iter() {
            if *from <= latest + RESPONSE_TIME {
                latest = latest.max(*until);
            }
        }
        latest
    }

    /// Says in all responses from now on that it leaves. False if it does already.
    pub fn announce_leaving(&self) -> bool {
        let mut announced_at = self.announced_leaving_at.lock().expect("the mutex is not poisoned");
        if announced_at.is_some() {
            return false;
        }
        self.replica.leaving.set(true);
        *announced_at = Some(Instant::now());
        true
    }

    /// Turns all requests away for this long, unless it does already.
    pub async fn turn_away(&self, retry_after: Duration, duration: Duration) {
        let from = Instant::now();
        {
            let mut turn_aways = self.turn_aways.lock().expect("the mutex is not poisoned");
            if turn_aways.last().is_some_and(|last| from < last.until) {
                return;
            }
            turn_aways.push(TurnAway { retry_after, from, until: from + duration });
        }
        self.replica.set_retry_after(Some(&retry_after.as_secs_f64().to_string()));
        tokio::time::sleep(duration).await;
        self.replica.set_retry_after(None);
    }
}
