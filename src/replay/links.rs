//! Simulated network links between availability zones.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::manifest::Snapshot;

/// Links with the rates of the manifest. Transfers over one link run one after
/// another; a pair of zones without a link in the manifest has no delay.
#[derive(Debug, Default)]
pub struct Links {
    /// Time until which each link is busy, by source and target zone.
    free_at: HashMap<(CompactString, CompactString), Duration>,
}

impl Links {
    /// Starts a transfer and returns the time at which it completes.
    pub fn transfer(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        from_zone: &str,
        to_zone: &str,
        bytes: u64,
    ) -> Duration {
        let Some(rate) = snapshot.link_bytes_per_s(from_zone, to_zone) else { return now };
        let transfer_time = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let free_at = self.free_at.entry((from_zone.into(), to_zone.into())).or_default();
        *free_at = now.max(*free_at) + transfer_time;
        *free_at
    }
}
