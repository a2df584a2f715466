//! Executes the actions of the agent cores at the simulated engines and services.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use crate::agent::AgentAction;
use crate::agent::AgentEvent;
use crate::agent::UpstreamEvent;
use crate::replay::simulation::FIRST_ENTRY_INCARNATION;
use crate::replay::simulation::NETWORK_LATENCY;
use crate::replay::simulation::ScheduledEvent;
use crate::replay::simulation::Simulation;
use crate::replay::simulation::index_of;
use crate::replay::trace::Event;
use crate::schema::wire;
use crate::schema::wire::AttemptId;
use crate::schema::wire::to_entry::Kind as ToEntry;

impl Simulation<'_> {
    pub(super) fn execute_agent_actions(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            self.execute_agent_action(agent, action);
        }
    }

    fn execute_agent_action(&mut self, agent: usize, action: AgentAction) {
        let now = self.now;
        match action {
            AgentAction::Send { entry, message } => {
                let Some(entry) = entry.checked_sub(FIRST_ENTRY_INCARNATION) else { return };
                let message = self.with_delayed_load(agent, message);
                let entry = entry as usize;
                self.schedule(
                    now + NETWORK_LATENCY,
                    ScheduledEvent::ToEntry { entry, agent, message },
                );
            }
            AgentAction::Prefill(prefill) => self.start_prefill(agent, &prefill),
            AgentAction::Import { decode, timeout } => {
                self.schedule(
                    now,
                    ScheduledEvent::ImportStarted { agent, decode, deadline: now + timeout },
                );
            }
            AgentAction::Decode { id, from_index, max_tokens, .. } => {
                self.start_stream(agent, id, from_index, max_tokens);
            }
            AgentAction::Cancel { id } => {
                self.agents[agent].engine.cancel(id);
                let event = UpstreamEvent::Cancelled { id };
                self.schedule(now + NETWORK_LATENCY, ScheduledEvent::Upstream { agent, event });
            }
            AgentAction::Call(call) => {
                let id = call.id.unwrap_or_default();
                let request = index_of(&call.body);
                let service_time = self.service_time(request);
                self.schedule(
                    now + service_time,
                    ScheduledEvent::CallFinished { agent, id, request },
                );
            }
            AgentAction::ListStreams => {
                let event = UpstreamEvent::RunningStreams {
                    streams: self.agents[agent].engine.running_streams(),
                };
                self.schedule(now, ScheduledEvent::Upstream { agent, event });
            }
            _ => {}
        }
    }

    /// Replaces the load report in a heartbeat by one that is older by the report lag.
    /// The heartbeat itself is not delayed.
    fn with_delayed_load(&mut self, agent: usize, message: ToEntry) -> ToEntry {
        let ToEntry::Heartbeat(mut heartbeat) = message else { return message };
        if let Some(load) = heartbeat.load {
            let load_reports = &mut self.agents[agent].load_reports;
            load_reports.push_back((self.now, load));
            let cutoff = self.now.saturating_sub(self.report_lag);
            while load_reports.len() > 1 && load_reports[1].0 <= cutoff {
                load_reports.pop_front();
            }
            heartbeat.load = load_reports.front().map(|(_, load)| *load);
        }
        ToEntry::Heartbeat(heartbeat)
    }

    /// Schedules the end of a prefill. The prompt counts as cached from now on.
    fn start_prefill(&mut self, agent: usize, prefill: &wire::Prefill) {
        let request = index_of(&prefill.prompt);
        let engine = &mut self.agents[agent].engine;
        let cached_tokens = engine.look_up_and_cache(&prefill.prefixes, prefill.prompt_tokens);
        let computed_tokens = prefill.prompt_tokens - cached_tokens;
        let done_at = self.now + engine.prefill_time(computed_tokens);
        let model = self.snapshot.model(&prefill.model);
        let kv_bytes_per_token = model.map_or(0, |model| model.kv_bytes_per_token);
        let kv_bytes = u64::from(prefill.prompt_tokens) * u64::from(kv_bytes_per_token);
        let id = prefill.id.unwrap_or_default();
        self.schedule(
            done_at,
            ScheduledEvent::PrefillFinished {
                agent,
                id,
                request,
                computed_tokens,
                cached_tokens,
                kv_bytes,
            },
        );
    }

    /// Schedules the end of a KV cache import, or its failure. The import fails at the
    /// deadline if the source is lost or the transfer stalls or would end later. It fails
    /// at the eviction if the source evicts the prefill result during a transfer that would
    /// end in time. If the source has no such result any more, it fails after the network
    /// latency.
    pub(super) fn start_import(&mut self, agent: usize, decode: &wire::Decode, deadline: Duration) {
        let id = decode.id.unwrap_or_default();
        let failed = |evicted| UpstreamEvent::ImportFailed { id, evicted };
        let source = self.agents.iter().position(|node| node.upstream == decode.source);
        let Some(source) = source.filter(|&source| self.agents[source].up) else {
            self.schedule(deadline, ScheduledEvent::Upstream { agent, event: failed(false) });
            return;
        };
        let Some(result) = self.agents[source].engine.result(self.now, &decode.handle) else {
            self.schedule(
                self.now + NETWORK_LATENCY,
                ScheduledEvent::Upstream { agent, event: failed(true) },
            );
            return;
        };
        if self.rng.random_bool(self.stalled_share) {
            self.schedule(deadline, ScheduledEvent::Upstream { agent, event: failed(false) });
            return;
        }
        let (from, to) = (self.agents[source].zone.clone(), self.agents[agent].zone.clone());
        let snapshot = self.snapshot.clone();
        let done_at = self.links.transfer(self.now, &snapshot, &from, &to, decode.kv_bytes);
        if done_at > deadline {
            self.schedule(deadline, ScheduledEvent::Upstream { agent, event: failed(false) });
        } else if done_at >= result.evicted_at {
            self.schedule(
                result.evicted_at,
                ScheduledEvent::Upstream { agent, event: failed(true) },
            );
        } else {
            let (request, computed_tokens) = (result.request, result.computed_tokens);
            self.schedule(
                done_at,
                ScheduledEvent::ImportFinished { agent, id, request, source, computed_tokens },
            );
        }
    }

    fn start_stream(&mut self, agent: usize, id: AttemptId, from_index: u32, max_tokens: u32) {
        let Some(request) = self.agents[agent].engine.imported_request(id) else { return };
        let Event::Generate(generate) = &self.trace.lines[request].event else { return };
        let end_index = generate.output_tokens.min(max_tokens);
        if self.agents[agent].engine.start_stream(id, from_index, end_index) {
            let at = self.now + self.agents[agent].engine.step_time();
            self.schedule(at, ScheduledEvent::StepFinished { agent });
        }
    }

    /// Delivers the tokens of a decode step and schedules the next step if streams
    /// remain.
    pub(super) fn finish_step(&mut self, agent: usize) {
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
            self.handle_agent_event(agent, AgentEvent::Upstream(event));
        }
        if self.agents[agent].engine.is_stepping() {
            let at = self.now + self.agents[agent].engine.step_time();
            self.schedule(at, ScheduledEvent::StepFinished { agent });
        }
    }

    /// Returns the service time of a call from its trace line.
    fn service_time(&self, request: usize) -> Duration {
        match &self.trace.lines[request].event {
            Event::Call(call) => Duration::from_millis(call.takes_ms),
            _ => Duration::ZERO,
        }
    }

    pub(super) fn finish_call(&mut self, agent: usize, id: AttemptId, request: usize) {
        if !self.agents[agent].up {
            return;
        }
        if let Event::Call(call) = &self.trace.lines[request].event {
            let rule = self.snapshot.non_idempotent_call(&call.service, &call.method, &call.path);
            self.summary.call_executed(request, rule.is_none());
        }
        let reply = wire::CallReply { id: Some(id), status: 200, ..wire::CallReply::default() };
        self.handle_agent_event(agent, AgentEvent::Upstream(UpstreamEvent::CallDone { id, reply }));
    }
}
