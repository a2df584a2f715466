//! Stand-ins of replicas: model engines that prefill or decode, and a plain service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::json_number;
use crate::http::json_text;
use crate::record::Random;
use crate::record::Record;
use crate::store::Store;

/// Memory of an engine for tokens (`kvCapacity` of the small deployment).
pub const KV_CAPACITY: u32 = 51_867;
/// Requests that an engine works on at once.
const SLOTS: usize = 64;
/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 55.5556;
/// Output tokens in one event of a stream (`stride`).
const TOKENS_PER_EVENT: u32 = 7;
/// Time of one step, which makes a token for each running request.
const STEP: Duration = Duration::from_micros(5_610);
/// Time that an engine takes to change its stage (`switchS`).
const SWITCH_TIME: Duration = Duration::from_secs(6);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Late second answers: the garble of the pages, `extra late`.
pub struct ExtraLate {
    /// Share of the answers that come a second time.
    pub share_of_answers: f64,
    /// Spans after the start of the play in which answers are chosen.
    pub spans: Vec<(Duration, Duration)>,
}

/// Requests that fail though the replica is healthy: `srv_grey` of the pages.
#[derive(Debug, Clone, Copy)]
pub struct Grey {
    pub failure: GreyFailure,
    pub share_of_requests: f64,
}

/// How requests fail at a grey replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GreyFailure {
    /// The answer is 500 (`errors`).
    Error,
    /// The stream begins, and its connection breaks after two events (`reset`).
    Reset,
}

/// Streams that pause in their middle, as those of a sound engine do that preempts them.
pub struct Pauses {
    pub share_of_streams: f64,
    pub length: Duration,
}

#[derive(Default)]
struct EngineState {
    stage: String,
    /// Orders accepted, and the highest fencing token.
    seq: u64,
    fence: u64,
    busy_until: Option<Instant>,
    /// Reserved tokens and the end of each reservation.
    holds: HashMap<String, (u32, Instant)>,
    running_tokens: u32,
    running: usize,
    /// Handles of prefill results that were not taken.
    handles: HashSet<String>,
    /// When the prefills that were accepted will be done.
    prefills_until: Option<Instant>,
}

pub struct Replica {
    pub id: String,
    service: String,
    zone: String,
    address: OnceLock<SocketAddr>,
    server: Arc<http::Server>,
    born_ms: u64,
    is_engine: bool,
    state: Mutex<EngineState>,
    pub service_state: Mutex<&'static str>,
    extra_late: Option<ExtraLate>,
    /// Set while the replica is grey.
    grey: Mutex<Option<Grey>>,
    pauses: Option<Pauses>,
    /// Engines by address, for handles of prefill results.
    peers: Arc<Mutex<HashMap<String, Arc<Replica>>>>,
    record: Arc<Record>,
    random: Arc<Random>,
    /// Work of a plain request.
    work: Duration,
}

pub struct ReplicaSettings<'a> {
    pub ip: &'a str,
    pub id: String,
    pub service: &'a str,
    pub zone: &'a str,
    /// Stage of an engine; `None` for a plain service.
    pub stage: Option<&'a str>,
    pub extra_late: Option<ExtraLate>,
    pub pauses: Option<Pauses>,
    pub peers: Arc<Mutex<HashMap<String, Arc<Replica>>>>,
    pub record: Arc<Record>,
    pub random: Arc<Random>,
    pub work: Duration,
}

impl Replica {
    /// Starts a replica on a free port.
    pub fn start(settings: ReplicaSettings) -> Arc<Self> {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let stage = settings.stage.unwrap_or("").to_string();
        let replica = Arc::new(Self {
            id: settings.id,
            service: settings.service.to_string(),
            zone: settings.zone.to_string(),
            address: OnceLock::new(),
            server: Arc::default(),
            born_ms: born.as_millis() as u64,
            is_engine: settings.stage.is_some(),
            state: Mutex::new(EngineState { stage, ..EngineState::default() }),
            service_state: Mutex::new("ready"),
            extra_late: settings.extra_late,
            grey: Mutex::default(),
            pauses: settings.pauses,
            peers: settings.peers.clone(),
            record: settings.record,
            random: settings.random,
            work: settings.work,
        });
        let served = replica.clone();
        let address =
            http::listen(settings.ip, replica.server.clone(), move |stream| served.serve(stream));
        replica.address.set(address).unwrap();
        settings.peers.lock().unwrap().insert(address.to_string(), replica.clone());
        replica
    }

    pub fn address(&self) -> SocketAddr {
        *self.address.get().unwrap()
    }

    /// What the replica writes to its entry of the list.
    pub fn list_entry(&self, beat: u64) -> String {
        let (service, zone, born) = (&self.service, &self.zone, self.born_ms);
        let (address, state) = (self.address(), *self.service_state.lock().unwrap());
        let mut stage = String::new();
        let mut slots = 6;
        if self.is_engine {
            slots = SLOTS;
            let name = &self.state.lock().unwrap().stage;
            stage = format!(
                ",\"stage\":\"{name}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            );
        }
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0{stage},\
             \"born\":{born},\"seq\":{beat}}}"
        )
    }

    /// Writes the entry of the list at each heartbeat, until `is_over`.
    pub fn beat(self: &Arc<Self>, store: Arc<Store>, is_over: impl Fn() -> bool + Send + 'static) {
        let replica = self.clone();
        std::thread::spawn(move || {
            for beat in 1.. {
                if is_over() {
                    return;
                }
                replica.settle_order();
                store.put("keyed.servers", &replica.id, Some(&replica.list_entry(beat)));
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the replica as the end of its process does.
    pub fn end(&self) {
        self.server.end();
    }

    fn settle_order(&self) {
        let mut state = self.state.lock().unwrap();
        if state.busy_until.is_some_and(|until| until <= Instant::now()) {
            state.busy_until = None;
        }
    }

    /// True if the answer that is sent now comes a second time.
    fn repeats_answer(&self) -> bool {
        let Some(extra) = &self.extra_late else { return false };
        let now = self.record.now();
        let chosen = extra.spans.iter().any(|(from, to)| (*from..*to).contains(&now));
        chosen && self.random.unit() < extra.share_of_answers
    }

    /// Makes the replica grey, or sound again.
    pub fn set_grey(&self, grey: Option<Grey>) {
        let was_grey = std::mem::replace(&mut *self.grey.lock().unwrap(), grey).is_some();
        if was_grey || grey.is_some() {
            let kind = if grey.is_some() { "grey" } else { "sound" };
            self.record.add(kind, &self.id, "from now on");
        }
    }

    pub fn decodes(&self) -> bool {
        self.state.lock().unwrap().stage == "decode"
    }

    /// How the request fails that runs now; `None` if it doesn't.
    fn failure_now(&self) -> Option<GreyFailure> {
        let grey = (*self.grey.lock().unwrap())?;
        (self.random.unit() < grey.share_of_requests).then_some(grey.failure)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = http::Reader::new(stream);
        // A second copy of an answer, which comes where the next one is expected.
        let mut extra: Option<(Vec<u8>, String)> = None;
        while let Ok(Some(request)) = reader.message() {
            if let Some((bytes, of)) = extra.take() {
                self.record.add(
                    "extra",
                    &self.id,
                    format!("second answer to {of}, before that to {}", request.first_line),
                );
                if output.write_all(&bytes).is_err() {
                    return;
                }
            }
            match self.answer(&request, &mut output) {
                Answer::Whole(bytes) => {
                    if output.write_all(&bytes).is_err() {
                        return;
                    }
                    if self.repeats_answer() {
                        let status = String::from_utf8_lossy(&bytes[9..12]).into_owned();
                        extra = Some((bytes, format!("{} ({status})", request.first_line)));
                    }
                }
                Answer::Streamed => {}
                Answer::Broken => return,
            }
        }
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> Answer {
        let id = request.header("bamboodoor-request-id").unwrap_or("").to_string();
        let mut echo = Vec::new();
        if !id.is_empty() {
            echo.push(("Bamboodoor-Request-Id", id.clone()));
        }
        if request.header("bamboodoor-expect-instance").is_some_and(|it| it != self.id) {
            echo.push(("Bamboodoor-Instance-Id", self.id.clone()));
            return Answer::Whole(http::response(421, &echo, b""));
        }
        let json = [("Content-Type", "application/json".to_string())];
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), request.path()) {
            ("POST", "/api/hold-take") => match self.take_hold(&text) {
                Some(hold) => {
                    let body = format!("{{\"hold\":\"{hold}\"}}");
                    Answer::Whole(http::response(200, &json, body.as_bytes()))
                }
                None => Answer::Whole(shed(&[])),
            },
            ("GET", "/api/report") => {
                Answer::Whole(http::response(200, &json, self.report().as_bytes()))
            }
            ("POST", "/api/order") => {
                Answer::Whole(http::response(self.order(&text), &json, b"{}"))
            }
            ("DELETE", path) => {
                let name = path.rsplit('/').next().unwrap_or("");
                let mut state = self.state.lock().unwrap();
                state.holds.remove(name);
                state.handles.remove(name);
                Answer::Whole(http::response(200, &[], b""))
            }
            _ if !self.is_engine => self.run_plain(&id, echo),
            _ if request.header("bamboodoor-stage") == Some("prefill") => {
                self.prefill(request, echo)
            }
            _ => self.decode(request, &id, echo, output),
        }
    }

    fn take_hold(&self, body: &str) -> Option<String> {
        let tokens = json_number(body, "tokens")? as u32;
        let ttl = json_number(body, "ttlMs")?.min(2_000.0);
        let mut state = self.state.lock().unwrap();
        if state.stage != "decode" || !has_room(&mut state, tokens) {
            return None;
        }
        let hold = format!("h{}", self.random.id());
        let until = Instant::now() + Duration::from_secs_f64(ttl / 1_000.0);
        state.holds.insert(hold.clone(), (tokens, until));
        Some(hold)
    }

    fn report(&self) -> String {
        self.settle_order();
        let state = self.state.lock().unwrap();
        let (stage, busy, seq) = (&state.stage, state.busy_until.is_some(), state.seq);
        let (running, used, handles) = (state.running, state.running_tokens, state.handles.len());
        format!(
            "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{busy},\"seq\":{seq},\"waiting\":0,\"running\":{running},\"kvUsed\":{used},\
             \"kvTotal\":{KV_CAPACITY},\"handles\":{handles}}}"
        )
    }

    fn order(&self, body: &str) -> u16 {
        self.settle_order();
        let mut state = self.state.lock().unwrap();
        let fence = json_number(body, "fence").unwrap_or(0.0) as u64;
        let expected = json_number(body, "expected").map(|it| it as u64);
        let stage = json_text(body, "stage").unwrap_or_default();
        let holder = json_text(body, "holder").unwrap_or_default();
        let status = if fence < state.fence {
            412
        } else if state.busy_until.is_some() || expected.is_some_and(|it| it != state.seq) {
            409
        } else if state.stage == stage {
            200
        } else {
            state.seq += 1;
            state.stage = stage.clone();
            state.busy_until = Some(Instant::now() + SWITCH_TIME);
            202
        };
        state.fence = state.fence.max(fence);
        let detail = format!("{stage} from {holder} with fence {fence}: {status}");
        self.record.add("order", &self.id, detail);
        status
    }

    fn prefill(&self, request: &Message, echo: Vec<(&str, String)>) -> Answer {
        let tokens = token_count(request).0;
        let done = {
            let mut state = self.state.lock().unwrap();
            if state.stage != "prefill" {
                return Answer::Whole(http::response(421, &echo, b""));
            }
            let time = Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1_000.0);
            let done =
                state.prefills_until.map_or(Instant::now(), |it| it.max(Instant::now())) + time;
            state.prefills_until = Some(done);
            done
        };
        std::thread::sleep(done.saturating_duration_since(Instant::now()));
        let handle = format!("k{}", self.random.id());
        self.state.lock().unwrap().handles.insert(handle.clone());
        let body = format!("{{\"handle\":\"{handle}\",\"tokens\":{tokens},\"version\":1}}");
        let mut headers = echo;
        headers.push(("Content-Type", "application/json".to_string()));
        Answer::Whole(http::response(200, &headers, body.as_bytes()))
    }

    /// Decodes a request: the stream is made at the pace of the engine's steps.
    fn decode(
        &self,
        request: &Message,
        id: &str,
        echo: Vec<(&str, String)>,
        output: &mut TcpStream,
    ) -> Answer {
        let (prompt, most) = token_count(request);
        if self.state.lock().unwrap().stage != "decode" {
            return Answer::Whole(http::response(421, &echo, b""));
        }
        let source = request.header("bamboodoor-kv-source");
        if let Some((address, handle)) = source.and_then(|it| it.split_once('/')) {
            let peer = self.peers.lock().unwrap().get(address).cloned();
            let taken = peer.is_some_and(|it| it.state.lock().unwrap().handles.remove(handle));
            if !taken {
                return Answer::Whole(shed(&echo));
            }
        }
        {
            let mut state = self.state.lock().unwrap();
            let hold = request.header("bamboodoor-kv-hold").and_then(|it| state.holds.remove(it));
            if hold.is_none() && !has_room(&mut state, prompt + most) {
                return Answer::Whole(shed(&echo));
            }
            state.running += 1;
            state.running_tokens += prompt + most;
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.record.add("run", id, format!("at {} after event {after}", self.id));
        let failure = self.failure_now();
        if failure == Some(GreyFailure::Error) {
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            state.running_tokens -= prompt + most;
            drop(state);
            self.record.add("run-end", id, format!("at {}: failed with 500", self.id));
            let mut headers = echo;
            headers.push(("Bamboodoor-Response-Signature", format!("s.{id}")));
            return Answer::Whole(http::response(500, &headers, b"error"));
        }
        let breaks = failure == Some(GreyFailure::Reset);
        let sent = self.stream(id, after, most, breaks, echo, output);
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        state.running_tokens -= prompt + most;
        drop(state);
        let end = match sent {
            Ok(()) => "complete",
            Err(_) if breaks => "broke off",
            Err(_) => "connection closed by the caller",
        };
        self.record.add("run-end", id, format!("at {}: {end}", self.id));
        if sent.is_ok() { Answer::Streamed } else { Answer::Broken }
    }

    fn stream(
        &self,
        id: &str,
        after: u32,
        tokens: u32,
        breaks: bool,
        echo: Vec<(&str, String)>,
        output: &mut TcpStream,
    ) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\n".to_string();
        for (name, value) in echo {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        head.push_str(&format!("Bamboodoor-Response-Signature: s.{id}\r\n\r\n"));
        let pauses = self.pauses.as_ref().filter(|it| self.random.unit() < it.share_of_streams);
        for event in after + 1..=tokens.div_ceil(TOKENS_PER_EVENT) {
            if breaks && event == after + 3 {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            if let Some(pauses) = pauses.filter(|_| event == after + 4) {
                self.record.add("pause", id, format!("at {}", self.id));
                std::thread::sleep(pauses.length);
            }
            let running = self.state.lock().unwrap().running as u32;
            std::thread::sleep((STEP + STEP * running / 8) * TOKENS_PER_EVENT);
            let text = format!("id: {event}\ndata: {} piece {event}\n\n", self.id);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            output.write_all(format!("{}{chunk}", std::mem::take(&mut head)).as_bytes())?;
        }
        output.write_all(format!("{head}0\r\n\r\n").as_bytes())
    }

    fn run_plain(&self, id: &str, mut echo: Vec<(&str, String)>) -> Answer {
        self.record.add("run", id, format!("at {}", self.id));
        std::thread::sleep(self.work.mul_f64(0.5 + self.random.unit()));
        self.record.add("run-end", id, format!("at {}", self.id));
        echo.push(("Bamboodoor-Response-Signature", format!("s.{id}")));
        Answer::Whole(http::response(200, &echo, format!("answer to {id}").as_bytes()))
    }
}

enum Answer {
    /// Response that is to be sent.
    Whole(Vec<u8>),
    /// The stream was sent.
    Streamed,
    /// The connection is unusable.
    Broken,
}

/// The rejection that `fleetbench wire` shows for any request.
fn shed(echo: &[(&str, String)]) -> Vec<u8> {
    let mut headers = echo.to_vec();
    headers.push(("Bamboodoor-Not-Executed", "1".to_string()));
    http::response(503, &headers, b"")
}

fn has_room(state: &mut EngineState, tokens: u32) -> bool {
    let now = Instant::now();
    state.holds.retain(|_, (_, until)| *until > now);
    let held: u32 = state.holds.values().map(|(tokens, _)| tokens).sum();
    state.running + state.holds.len() < SLOTS && state.running_tokens + held + tokens <= KV_CAPACITY
}

fn token_count(request: &Message) -> (u32, u32) {
    let text = request.header("bamboodoor-token-count").unwrap_or("0,0");
    let (prompt, most) = text.split_once(',').unwrap_or(("0", "0"));
    (prompt.trim().parse().unwrap_or(0), most.trim().parse().unwrap_or(0))
}
