//! Log lines as JSON on standard output, written by a separate thread.
//!
//! A slow reader of standard output never delays a request: lines that do not fit
//! in the queue are dropped and counted.

use std::num::NonZeroUsize;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use spdlog::ErrorHandler;
use spdlog::LevelFilter;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

use crate::error::Error;
use crate::error::Result;

/// Most log lines that wait for the writer thread.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("the capacity is not zero");

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Sets the default logger of this process to JSON lines on standard output, for
/// lines of `level` and above; an empty level means `info`.
///
/// # Errors
/// Returns [`Error::Logging`] if the level is unknown or the logger cannot be built.
pub fn init_logs(level: &str) -> Result<()> {
    let level = if level.is_empty() { "info" } else { level };
    let level = spdlog::Level::from_str(level).map_err(logging_error)?;
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(logging_error)?;
    let writer =
        ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc().map_err(logging_error)?;
    let queue = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(writer)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .build_arc()
        .map_err(logging_error)?;
    let logger = spdlog::Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build_arc()
        .map_err(logging_error)?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Returns the number of log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Logs a warning if more than `reported` lines were dropped since the process
/// started. Returns the current total, to pass as `reported` in the next call.
pub fn report_dropped_lines(reported: u64) -> u64 {
    let dropped = dropped_lines();
    if dropped > reported {
        spdlog::warn!("log-lines-dropped", kv: { lines = dropped - reported, total = dropped });
    }
    dropped
}

fn logging_error(error: impl std::fmt::Display) -> Error {
    Error::Logging(error.to_string())
}
