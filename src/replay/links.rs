//! A small fake of the links between zones.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::manifest::Snapshot;

/// Links of limited rate; transfers queue up on each.
#[derive(Debug, Default)]
pub struct Links {
    free_at: HashMap<(CompactString, CompactString), Duration>,
}

impl Links {
    /// When a transfer that starts now is done.
    pub fn transfer(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        from_zone: &str,
        to_zone: &str,
        bytes: u64,
    ) -> Duration {
        let Some(rate) = snapshot.link_bytes_per_s(from_zone, to_zone) else { return now };
        let takes = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let free_at = self.free_at.entry((from_zone.into(), to_zone.into())).or_default();
        *free_at = now.max(*free_at) + takes;
        *free_at
    }
}
