//! Orders to engines that check fencing numbers, and to those that do not.

use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::orders::EngineState;
use bamboodoor::agent::orders::FencingToken;
use bamboodoor::agent::orders::Order;
use bamboodoor::agent::orders::Orders;

/// An engine that takes orders as its kind does.
struct Engine {
    checks_fencing: bool,
    state: EngineState,
}

impl Engine {
    fn take(&mut self, order: Order) {
        if !self.checks_fencing || order.fence >= self.state.fence {
            self.state = EngineState { model: order.model, fence: order.fence };
        }
    }

    fn carry_out(&mut self, orders: &mut Orders, actions: &mut Vec<AgentAction>) {
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                AgentAction::ReadState => orders.on_state(&self.state.clone(), actions),
                AgentAction::Order(order) => self.take(order),
                _ => {}
            }
        }
    }
}

fn agent(incarnation: u64, model: &str, engine: &mut Engine) -> Orders {
    let mut orders = Orders::new(incarnation);
    let mut actions = Vec::new();
    orders.configure(1, Some(model.into()), engine.checks_fencing, &mut actions);
    engine.carry_out(&mut orders, &mut actions);
    orders
}

fn old_agent_wakes(checks_fencing: bool) {
    let mut engine = Engine { checks_fencing, state: EngineState::default() };
    let mut old = agent(1, "redator-1", &mut engine);
    agent(2, "redator-2", &mut engine);
    let mut actions = Vec::new();
    old.poll(Duration::from_secs(60), &mut actions);
    engine.carry_out(&mut old, &mut actions);
    assert!(old.is_superseded());
    assert_eq!(engine.state.model, "redator-2");
}

#[test]
fn an_old_agent_that_wakes_gives_no_order_to_an_engine_that_checks() {
    old_agent_wakes(true);
}

#[test]
fn an_old_agent_that_wakes_gives_no_order_to_an_engine_that_does_not_check() {
    old_agent_wakes(false);
}

/// The old agent had already decided when it was paused: its order arrives
/// after the successor's, at an engine that takes it.
#[test]
fn a_successor_puts_right_what_a_late_order_did() {
    let mut engine = Engine { checks_fencing: false, state: EngineState::default() };
    let mut new = agent(2, "redator-2", &mut engine);
    let fence = FencingToken { incarnation: 1, generation: 1 };
    engine.state = EngineState { model: "redator-1".into(), fence };
    let mut actions = Vec::new();
    new.poll(Duration::from_secs(60), &mut actions);
    engine.carry_out(&mut new, &mut actions);
    assert_eq!(engine.state.model, "redator-2");
}
