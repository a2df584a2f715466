//! Passes the eras that responses of the store name to the router, logs and counts them, and
//! wakes the tasks that start over.

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::metrics::StoreEraResult;
use crate::edge::direct::store::Store;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::store_era::StoreEra;
use crate::router::store_era::StoreEraChange;
use crate::router::store_era::StoreEraNotice;

impl<U: UpstreamClient> Dispatcher<U> {
    /// Passes to the router what responses of the store have said about its era. To be
    /// called after each call to the store.
    pub(super) fn record_store_eras<S: Store>(&self, store: &S) {
        for notice in store.take_era_notices() {
            match notice {
                StoreEraNotice::Named(era) => self.record_store_era(era),
                StoreEraNotice::Invalid => self.metrics.count_store_era(StoreEraResult::Invalid),
            }
        }
    }

    fn record_store_era(&self, era: StoreEra) {
        let change = self.router.borrow_mut().record_store_era(self.now(), era);
        match change {
            StoreEraChange::None => {}
            StoreEraChange::Risen { before, after, origins } => {
                self.metrics.count_store_era(StoreEraResult::Risen);
                spdlog::warn!("store-era-changed", kv: {
                    instance: = self.name,
                    era_before = before.0,
                    era = after.0,
                    started_over = "feeds, membership, lease, shares, origins, crash reports",
                    origins = origins
                });
                self.origin_log.wake_appender(&self.router.borrow());
                self.crash_log.wake(&self.router.borrow());
                self.era_risen.notify_waiters();
            }
            StoreEraChange::Fell { known, named } => {
                self.metrics.count_store_era(StoreEraResult::Fell);
                spdlog::warn!("store-era-fell", kv: {
                    instance: = self.name,
                    era = known.0,
                    ignored_era = named.0
                });
            }
        }
    }
}
