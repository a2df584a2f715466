//! Leases of the connected entries, and when the next heartbeat to each is due.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
struct Session {
    connected: bool,
    last_message_at: Duration,
    heartbeat_due: Duration,
}

/// Leases and heartbeat times of all entries, by incarnation of the entry.
#[derive(Debug, Clone)]
pub struct Sessions {
    lease_ttl: Duration,
    heartbeat_interval: Duration,
    entries: BTreeMap<u64, Session>,
}

impl Sessions {
    /// Creates an empty set. A lease expires `lease_ttl` after the last message, and
    /// heartbeats are due every `heartbeat_interval`.
    pub fn new(lease_ttl: Duration, heartbeat_interval: Duration) -> Self {
        Self { lease_ttl, heartbeat_interval, entries: BTreeMap::new() }
    }

    /// Starts or renews the lease of an entry that connected.
    pub fn connect(&mut self, now: Duration, entry: u64) {
        let heartbeat_due = now + self.heartbeat_interval;
        self.entries
            .insert(entry, Session { connected: true, last_message_at: now, heartbeat_due });
    }

    /// Stops heartbeats to an entry that lost its connection. Its lease goes on until
    /// it expires.
    pub fn disconnect(&mut self, entry: u64) {
        if let Some(session) = self.entries.get_mut(&entry) {
            session.connected = false;
        }
    }

    /// Renews the lease of an entry that sent a message. Returns false if it has no
    /// lease or an expired one; its message must then be ignored.
    pub fn renew_lease(&mut self, now: Duration, entry: u64) -> bool {
        let Some(session) = self.entries.get_mut(&entry) else { return false };
        if now >= session.last_message_at + self.lease_ttl {
            return false;
        }
        session.last_message_at = now;
        true
    }

    /// Removes the entries whose lease has expired and returns them.
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

    /// Returns the connected entries that a heartbeat is due for, and schedules the
    /// next one of each.
    pub fn take_due_heartbeats(&mut self, now: Duration) -> Vec<u64> {
        let heartbeat_interval = self.heartbeat_interval;
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, session)| session.connected && now >= session.heartbeat_due);
        due.map(|(entry, session)| {
            session.heartbeat_due = now + heartbeat_interval;
            *entry
        })
        .collect()
    }

    /// Makes the next heartbeat to every entry due immediately.
    pub fn schedule_heartbeats_now(&mut self) {
        for session in self.entries.values_mut() {
            session.heartbeat_due = Duration::ZERO;
        }
    }

    /// When the next heartbeat is due or the next lease expires, at most one heartbeat
    /// interval after `now`.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let due = self.entries.values().map(|session| {
            let lease_end = session.last_message_at + self.lease_ttl;
            if session.connected { lease_end.min(session.heartbeat_due) } else { lease_end }
        });
        due.min().unwrap_or(now + self.heartbeat_interval).min(now + self.heartbeat_interval)
    }
}
