//! Logs when an entry stops to accept keys of client accounts, and when it accepts them again.

use crate::clock::as_ms;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::key_certainty::KeyCertaintyChange;

/// Age in log lines of a certainty that never was.
const NEVER: i64 = -1;

impl<U: UpstreamClient> Dispatcher<U> {
    /// Logs a change of whether keys are accepted, if there was one since the last call.
    pub(super) fn report_key_certainty(&self) {
        let change = self.router.borrow_mut().take_key_certainty_change(self.now());
        match change {
            None => {}
            Some(KeyCertaintyChange::Lost { age }) => {
                spdlog::warn!("keys-uncertain", kv: {
                    instance: = self.name,
                    age_ms = age.map_or(NEVER, |age| as_ms(age) as i64)
                });
            }
            Some(KeyCertaintyChange::Regained { refused }) => {
                spdlog::info!("keys-certain", kv: { instance: = self.name, refused = refused });
            }
        }
    }
}
