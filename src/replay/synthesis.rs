//! Makes traces for the sizes and mixes of both users, from a seed.

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::manifest::Snapshot;
use crate::replay::trace::CallLine;
use crate::replay::trace::Event;
use crate::replay::trace::Fault;
use crate::replay::trace::GenerateLine;
use crate::replay::trace::Header;
use crate::replay::trace::Line;
use crate::replay::trace::Trace;
use crate::replay::trace::VERSION;

const S_PER_US: f64 = 1e-6;
const MS_PER_S: f64 = 1_000.0;

/// A kind of request and how often it comes.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Share of the generated answers.
    pub share: f64,
    /// Client account.
    pub account: &'static str,
    /// Shortest and longest prompt.
    pub prompt_tokens: (u32, u32),
    /// Families of prompts that begin alike; 0 for none.
    pub families: u32,
    /// How long they are alike.
    pub shared_tokens: u32,
    /// Shortest and longest answer.
    pub output_tokens: (u32, u32),
    /// Most tokens wanted.
    pub max_tokens: u32,
}

/// A kind of call and how often it comes.
#[derive(Debug, Clone)]
pub struct CallKind {
    /// Calls a second at 1.0 times capacity.
    pub per_s: f64,
    /// HTTP method.
    pub method: &'static str,
    /// Path below the service.
    pub path: &'static str,
    /// Time the service takes.
    pub takes_ms: u64,
}

/// What a user sends.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Name of the user.
    pub name: &'static str,
    /// File of the manifest, relative to the trace.
    pub manifest: &'static str,
    /// Region.
    pub region: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Model of the generated answers.
    pub model: &'static str,
    /// Service of the calls.
    pub service: &'static str,
    /// Kinds of generated answers.
    pub drafts: Vec<Draft>,
    /// Kinds of calls.
    pub calls: Vec<CallKind>,
}

/// The mix of a user by name.
pub fn mix_of(name: &str) -> Option<Mix> {
    match name {
        "associacao" => Some(associacao()),
        "qayrawan" => Some(qayrawan()),
        _ => None,
    }
}

/// The Associação: bulletins from long ledgers, auction summaries with shared
/// prefixes, price commentaries, lookups and price submissions.
pub fn associacao() -> Mix {
    Mix {
        name: "associacao",
        manifest: "../../../examples/associacao.jsonc",
        region: "nordeste",
        zones: ["petrolina", "juazeiro", "caruaru"],
        model: "redator",
        service: "balcao",
        drafts: vec![
            draft(0.4, "boletim", (1_500, 5_000), (0, 0), (120, 320), 400),
            draft(0.4, "leiloes", (1_300, 2_600), (8, 1_024), (60, 160), 200),
            draft(0.2, "associados", (300, 1_200), (0, 0), (80, 200), 256),
        ],
        calls: vec![call(60.0, "GET", "/prices/santa-ines", 5), call(2.0, "POST", "/prices", 20)],
    }
}

/// Qayrawan: long transcripts, damage logs, captions with shared prefixes,
/// urgent lookups, scan orders and slot reservations.
pub fn qayrawan() -> Mix {
    Mix {
        name: "qayrawan",
        manifest: "../../../examples/qayrawan.jsonc",
        region: "tunis-north",
        zones: ["tn-a", "tn-b", "tn-c"],
        model: "restore-lm",
        service: "archive-desk",
        drafts: vec![
            draft(0.35, "summaries", (3_000, 9_000), (0, 0), (180, 420), 512),
            draft(0.35, "splice-notes", (1_500, 4_000), (0, 0), (100, 260), 320),
            draft(0.3, "captioning", (1_300, 2_200), (6, 1_024), (40, 120), 160),
        ],
        calls: vec![
            call(20.0, "GET", "/catalogue/reel-7", 8),
            call(0.5, "POST", "/scan-orders", 30),
            call(0.5, "POST", "/telecine-slots", 30),
        ],
    }
}

fn draft(
    share: f64,
    account: &'static str,
    prompt_tokens: (u32, u32),
    (families, shared_tokens): (u32, u32),
    output_tokens: (u32, u32),
    max_tokens: u32,
) -> Draft {
    Draft { share, account, prompt_tokens, families, shared_tokens, output_tokens, max_tokens }
}

fn call(per_s: f64, method: &'static str, path: &'static str, takes_ms: u64) -> CallKind {
    CallKind { per_s, method, path, takes_ms }
}

/// What to make.
#[derive(Debug, Clone)]
pub struct Synthesis {
    /// Seed of every random choice.
    pub seed: u64,
    /// Length of the trace.
    pub duration_ms: u64,
    /// Arrivals as a multiple of what the fleet can carry.
    pub load: f64,
    /// What fails, and when.
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

/// Answers a second that the pools of the manifest can carry of this mix,
/// whichever of prefill and decode is the narrower.
pub fn capacity_per_s(mix: &Mix, snapshot: &Snapshot) -> f64 {
    let Some(model) = snapshot.model(mix.model) else { return 0.0 };
    let pools = snapshot.pool(&model.prefill_pool).zip(snapshot.pool(&model.decode_pool));
    let Some((prefill, decode)) = pools else { return 0.0 };
    let over = |value: &dyn Fn(&Draft) -> f64| -> f64 {
        mix.drafts.iter().map(|draft| draft.share * value(draft)).sum()
    };
    let uncached = over(&|draft| mean(draft.prompt_tokens) - f64::from(draft.shared_tokens));
    let prefill_per_s =
        f64::from(prefill.replicas) * f64::from(prefill.prefill_tokens_per_s) / uncached;
    let blocks = over(&|draft| {
        (mean(draft.prompt_tokens) + f64::from(draft.max_tokens)) / f64::from(decode.block_tokens)
    });
    let slots = f64::from(decode.max_streams).min(f64::from(decode.blocks) / blocks);
    let step_s = f64::from(decode.step_us(slots as u32)) * S_PER_US;
    let output = over(&|draft| mean(draft.output_tokens));
    let decode_per_s = f64::from(decode.replicas) * slots / (output * step_s);
    prefill_per_s.min(decode_per_s)
}

/// Makes a trace.
pub fn synthesize(mix: &Mix, snapshot: &Snapshot, synthesis: &Synthesis) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(synthesis.seed);
    let mut lines = Vec::new();
    let per_s = capacity_per_s(mix, snapshot) * synthesis.load;
    for at_ms in arrivals(per_s, synthesis.duration_ms, &mut rng) {
        lines.push(Line { at_ms, event: Event::Generate(generate(mix, &mut rng)) });
    }
    for kind in &mix.calls {
        for at_ms in arrivals(kind.per_s * synthesis.load, synthesis.duration_ms, &mut rng) {
            lines.push(Line { at_ms, event: Event::Call(call_line(mix, kind, &mut rng)) });
        }
    }
    for (at_ms, fault) in &synthesis.faults {
        lines.push(Line { at_ms: *at_ms, event: Event::Fault(fault.clone()) });
    }
    lines.sort_by_key(|line| line.at_ms);
    let header = Header {
        version: VERSION,
        manifest: mix.manifest.to_string(),
        duration_ms: synthesis.duration_ms,
        zones: mix.zones.iter().map(|&zone| CompactString::from(zone)).collect(),
        region: mix.region.into(),
    };
    Trace { header, lines }
}

/// Times of a Poisson process.
fn arrivals(per_s: f64, duration_ms: u64, rng: &mut impl Rng) -> Vec<u64> {
    let mut times = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() / per_s * MS_PER_S;
        if at_ms >= duration_ms as f64 {
            return times;
        }
        times.push(at_ms as u64);
    }
}

fn generate(mix: &Mix, rng: &mut impl Rng) -> GenerateLine {
    let draft = pick(&mix.drafts, rng);
    let family = if draft.families == 0 { 0 } else { rng.random_range(1..=draft.families) };
    GenerateLine {
        account: draft.account.into(),
        model: mix.model.into(),
        prompt_tokens: rng.random_range(draft.prompt_tokens.0..=draft.prompt_tokens.1),
        family,
        shared_tokens: draft.shared_tokens,
        max_tokens: draft.max_tokens,
        output_tokens: rng.random_range(draft.output_tokens.0..=draft.output_tokens.1),
        gone_after_ms: None,
    }
}

fn pick<'a>(drafts: &'a [Draft], rng: &mut impl Rng) -> &'a Draft {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for draft in drafts {
        left -= draft.share;
        if left < 0.0 {
            return draft;
        }
    }
    &drafts[drafts.len() - 1]
}

fn call_line(mix: &Mix, kind: &CallKind, rng: &mut impl Rng) -> CallLine {
    let key = (kind.method == "POST").then(|| rng.random::<u64>().to_string().into());
    CallLine {
        account: mix.drafts[0].account.into(),
        service: mix.service.into(),
        method: kind.method.into(),
        path: kind.path.to_string(),
        takes_ms: kind.takes_ms,
        key,
    }
}
