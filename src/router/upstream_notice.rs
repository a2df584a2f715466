//! What upstreams say of themselves in the heads of their responses.

use std::time::Duration;

use rand::RngExt;

use crate::router::Router;
use crate::router::rate_limit::RateLimit;
use crate::router::upstreams::UpstreamKey;

/// What the head of one response says about its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamNotice {
    /// Upstream that sent the response.
    pub upstream: UpstreamKey,
    /// When the request was sent that the response answers.
    pub sent_at: Duration,
    /// What the response says about the upstream's rate limit; `None` for a response that
    /// need not name one.
    pub rate_limit: Option<RateLimitNotice>,
    /// True if the response says that the upstream is leaving.
    pub leaving: bool,
    /// How long the upstream wants no requests of this entry, if it turned one away and
    /// says so.
    pub retry_after: Option<Duration>,
}

/// What a notice changed in the record of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NoticeChanges {
    /// Change of the rate limit, if it differs from now on.
    pub rate_limit: Option<RateLimitChange>,
    /// True if the upstream is known to be leaving only from now on.
    pub leaving: bool,
}

/// What the head of a response says about the rate limit of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimitNotice {
    /// The upstream accepts this many requests a second from all entries together.
    Named(f64),
    /// The upstream names no limit.
    Absent,
    /// The limit cannot be parsed; it is ignored.
    Invalid,
}

/// Change of an upstream's rate limit, in requests a second; `None` is no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitChange {
    /// Limit before the change.
    pub before: Option<f64>,
    /// Limit from now on.
    pub after: Option<f64>,
}

impl Router {
    /// Records what a response says about its upstream. An upstream that says that it is
    /// leaving gets no more work, whatever the instance list says of that incarnation.
    ///
    /// A response without a limit lifts one only if its request was sent after the
    /// limit was last named, since responses may arrive out of order.
    pub fn record_notice(&mut self, now: Duration, notice: &UpstreamNotice) -> NoticeChanges {
        let leaving = notice.leaving && self.upstreams.mark_leaving(notice.upstream);
        if let Some(retry_after) = notice.retry_after {
            self.upstreams.turn_away(notice.upstream, now + retry_after);
        }
        NoticeChanges { rate_limit: self.record_rate_limit(now, notice), leaving }
    }

    fn record_rate_limit(
        &mut self,
        now: Duration,
        notice: &UpstreamNotice,
    ) -> Option<RateLimitChange> {
        let share = self.rate_limit_share;
        let upstream = self.upstreams.get_mut(notice.upstream)?;
        let current = upstream.rate_limit;
        match (notice.rate_limit?, &mut upstream.rate_limit) {
            (RateLimitNotice::Named(requests_per_s), Some(limit)) => {
                limit.record_named(now, requests_per_s);
            }
            (RateLimitNotice::Named(requests_per_s), limit) => {
                let phase = self.rng.random_range(0.0..1.0);
                *limit = Some(RateLimit::new(now, requests_per_s, share, phase));
            }
            (RateLimitNotice::Absent, limit) => {
                *limit = current.filter(|limit| notice.sent_at < limit.named_at());
            }
            (RateLimitNotice::Invalid, _) => {}
        }
        let change = RateLimitChange {
            before: current.map(|limit| limit.requests_per_s()),
            after: upstream.rate_limit.map(|limit| limit.requests_per_s()),
        };
        (change.before != change.after).then_some(change)
    }
}
