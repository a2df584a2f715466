//! Orders to the engine: which model it loads, fenced by generation and
//! incarnation.
//!
//! An engine that checks fencing numbers refuses an older one itself. For an
//! engine that ignores them the agent reads the state before and after every
//! order, and stops for good once a successor has given orders.

use std::time::Duration;

use compact_str::CompactString;

use crate::agent::AgentAction;
use crate::agent::RecordKind;
use crate::agent::record;

const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Orders engines by who may give orders; larger is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct FencingToken {
    /// Start of the agent.
    pub incarnation: u64,
    /// Generation of the manifest that the order follows.
    pub generation: u64,
}

/// An order to load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Model to load.
    pub model: CompactString,
    /// Fencing number.
    pub fence: FencingToken,
}

/// What the engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineState {
    /// Model that is loaded.
    pub model: CompactString,
    /// Newest fencing number it was given.
    pub fence: FencingToken,
}

/// What the engine should be, and what it was last seen to be.
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
    /// Orders of the agent with that incarnation.
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

    /// Takes over what the manifest wants of the engine.
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

    /// True once a successor has given orders.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Asks for the state from time to time, so that an order by an agent that
    /// woke up late is found and put right.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<AgentAction>) {
        if self.desired_model.is_none() || self.superseded {
            return;
        }
        if self.polled_at.is_none_or(|at| now >= at + POLL_INTERVAL) {
            self.polled_at = Some(now);
            out.push(AgentAction::ReadState);
        }
    }

    /// The engine told its state. Every order follows a fresh reading, so a
    /// paused agent meets its successor's fence before it can order.
    pub fn on_state(&mut self, state: &EngineState, out: &mut Vec<AgentAction>) {
        let Some(desired_model) = &self.desired_model else { return };
        if state.fence.incarnation > self.incarnation {
            if !self.superseded {
                record(out, RecordKind::OrderFenced, None, &state.fence.incarnation.to_string());
            }
            self.superseded = true;
            return;
        }
        if state.model == *desired_model {
            return;
        }
        let fence = FencingToken { incarnation: self.incarnation, generation: self.generation };
        record(out, RecordKind::OrderGiven, None, desired_model);
        out.push(AgentAction::Order(Order { model: desired_model.clone(), fence }));
        if !self.checks_fencing {
            out.push(AgentAction::ReadState);
        }
    }
}
