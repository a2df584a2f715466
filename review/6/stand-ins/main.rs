//! Stand-ins and cases of the second review. The first argument names the case, the second one
//! the file of the record. `TROUBLE=0` leaves the disruption out.

mod crashed_stream;
mod engine;
mod fleet;
mod held_back_leaving;
mod http;
mod large_bodies;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    if case == "engine" {
        let stage = std::env::args().nth(3).unwrap_or_default();
        engine::serve(&arguments.next().unwrap_or_default(), &stage);
        return ExitCode::SUCCESS;
    }
    let record = fleet::Record::create(&PathBuf::from(arguments.next().unwrap_or_default()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "held-back-leaving" => held_back_leaving::run(has_trouble, &record),
        "large-bodies" => large_bodies::run(has_trouble, &record),
        "crashed-stream" => crashed_stream::run(has_trouble, &record),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
