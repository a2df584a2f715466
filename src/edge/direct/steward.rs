//! Renews the lease and this entry's share of the retry budgets, and gives the
//! orders of roles while it holds the lease.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::following::Store;
use crate::edge::direct::upstream_client::RoleOrder;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Target;
use crate::router::budget::SMALL_SHARE;
use crate::router::flow::Failure;
use crate::router::lease::Lease;
use crate::router::lease::LeaseSettings;
use crate::router::roles::Move;

const ORDER_POLL: Duration = Duration::from_millis(250);
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);

/// Renews the lease and orders what is due until the token is cancelled.
pub async fn run<S: Store, U: UpstreamClient>(
    name: CompactString,
    settings: LeaseSettings,
    store: Rc<S>,
    dispatcher: Rc<Dispatcher<U>>,
    stop: CancellationToken,
) {
    let lease = Lease::new(settings);
    let mut steward = Steward { name, store, dispatcher, lease };
    while !stop.is_cancelled() && !steward.dispatcher.router.borrow().is_leaving() {
        steward.renew().await;
        let until = steward.dispatcher.now() + steward.lease.settings().renewal;
        while steward.dispatcher.now() < until && !stop.is_cancelled() {
            steward.order_next().await;
            tokio::time::sleep(ORDER_POLL).await;
        }
    }
}

struct Steward<S, U> {
    name: CompactString,
    store: Rc<S>,
    dispatcher: Rc<Dispatcher<U>>,
    lease: Lease,
}

impl<S: Store, U: UpstreamClient> Steward<S, U> {
    async fn renew(&mut self) {
        let asked = self.dispatcher.now();
        let ttl = self.lease.settings().ttl;
        let generation = self.lease.generation();
        let granted = self.store.renew(&self.name, generation, ttl, STORE_TIMEOUT).await;
        match granted {
            Ok(granted) => {
                let now = self.dispatcher.now();
                if self.lease.renewed(asked, now, granted) {
                    spdlog::info!("lease", kv: {
                        instance: = self.name,
                        holds = granted.holds,
                        share = granted.share,
                        token = granted.generation
                    });
                }
            }
            // The lease runs out by itself.
            Err(error) => spdlog::debug!("lease-not-renewed", kv: { detail: = error }),
        }
        let share = self.lease.share(self.dispatcher.now()).unwrap_or(0.0);
        self.dispatcher.router.borrow_mut().set_budget_share(share.max(SMALL_SHARE));
    }

    /// Gives the next order, if one is due.
    async fn order_next(&mut self) {
        let now = self.dispatcher.now();
        // Asked without the lease, too: the core sees when the list is quiet.
        let next = self.dispatcher.router.borrow_mut().next_move(now);
        let Some(next) = next.filter(|_| self.lease.token(now).is_some()) else { return };
        let Some(target) = self.dispatcher.router.borrow().target(next.key) else { return };
        let answer = self.order(&next, &target).await;
        self.dispatcher.router.borrow_mut().moving(self.dispatcher.now(), &next);
        spdlog::info!("role-ordered", kv: {
            instance: = self.name,
            upstream: = target.id,
            role: = next.role,
            token = self.lease.generation(),
            answer: = answer
        });
    }

    async fn order(&self, next: &Move, target: &Target) -> String {
        let upstreams = &self.dispatcher.upstreams;
        let state = timeout(ENGINE_TIMEOUT, upstreams.engine_state(target)).await;
        let state = match state.unwrap_or(Err(Failure::Silent)) {
            Ok(state) => state,
            Err(failure) => return failure.to_string(),
        };
        if state.busy || state.role == next.role {
            return "not needed".to_string();
        }
        // Time has passed: the lease may have run out.
        let Some(token) = self.lease.token(self.dispatcher.now()) else {
            return "lease ran out".to_string();
        };
        let holder = self.name.clone();
        let order = RoleOrder {
            role: next.role,
            holder,
            fencing_token: token,
            expected_orders: state.accepted_orders,
        };
        match timeout(ENGINE_TIMEOUT, upstreams.send_role_order(target, &order)).await {
            Ok(Ok(answer)) => answer.to_string(),
            Ok(Err(failure)) => failure.to_string(),
            Err(_) => Failure::Silent.to_string(),
        }
    }
}
