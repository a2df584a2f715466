//! Carries out what agents ask of their upstreams.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use crate::agent::AgentAction;
use crate::agent::AgentEvent;
use crate::agent::UpstreamEvent;
use crate::replay::simulation::FIRST_ENTRY_INCARNATION;
use crate::replay::simulation::HOP;
use crate::replay::simulation::ScheduledEvent;
use crate::replay::simulation::Simulation;
use crate::replay::simulation::index_of;
use crate::replay::trace::Event;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_entry::Kind as ToEntry;

impl Simulation<'_> {
    pub(super) fn carry_out_agent(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            self.carry_out_agent_one(agent, action);
        }
    }

    fn carry_out_agent_one(&mut self, agent: usize, action: AgentAction) {
        let now = self.now;
        match action {
            AgentAction::Send { entry, message } => {
                let Some(entry) = entry.checked_sub(FIRST_ENTRY_INCARNATION) else { return };
                let message = self.with_late_load(agent, message);
                let entry = entry as usize;
                self.at(now + HOP, ScheduledEvent::ToEntry { entry, agent, message });
            }
            AgentAction::Prefill(prefill) => self.prefill(agent, &prefill),
            AgentAction::Import { decode, timeout } => {
                self.at(now, ScheduledEvent::Import { agent, decode, until: now + timeout });
            }
            AgentAction::Decode { id, from_index, max_tokens, .. } => {
                self.decode(agent, id, from_index, max_tokens);
            }
            AgentAction::Stop { id } => {
                self.agents[agent].engine.stop(id);
                let event = UpstreamEvent::Stopped { id };
                self.at(now + HOP, ScheduledEvent::Upstream { agent, event });
            }
            AgentAction::Call(call) => {
                let id = call.id.unwrap_or_default();
                let request = index_of(&call.body);
                let takes = self.call_time(request);
                self.at(now + takes, ScheduledEvent::Called { agent, id, request });
            }
            AgentAction::ListStreams => {
                let event =
                    UpstreamEvent::Running { streams: self.agents[agent].engine.running_streams() };
                self.at(now, ScheduledEvent::Upstream { agent, event });
            }
            _ => {}
        }
    }

    /// Heartbeats come on time, but the load in them may be an old one.
    fn with_late_load(&mut self, agent: usize, message: ToEntry) -> ToEntry {
        let ToEntry::Heartbeat(mut beat) = message else { return message };
        if let Some(load) = beat.load {
            let reports = &mut self.agents[agent].reports;
            reports.push_back((self.now, load));
            let horizon = self.now.saturating_sub(self.report_lag);
            while reports.len() > 1 && reports[1].0 <= horizon {
                reports.pop_front();
            }
            beat.load = reports.front().map(|(_, load)| *load);
        }
        ToEntry::Heartbeat(beat)
    }

    fn prefill(&mut self, agent: usize, prefill: &wire::Prefill) {
        let request = index_of(&prefill.prompt);
        let engine = &mut self.agents[agent].engine;
        let cached = engine.look_up_and_cache(&prefill.prefixes, prefill.prompt_tokens);
        let computed = prefill.prompt_tokens - cached;
        let done = self.now + engine.prefill_time(computed);
        let model = self.snapshot.model(&prefill.model);
        let kv_bytes_per_token = model.map_or(0, |model| model.kv_bytes_per_token);
        let kv_bytes = u64::from(prefill.prompt_tokens) * u64::from(kv_bytes_per_token);
        let id = prefill.id.unwrap_or_default();
        self.at(done, ScheduledEvent::Computed { agent, id, request, computed, cached, kv_bytes });
    }

    pub(super) fn import(&mut self, agent: usize, decode: &wire::Decode, until: Duration) {
        let id = decode.id.unwrap_or_default();
        let failed = |evicted| UpstreamEvent::ImportFailed { id, evicted };
        let source = self.agents.iter().position(|node| node.upstream == decode.source);
        let Some(source) = source.filter(|&source| self.agents[source].up) else {
            self.at(until, ScheduledEvent::Upstream { agent, event: failed(false) });
            return;
        };
        let Some(kv) = self.agents[source].engine.result(self.now, &decode.handle) else {
            self.at(self.now + HOP, ScheduledEvent::Upstream { agent, event: failed(true) });
            return;
        };
        if self.rng.random_bool(self.stalled_share) {
            self.at(until, ScheduledEvent::Upstream { agent, event: failed(false) });
            return;
        }
        let (from, to) = (self.agents[source].zone.clone(), self.agents[agent].zone.clone());
        let snapshot = self.snapshot.clone();
        let done = self.links.transfer(self.now, &snapshot, &from, &to, decode.kv_bytes);
        if done > until {
            self.at(until, ScheduledEvent::Upstream { agent, event: failed(false) });
        } else if done >= kv.evicted_at {
            self.at(kv.evicted_at, ScheduledEvent::Upstream { agent, event: failed(true) });
        } else {
            let (request, computed) = (kv.request, kv.computed_tokens);
            self.at(done, ScheduledEvent::Imported { agent, id, request, source, computed });
        }
    }

    fn decode(&mut self, agent: usize, id: AttemptId, from_index: u32, max_tokens: u32) {
        let Some(request) = self.agents[agent].engine.imported_request(id) else { return };
        let Event::Generate(generate) = &self.trace.lines[request].event else { return };
        let end = generate.output_tokens.min(max_tokens);
        if self.agents[agent].engine.start_stream(id, from_index, end) {
            let at = self.now + self.agents[agent].engine.step_time();
            self.at(at, ScheduledEvent::Step { agent });
        }
    }

    pub(super) fn step(&mut self, agent: usize) {
        if !self.agents[agent].up {
            return;
        }
        for token in self.agents[agent].engine.finish_step() {
            let event = UpstreamEvent::Chunk {
                id: token.id,
                index: token.index,
                text: Bytes::from_static(b"t"),
                last: token.last,
                finish_reason: "stop".to_string(),
            };
            self.agent_event(agent, AgentEvent::Upstream(event));
        }
        if self.agents[agent].engine.is_stepping() {
            let at = self.now + self.agents[agent].engine.step_time();
            self.at(at, ScheduledEvent::Step { agent });
        }
    }

    fn call_time(&self, request: usize) -> Duration {
        match &self.trace.lines[request].event {
            Event::Call(call) => Duration::from_millis(call.takes_ms),
            _ => Duration::ZERO,
        }
    }

    pub(super) fn called(&mut self, agent: usize, id: AttemptId, request: usize) {
        if !self.agents[agent].up {
            return;
        }
        if let Event::Call(call) = &self.trace.lines[request].event {
            let rule = self.snapshot.non_idempotent_call(&call.service, &call.method, &call.path);
            self.summary.call_executed(request, rule.is_none());
        }
        let reply = wire::CallReply { id: Some(id), status: 200, ..wire::CallReply::default() };
        self.agent_event(agent, AgentEvent::Upstream(UpstreamEvent::CallDone { id, reply }));
    }
}
