//! Time limits on connections of callers, across changes of the configuration.

use std::collections::VecDeque;
use std::time::Duration;

use crate::router::configuration::CallerLimits;

/// What the connection of a caller waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallerWait {
    /// The next request, of which nothing has arrived.
    #[strum(serialize = "idle")]
    NextRequest,
    /// The rest of the head of a request.
    Head,
    /// That the caller reads on, as its socket takes no more bytes of a response.
    Read,
}

/// Limits that a newer configuration replaced.
#[derive(Debug, Clone, Copy)]
struct ReplacedLimits {
    limits: CallerLimits,
    /// When they were replaced.
    until: Duration,
}

/// Limits in force and those before them that still matter. Callers learn of a change at
/// another time than this entry, so the longest limit that was in force while a connection
/// waited counts: a lowered limit may apply late, never early.
#[derive(Debug, Clone, Default)]
pub struct ConnectionLimits {
    in_force: CallerLimits,
    /// Earlier limits, oldest first.
    replaced: VecDeque<ReplacedLimits>,
}

impl ConnectionLimits {
    /// Puts other limits into force.
    pub fn change(&mut self, now: Duration, limits: CallerLimits) {
        if limits == self.in_force {
            return;
        }
        self.replaced.push_back(ReplacedLimits { limits: self.in_force, until: now });
        self.in_force = limits;
        let longest =
            self.longest(Duration::ZERO, |limits| limits.idle_timeout.max(limits.header_timeout));
        self.replaced.retain(|replaced| replaced.until + longest >= now);
    }

    /// Returns the time at which a connection is closed that has waited since `since`.
    pub fn close_at(&self, wait: CallerWait, since: Duration) -> Duration {
        let limit = self.longest(since, |limits| match wait {
            CallerWait::NextRequest | CallerWait::Read => limits.idle_timeout,
            CallerWait::Head => limits.header_timeout,
        });
        since + limit
    }

    /// Returns the longest of a limit's values that were in force at `since` or later.
    fn longest(&self, since: Duration, limit: impl Fn(&CallerLimits) -> Duration) -> Duration {
        let replaced = self.replaced.iter().filter(|replaced| replaced.until >= since);
        let replaced = replaced.map(|replaced| limit(&replaced.limits));
        replaced.fold(limit(&self.in_force), Duration::max)
    }
}
