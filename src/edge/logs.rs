//! JSON lines on standard output, written by a thread of their own.
//!
//! A reader that does not keep up never holds a request up: lines beyond the
//! queue are dropped and counted.

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

/// Lines that wait for the reader at most.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("is not zero");

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Directs the log lines of this process to standard output as JSON.
///
/// # Errors
/// The level is not known, or the logger cannot be set up.
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

/// Lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Says how many lines were dropped, if more than `reported`. Returns the number
/// to pass the next time.
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
