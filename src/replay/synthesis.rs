//! Generates synthetic traces for the two reference workloads, reproducible from
//! a seed.

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::manifest::Snapshot;
use crate::replay::trace::CallLine;
use crate::replay::trace::Event;
use crate::replay::trace::FORMAT_VERSION;
use crate::replay::trace::Fault;
use crate::replay::trace::GenerateLine;
use crate::replay::trace::Header;
use crate::replay::trace::Line;
use crate::replay::trace::Trace;

const S_PER_US: f64 = 1e-6;
const MS_PER_S: f64 = 1_000.0;

/// Kind of generation request in a workload: its sizes and its share.
#[derive(Debug, Clone)]
pub struct GenerateKind {
    /// Fraction of all generation requests that are of this kind, 0 to 1.
    pub share: f64,
    /// Client account that sends the requests.
    pub account: &'static str,
    /// Shortest and longest prompt, in tokens; lengths between are equally likely.
    pub prompt_tokens: (u32, u32),
    /// Number of prompt families, each with a common prefix; 0 if prompts share none.
    pub families: u32,
    /// Length of the prefix that the prompts of one family share, in tokens.
    pub shared_tokens: u32,
    /// Shortest and longest response, in tokens; lengths between are equally likely.
    pub output_tokens: (u32, u32),
    /// Limit on output tokens that the request asks for.
    pub max_tokens: u32,
}

/// Kind of call to a plain service in a workload, and its rate.
#[derive(Debug, Clone)]
pub struct CallKind {
    /// Arrival rate at load 1.0, in calls per second.
    pub per_s: f64,
    /// HTTP method of the call.
    pub method: &'static str,
    /// Path within the service.
    pub path: &'static str,
    /// Service time of the call at the upstream.
    pub takes_ms: u64,
}

/// Workload of one user: the requests it sends, and the fleet they are sent to.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name of the user, as [`workload_of`] takes it.
    pub name: &'static str,
    /// Path of the manifest, relative to the directory of the trace file.
    pub manifest: &'static str,
    /// Region that the whole fleet runs in.
    pub region: &'static str,
    /// Availability zones that the fleet is spread over.
    pub zones: [&'static str; 3],
    /// Name of the model that serves all generation requests.
    pub model: &'static str,
    /// Name of the plain service that serves all calls.
    pub service: &'static str,
    /// Kinds of generation requests; their shares add up to 1.
    pub generate_kinds: Vec<GenerateKind>,
    /// Kinds of calls to the plain service.
    pub call_kinds: Vec<CallKind>,
}

/// Returns the workload of a user by name, or `None` if there is no such user.
pub fn workload_of(name: &str) -> Option<Workload> {
    match name {
        "associacao" => Some(associacao()),
        "qayrawan" => Some(qayrawan()),
        _ => None,
    }
}

/// Returns the workload of the Associação: bulletins from long ledgers, auction
/// summaries with shared prefixes, price commentaries, lookups and price
/// submissions.
pub fn associacao() -> Workload {
    Workload {
        name: "associacao",
        manifest: "../../../examples/associacao.jsonc",
        region: "nordeste",
        zones: ["petrolina", "juazeiro", "caruaru"],
        model: "redator",
        service: "balcao",
        generate_kinds: vec![
            generate_kind(0.4, "boletim", (1_500, 5_000), (0, 0), (120, 320), 400),
            generate_kind(0.4, "leiloes", (1_300, 2_600), (8, 1_024), (60, 160), 200),
            generate_kind(0.2, "associados", (300, 1_200), (0, 0), (80, 200), 256),
        ],
        call_kinds: vec![
            call_kind(60.0, "GET", "/prices/santa-ines", 5),
            call_kind(2.0, "POST", "/prices", 20),
        ],
    }
}

/// Returns the workload of Qayrawan: long transcripts, damage logs, captions with
/// shared prefixes, urgent lookups, scan orders and slot bookings.
pub fn qayrawan() -> Workload {
    Workload {
        name: "qayrawan",
        manifest: "../../../examples/qayrawan.jsonc",
        region: "tunis-north",
        zones: ["tn-a", "tn-b", "tn-c"],
        model: "restore-lm",
        service: "archive-desk",
        generate_kinds: vec![
            generate_kind(0.35, "summaries", (3_000, 9_000), (0, 0), (180, 420), 512),
            generate_kind(0.35, "splice-notes", (1_500, 4_000), (0, 0), (100, 260), 320),
            generate_kind(0.3, "captioning", (1_300, 2_200), (6, 1_024), (40, 120), 160),
        ],
        call_kinds: vec![
            call_kind(20.0, "GET", "/catalogue/reel-7", 8),
            call_kind(0.5, "POST", "/scan-orders", 30),
            call_kind(0.5, "POST", "/telecine-slots", 30),
        ],
    }
}

fn generate_kind(
    share: f64,
    account: &'static str,
    prompt_tokens: (u32, u32),
    (families, shared_tokens): (u32, u32),
    output_tokens: (u32, u32),
    max_tokens: u32,
) -> GenerateKind {
    GenerateKind {
        share,
        account,
        prompt_tokens,
        families,
        shared_tokens,
        output_tokens,
        max_tokens,
    }
}

fn call_kind(per_s: f64, method: &'static str, path: &'static str, takes_ms: u64) -> CallKind {
    CallKind { per_s, method, path, takes_ms }
}

/// Parameters of a synthetic trace, besides the workload.
#[derive(Debug, Clone)]
pub struct Synthesis {
    /// Seed of all random choices in the trace.
    pub seed: u64,
    /// Length of the trace; requests arrive from 0 up to this time.
    pub duration_ms: u64,
    /// Arrival rate of generation requests as a multiple of [`capacity_per_s`], and
    /// of calls as a multiple of [`CallKind::per_s`].
    pub load: f64,
    /// Faults to inject, each with its time in milliseconds from the start.
    pub faults: Vec<(u64, Fault)>,
}

impl Default for Synthesis {
    fn default() -> Self {
        Self { seed: 1, duration_ms: 60_000, load: 1.0, faults: Vec::new() }
    }
}

fn mean((low, high): (u32, u32)) -> f64 {
    f64::from(low + high) / 2.0
}

/// Estimates how many generation requests of this workload per second the pools
/// of the manifest can serve: the lower of the prefill and the decode rate.
///
/// Assumes that shared prefixes are always cached and that every stream reserves
/// blocks for its `max_tokens`. Returns 0 if the manifest lacks the model or a pool.
pub fn capacity_per_s(workload: &Workload, snapshot: &Snapshot) -> f64 {
    let Some(model) = snapshot.model(workload.model) else { return 0.0 };
    let pools = snapshot.pool(&model.prefill_pool).zip(snapshot.pool(&model.decode_pool));
    let Some((prefill, decode)) = pools else { return 0.0 };
    let workload_mean = |value: &dyn Fn(&GenerateKind) -> f64| -> f64 {
        workload.generate_kinds.iter().map(|kind| kind.share * value(kind)).sum()
    };
    let uncached_tokens =
        workload_mean(&|kind| mean(kind.prompt_tokens) - f64::from(kind.shared_tokens));
    let prefill_per_s =
        f64::from(prefill.replicas) * f64::from(prefill.prefill_tokens_per_s) / uncached_tokens;
    let blocks_per_stream = workload_mean(&|kind| {
        (mean(kind.prompt_tokens) + f64::from(kind.max_tokens)) / f64::from(decode.block_tokens)
    });
    let streams_per_engine =
        f64::from(decode.max_streams).min(f64::from(decode.blocks) / blocks_per_stream);
    let step_s = f64::from(decode.step_us(streams_per_engine as u32)) * S_PER_US;
    let output_tokens = workload_mean(&|kind| mean(kind.output_tokens));
    let decode_per_s = f64::from(decode.replicas) * streams_per_engine / (output_tokens * step_s);
    prefill_per_s.min(decode_per_s)
}

/// Generates a trace of the workload, with its lines in order of time.
pub fn synthesize(workload: &Workload, snapshot: &Snapshot, synthesis: &Synthesis) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(synthesis.seed);
    let mut lines = Vec::new();
    let per_s = capacity_per_s(workload, snapshot) * synthesis.load;
    for at_ms in arrivals(per_s, synthesis.duration_ms, &mut rng) {
        lines.push(Line { at_ms, event: Event::Generate(generate_line(workload, &mut rng)) });
    }
    for kind in &workload.call_kinds {
        for at_ms in arrivals(kind.per_s * synthesis.load, synthesis.duration_ms, &mut rng) {
            lines.push(Line { at_ms, event: Event::Call(call_line(workload, kind, &mut rng)) });
        }
    }
    for (at_ms, fault) in &synthesis.faults {
        lines.push(Line { at_ms: *at_ms, event: Event::Fault(fault.clone()) });
    }
    lines.sort_by_key(|line| line.at_ms);
    let header = Header {
        version: FORMAT_VERSION,
        manifest: workload.manifest.to_string(),
        duration_ms: synthesis.duration_ms,
        zones: workload.zones.iter().map(|&zone| CompactString::from(zone)).collect(),
        region: workload.region.into(),
    };
    Trace { header, lines }
}

/// Returns the arrival times of a Poisson process, in milliseconds.
fn arrivals(per_s: f64, duration_ms: u64, rng: &mut impl Rng) -> Vec<u64> {
    let mut times = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let sample: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -sample.ln() / per_s * MS_PER_S;
        if at_ms >= duration_ms as f64 {
            return times;
        }
        times.push(at_ms as u64);
    }
}

fn generate_line(workload: &Workload, rng: &mut impl Rng) -> GenerateLine {
    let kind = pick(&workload.generate_kinds, rng);
    let family = if kind.families == 0 { 0 } else { rng.random_range(1..=kind.families) };
    GenerateLine {
        account: kind.account.into(),
        model: workload.model.into(),
        prompt_tokens: rng.random_range(kind.prompt_tokens.0..=kind.prompt_tokens.1),
        family,
        shared_tokens: kind.shared_tokens,
        max_tokens: kind.max_tokens,
        output_tokens: rng.random_range(kind.output_tokens.0..=kind.output_tokens.1),
        gone_after_ms: None,
    }
}

/// Picks a kind at random, weighted by the shares.
fn pick<'a>(generate_kinds: &'a [GenerateKind], rng: &mut impl Rng) -> &'a GenerateKind {
    let mut remaining: f64 = rng.random_range(0.0..1.0);
    for kind in generate_kinds {
        remaining -= kind.share;
        if remaining < 0.0 {
            return kind;
        }
    }
    &generate_kinds[generate_kinds.len() - 1]
}

fn call_line(workload: &Workload, kind: &CallKind, rng: &mut impl Rng) -> CallLine {
    let key = (kind.method == "POST").then(|| rng.random::<u64>().to_string().into());
    CallLine {
        account: workload.generate_kinds[0].account.into(),
        service: workload.service.into(),
        method: kind.method.into(),
        path: kind.path.to_string(),
        takes_ms: kind.takes_ms,
        key,
    }
}
