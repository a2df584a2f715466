//! Orders of an old and a new agent to an engine that checks fencing tokens, and to one
//! that ignores them.

use std::time::Duration;

use bamboodoor::agent::AgentAction;
use bamboodoor::agent::orders::EngineState;
use bamboodoor::agent::orders::FencingToken;
use bamboodoor::agent::orders::Order;
use bamboodoor::agent::orders::Orders;

/// Fake engine. One that checks fencing tokens rejects orders with an outdated token.
struct FakeEngine {
    checks_fencing: bool,
    state: EngineState,
}

impl FakeEngine {
    fn receive(&mut self, order: Order) {
        if !self.checks_fencing || order.fence >= self.state.fence {
            self.state = EngineState { model: order.model, fence: order.fence };
        }
    }

    /// Executes the actions of an agent, and those that follow from them, until none is
    /// left.
    fn execute(&mut self, orders: &mut Orders, actions: &mut Vec<AgentAction>) {
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                AgentAction::ReadState => orders.on_state(&self.state.clone(), actions),
                AgentAction::Order(order) => self.receive(order),
                _ => {}
            }
        }
    }
}

/// Starts an agent, which orders the engine to load `model`.
fn start_agent(incarnation: u64, model: &str, engine: &mut FakeEngine) -> Orders {
    let mut orders = Orders::new(incarnation);
    let mut actions = Vec::new();
    orders.configure(1, Some(model.into()), engine.checks_fencing, &mut actions);
    engine.execute(&mut orders, &mut actions);
    orders
}

/// Checks that an old agent that is resumed after its successor has given its order gives
/// no further one.
fn check_resumed_old_agent(checks_fencing: bool) {
    let mut engine = FakeEngine { checks_fencing, state: EngineState::default() };
    let mut old_agent = start_agent(1, "redator-1", &mut engine);
    start_agent(2, "redator-2", &mut engine);
    let mut actions = Vec::new();
    old_agent.poll(Duration::from_secs(60), &mut actions);
    engine.execute(&mut old_agent, &mut actions);
    assert!(old_agent.is_superseded());
    assert_eq!(engine.state.model, "redator-2");
}

#[test]
fn a_resumed_old_agent_gives_no_order_to_an_engine_that_checks_fencing() {
    check_resumed_old_agent(true);
}

#[test]
fn a_resumed_old_agent_gives_no_order_to_an_engine_that_ignores_fencing() {
    check_resumed_old_agent(false);
}

/// The old agent was paused after it had decided on its order. The order arrives after
/// the successor's, at an engine that does not check fencing tokens.
#[test]
fn a_successor_corrects_a_late_order_of_the_old_agent() {
    let mut engine = FakeEngine { checks_fencing: false, state: EngineState::default() };
    let mut successor = start_agent(2, "redator-2", &mut engine);
    let fence = FencingToken { incarnation: 1, generation: 1 };
    engine.state = EngineState { model: "redator-1".into(), fence };
    let mut actions = Vec::new();
    successor.poll(Duration::from_secs(60), &mut actions);
    engine.execute(&mut successor, &mut actions);
    assert_eq!(engine.state.model, "redator-2");
}
