//! Faults and planned changes that a run can apply.

use std::time::Duration;

use crate::proxy::LinkFault;

/// Fault that a replica shows once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OneTimeFault {
    /// Executes the next request, but breaks its connection without a response.
    LoseResponse,
    /// Rejects the next request as not executed.
    Reject,
    /// Names another request id in its next response.
    MismatchId,
    /// Breaks its next stream in the middle of an event.
    BreakStream,
    /// Executes the next request, but responds with status 500.
    ServerError,
}

/// Kind of the requests that crash replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlyKind {
    /// Idempotent.
    Lookup,
    /// May run at most once.
    Booking,
}

/// Which replicas of a service an action affects, beside the one at its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// No others.
    One,
    /// Every second replica of its service.
    Half,
    /// All replicas of its service.
    Service,
}

/// Fault or planned change. A number is the index of the entry or the position of the replica; a
/// `Duration` at the end says how long the action lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The store responds to all requests with status 503.
    StoreDown(Duration),
    /// The store delays each request by the first duration.
    StoreSlow(Duration, Duration),
    /// The store drops its log of replica records, but keeps their newest values.
    StoreHistoryDropped,
    /// The connections from an entry to the store have a fault.
    StoreLink(usize, LinkFault, Duration),
    /// The connections to a replica have a fault.
    ReplicaLink(usize, LinkFault, Duration),
    /// The connections from callers to an entry have a fault.
    CallerLink(usize, LinkFault, Duration),
    /// A replica shows a fault once.
    ReplicaFault(usize, OneTimeFault),
    /// A replica has no capacity and rejects reservations.
    ReplicaFull(usize, Duration),
    /// A replica executes so many requests at once, and rejects those beyond.
    Shed(usize, u64, Duration),
    /// Streams of a replica end with their connection only, and some of them break off.
    EndWithConnection(usize, Duration),
    /// A replica garbles one in so many streams and other results, from the kind with the second
    /// number on.
    Garble(usize, u64, u64, Duration),
    /// A replica names a rate limit, in tenths of a request a second.
    RateLimit(usize, u32, Duration),
    /// Replicas send nothing for this long, keep their connections open, and continue afterwards.
    PauseReplicas(usize, Scope, Duration),
    /// A replica turns requests away with 503 and the first duration as `Retry-After`.
    TurnAway(usize, Duration, Duration),
    /// A replica says in its responses that it leaves; the store lists it as leaving only later, by
    /// the duration. A new one then takes its position.
    LeaveWithNotice(usize, Duration),
    /// A replica leaves as planned, and a new one takes its position.
    ReplaceReplica(usize),
    /// An entry is stopped with SIGTERM as planned, and started again.
    Stop(usize),
    /// An entry is killed with SIGKILL, and started again.
    Kill(usize),
    /// All entries are killed with SIGKILL at once, and started again one by one.
    KillAll,
    /// An entry is paused with SIGSTOP, and resumed with SIGCONT.
    Pause(usize, Duration),
    /// An entry gets processor time for a small part of each interval only.
    Starve(usize, Duration),
    /// An entry reloads its settings file after a change in a comment.
    ReloadSettings(usize),
    /// Requests come that crash each replica that runs them: lookups, or bookings.
    DeadlyRequests(DeadlyKind, Duration),
    /// A new configuration is published, with another service for the `moved` route.
    PublishConfiguration,
}

impl Action {
    /// Position of the replica that it affects or starts from; `None` if it affects none.
    pub fn position(&self) -> Option<usize> {
        match self {
            Self::ReplicaLink(position, ..)
            | Self::ReplicaFault(position, _)
            | Self::ReplicaFull(position, _)
            | Self::Shed(position, ..)
            | Self::RateLimit(position, ..)
            | Self::EndWithConnection(position, _)
            | Self::Garble(position, ..)
            | Self::PauseReplicas(position, ..)
            | Self::TurnAway(position, ..)
            | Self::LeaveWithNotice(position, _)
            | Self::ReplaceReplica(position) => Some(*position),
            _ => None,
        }
    }
}
