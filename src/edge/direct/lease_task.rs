//! Task of every entry that renews its membership in the group of entries, and with it its
//! share of the retry budgets. While the entry holds the lease of the group, the task also
//! sends the role orders to engines.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::store::Store;
use crate::edge::direct::upstream_client::RoleOrder;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Target;
use crate::router::flow::Failure;
use crate::router::lease::Lease;
use crate::router::lease::LeaseSettings;
use crate::router::rate_limit::FALLBACK_SHARE;
use crate::router::roles::RoleChange;

/// Interval of the checks whether a role order is due.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of the call to the store that renews the lease.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit of each call to an engine: its state, then the order.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);

/// Renews the lease and, while the entry holds it, sends due role orders. Runs until `stop`
/// is cancelled; a leaving entry needs its share for the streams that it finishes.
pub async fn run<S: Store, U: UpstreamClient>(
    name: CompactString,
    settings: LeaseSettings,
    store: Rc<S>,
    dispatcher: Rc<Dispatcher<U>>,
    stop: CancellationToken,
) {
    let lease = Lease::new(settings);
    let mut task = LeaseTask { name, store, dispatcher, lease };
    while !stop.is_cancelled() {
        task.renew_lease().await;
        let until = task.dispatcher.now() + task.lease.settings().renewal_interval;
        while task.dispatcher.now() < until && !stop.is_cancelled() && !task.is_era_over() {
            task.send_due_order().await;
            task.dispatcher.log_slow_starts();
            tokio::time::sleep(ORDER_CHECK_INTERVAL).await;
        }
    }
}

/// State of the lease task of one entry.
struct LeaseTask<S, U> {
    name: CompactString,
    store: Rc<S>,
    dispatcher: Rc<Dispatcher<U>>,
    lease: Lease,
}

impl<S: Store, U: UpstreamClient> LeaseTask<S, U> {
    /// Renews the lease. If the store is in a new era, joins the group anew.
    async fn renew_lease(&mut self) {
        if !self.try_renewal().await {
            self.try_renewal().await;
        }
        let now = self.dispatcher.now();
        // An entry to which the store assigns no share uses none: there may be more
        // entries than shares.
        let rate_limit_share = self.lease.rate_limit_share(now).unwrap_or(FALLBACK_SHARE);
        let tries_until = self.lease.orders_until(now).unwrap_or_default();
        let mut router = self.dispatcher.router.borrow_mut();
        router.set_tries_poisonous_until(now, tries_until);
        if let Some(assigned) = self.lease.assigned_share() {
            router.assign_budget_share(now, assigned);
        }
        router.set_rate_limit_share(now, rate_limit_share);
        self.dispatcher.version_records.wake(&router, now, tries_until);
        router.quotas().set_equal_share(now, self.lease.share(now));
    }

    /// Sends a renewal and records the response. Returns false if the store is in a new era
    /// since the renewal was sent.
    async fn try_renewal(&mut self) -> bool {
        self.enter_era();
        let requested_at = self.dispatcher.now();
        let ttl = self.lease.settings().ttl;
        let generation = self.lease.generation();
        let renewal = self.store.renew_lease(&self.name, generation, ttl, STORE_TIMEOUT).await;
        self.dispatcher.record_store_eras(&*self.store);
        if self.enter_era() {
            return false;
        }
        match renewal {
            Ok(response) => {
                let now = self.dispatcher.now();
                if self.lease.record_renewal(requested_at, now, response) {
                    spdlog::info!("lease", kv: {
                        instance: = self.name,
                        holds = response.holds,
                        share = response.share,
                        token = self.lease.token().unwrap_or(0)
                    });
                }
            }
            // A lease that is not renewed expires by itself.
            Err(error) => spdlog::debug!("lease-not-renewed", kv: { detail: = error }),
        }
        true
    }

    /// True if the store is in another era than the one that assigned the lease.
    fn is_era_over(&self) -> bool {
        self.dispatcher.router.borrow().store_era() != self.lease.era()
    }

    /// Gives up the lease if the store is in a new era. Returns true if so.
    fn enter_era(&mut self) -> bool {
        let era = self.dispatcher.router.borrow().store_era();
        self.lease.enter_era(self.dispatcher.now(), era)
    }

    /// Fencing token for an order that is sent now; `None` if none may be sent.
    fn fencing_token(&mut self) -> Option<u64> {
        self.enter_era();
        self.lease.fencing_token(self.dispatcher.now())
    }

    /// Sends the next role order if one is due and this entry holds the lease.
    async fn send_due_order(&mut self) {
        self.dispatcher.record_notices();
        let now = self.dispatcher.now();
        // Called without the lease as well: the router records here when the number of
        // listed engines changes, and has no order due until that number is stable.
        let due = self.dispatcher.router.borrow_mut().next_role_change(now);
        let Some(due) = due.filter(|_| self.fencing_token().is_some()) else { return };
        let Some(target) = self.dispatcher.router.borrow().target(due.key) else { return };
        self.dispatcher.router.borrow_mut().take_order_permits(now, &due);
        let response = self.send_order(&due, &target).await;
        self.dispatcher.router.borrow_mut().record_role_change(self.dispatcher.now(), &due);
        spdlog::info!("role-ordered", kv: {
            instance: = self.name,
            upstream: = target.id,
            role: = due.role,
            token = self.lease.token().unwrap_or(0),
            answer: = response
        });
    }

    /// Sends a role order, unless the engine is busy or already has the role, or the lease
    /// has expired. Returns the engine's response, or why there is none, as text for the log.
    async fn send_order(&mut self, change: &RoleChange, target: &Target) -> String {
        let dispatcher = self.dispatcher.clone();
        let upstream_client = &dispatcher.upstream_client;
        let state = timeout(ENGINE_TIMEOUT, upstream_client.engine_state(target)).await;
        let state = match state.unwrap_or(Err(Failure::Silent)) {
            Ok(state) => state,
            Err(failure) => return failure.to_string(),
        };
        if state.busy || state.role == change.role {
            return "not needed: the engine is busy or has the role".to_string();
        }
        // The lease may have expired during the call above.
        let Some(token) = self.fencing_token() else {
            return "the lease expired before the order was sent".to_string();
        };
        let holder = self.name.clone();
        let order = RoleOrder {
            role: change.role,
            holder,
            fencing_token: token,
            expected_orders: state.accepted_orders,
        };
        match timeout(ENGINE_TIMEOUT, upstream_client.send_role_order(target, &order)).await {
            Ok(Ok(response)) => response.to_string(),
            Ok(Err(failure)) => failure.to_string(),
            Err(_) => Failure::Silent.to_string(),
        }
    }
}
