//! Leases of the entries, one per connection, and when heartbeats are due.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
struct Session {
    connected: bool,
    last_message_at: Duration,
    heartbeat_due: Duration,
}

/// The entries that this agent knows.
#[derive(Debug, Clone)]
pub struct Sessions {
    lease_ttl: Duration,
    heartbeat: Duration,
    entries: BTreeMap<u64, Session>,
}

impl Sessions {
    /// No entries yet.
    pub fn new(lease_ttl: Duration, heartbeat: Duration) -> Self {
        Self { lease_ttl, heartbeat, entries: BTreeMap::new() }
    }

    /// An entry connected.
    pub fn connect(&mut self, now: Duration, entry: u64) {
        let heartbeat_due = now + self.heartbeat;
        self.entries
            .insert(entry, Session { connected: true, last_message_at: now, heartbeat_due });
    }

    /// The connection was lost. The lease runs on until it lapses.
    pub fn disconnect(&mut self, entry: u64) {
        if let Some(session) = self.entries.get_mut(&entry) {
            session.connected = false;
        }
    }

    /// Renews the lease. False if the entry has none: its word does not count.
    pub fn renew_lease(&mut self, now: Duration, entry: u64) -> bool {
        let Some(session) = self.entries.get_mut(&entry) else { return false };
        if now >= session.last_message_at + self.lease_ttl {
            return false;
        }
        session.last_message_at = now;
        true
    }

    /// Takes out the entries whose lease has expired.
    pub fn take_expired(&mut self, now: Duration) -> Vec<u64> {
        let ttl = self.lease_ttl;
        let is_expired = |session: &Session| now >= session.last_message_at + ttl;
        let expired: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, session)| is_expired(session))
            .map(|(entry, _)| *entry)
            .collect();
        for entry in &expired {
            self.entries.remove(entry);
        }
        expired
    }

    /// The entries that a heartbeat is due for; their next one is scheduled.
    pub fn take_due_heartbeats(&mut self, now: Duration) -> Vec<u64> {
        let heartbeat = self.heartbeat;
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, session)| session.connected && now >= session.heartbeat_due);
        due.map(|(entry, session)| {
            session.heartbeat_due = now + heartbeat;
            *entry
        })
        .collect()
    }

    /// Makes a heartbeat to every entry due now.
    pub fn schedule_heartbeats_now(&mut self) {
        for session in self.entries.values_mut() {
            session.heartbeat_due = Duration::ZERO;
        }
    }

    /// When a heartbeat or a lease is due next.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let due = self.entries.values().map(|session| {
            let lease_end = session.last_message_at + self.lease_ttl;
            if session.connected { lease_end.min(session.heartbeat_due) } else { lease_end }
        });
        due.min().unwrap_or(now + self.heartbeat).min(now + self.heartbeat)
    }
}
