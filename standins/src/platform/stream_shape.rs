//! What a stream of a decode engine looks like: its events, their interval, and a pause.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::time::Duration;

/// Name of the request header that carries the shape of the stream, for the stand-in alone.
pub const STREAM_SHAPE_HEADER: &str = "stand-in-stream";

/// Shape of a stream. A request names it in [`STREAM_SHAPE_HEADER`]; without that header a stream
/// has the events and the delay of its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamShape {
    /// Number of events.
    pub events: u64,
    /// Time before each event.
    pub interval: Duration,
    /// Pause of the first run of the stream, if it has one.
    pub pause: Option<StreamPause>,
}

/// Pause of one stream, as an engine makes that preempts it, while all else goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPause {
    /// Number of the event before which the stream pauses.
    pub before_event: u64,
    /// How long it pauses.
    pub duration: Duration,
}

impl StreamShape {
    /// Pause before an event of the run that starts with `first_event`. A run that takes the stream
    /// up does not pause again.
    pub fn pause_before(&self, event: u64, first_event: u64) -> Option<Duration> {
        let pause = self.pause.filter(|pause| first_event == 1 && pause.before_event == event)?;
        Some(pause.duration)
    }
}

impl Display for StreamShape {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{},{}", self.events, self.interval.as_millis())?;
        match self.pause {
            Some(pause) => {
                write!(formatter, ",{},{}", pause.before_event, pause.duration.as_millis())
            }
            None => Ok(()),
        }
    }
}

/// Text that is no shape of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidShape;

impl FromStr for StreamShape {
    type Err = InvalidShape;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let numbers: Result<Vec<u64>, _> = text.split(',').map(str::parse).collect();
        let (events, interval_ms, pause) = match numbers.map_err(|_| InvalidShape)?[..] {
            [events, interval_ms] => (events, interval_ms, None),
            [events, interval_ms, before_event, ms] => {
                let duration = Duration::from_millis(ms);
                (events, interval_ms, Some(StreamPause { before_event, duration }))
            }
            _ => return Err(InvalidShape),
        };
        Ok(Self { events, interval: Duration::from_millis(interval_ms), pause })
    }
}
