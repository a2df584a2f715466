//! Orders to the engine to load a model, fenced by the agent's incarnation and the
//! manifest generation.
//!
//! An engine that checks fencing tokens rejects an order with an older one itself. For
//! an engine that ignores them, the agent reads the state before and after every
//! order, and stops giving orders for good once a newer agent has given one.

use std::time::Duration;

use compact_str::CompactString;

use crate::agent::AgentAction;
use crate::agent::Decision;
use crate::agent::record;

/// Interval at which the state of the engine is read.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Fencing token of an order. Compares by incarnation, then generation; an order with
/// a smaller token than the newest one that the engine has seen is outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct FencingToken {
    /// Incarnation of the agent that gives the order.
    pub incarnation: u64,
    /// Generation of the manifest in force at that agent.
    pub generation: u64,
}

/// An order to the engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the model to load.
    pub model: CompactString,
    /// Fencing token of the order.
    pub fence: FencingToken,
}

/// State that the engine reports: its loaded model and newest fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineState {
    /// Name of the loaded model.
    pub model: CompactString,
    /// Newest fencing token that the engine has received with an order.
    pub fence: FencingToken,
}

/// Decides which orders to give, from the model that the manifest assigns to the
/// engine and the state that the engine reports.
#[derive(Debug)]
pub struct Orders {
    incarnation: u64,
    generation: u64,
    desired_model: Option<CompactString>,
    checks_fencing: bool,
    superseded: bool,
    polled_at: Option<Duration>,
}

impl Orders {
    /// Creates the orders of an agent with this incarnation; gives none until
    /// [`Orders::configure`] sets a model.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            generation: 0,
            desired_model: None,
            checks_fencing: false,
            superseded: false,
            polled_at: None,
        }
    }

    /// Sets the model that the manifest assigns to the engine (`None` for a plain
    /// service) and whether the engine checks fencing tokens, and reads the state.
    pub fn configure(
        &mut self,
        generation: u64,
        desired_model: Option<CompactString>,
        checks_fencing: bool,
        out: &mut Vec<AgentAction>,
    ) {
        self.generation = generation;
        self.desired_model = desired_model;
        self.checks_fencing = checks_fencing;
        if self.desired_model.is_some() {
            out.push(AgentAction::ReadState);
        }
    }

    /// Returns true once a newer agent has given orders; this one gives no more.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Reads the state periodically, so that an order that an older, paused agent gave
    /// late is detected and corrected.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        if self.desired_model.is_none() || self.superseded {
            return;
        }
        if self.polled_at.is_none_or(|at| now >= at + POLL_INTERVAL) {
            self.polled_at = Some(now);
            out.push(AgentAction::ReadState);
        }
    }

    /// Handles a reported state and orders the assigned model if another is loaded.
    /// Every order follows a fresh reading, so an agent that was paused sees the
    /// fencing token of its successor before it can give an order.
    pub fn on_state(&mut self, state: &EngineState, out: &mut Vec<AgentAction>) {
        let Some(desired_model) = &self.desired_model else { return };
        if state.fence.incarnation > self.incarnation {
            if !self.superseded {
                record(out, Decision::OrderFenced, None, &state.fence.incarnation.to_string());
            }
            self.superseded = true;
            return;
        }
        if state.model == *desired_model {
            return;
        }
        let fence = FencingToken { incarnation: self.incarnation, generation: self.generation };
        record(out, Decision::OrderGiven, None, desired_model);
        out.push(AgentAction::Order(Order { model: desired_model.clone(), fence }));
        if !self.checks_fencing {
            out.push(AgentAction::ReadState);
        }
    }
}
