//! Events of the streams of a replica.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;
use hyper::Version;

use crate::platform::garbage::StreamGarbage;
use crate::platform::replacement_faults::EVENTS_BEFORE_BREAK;
use crate::platform::replica::EVENTS_PER_STREAM;
use crate::platform::replica::ReceivedRequest;
use crate::platform::replica::Replica;
use crate::platform::replica::event;
use crate::platform::stream_shape::STREAM_SHAPE_HEADER;
use crate::platform::stream_shape::StreamShape;
use crate::server;
use crate::server::Body;

/// Time for which the bytes before a break are under way.
const BREAK_DELAY: Duration = Duration::from_millis(50);

/// Response with the events of a run; `breaks_off` after a few of them.
pub(super) fn stream(
    replica: &Arc<Replica>,
    received: &ReceivedRequest,
    breaks_off: bool,
) -> Response<Body> {
    let shape: Option<StreamShape> =
        received.headers.get(STREAM_SHAPE_HEADER).and_then(|text| text.parse().ok());
    let event_count = shape.map_or(EVENTS_PER_STREAM, |shape| shape.events);
    let last_seen =
        received.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let break_midway = replica.break_next_stream.take();
    let break_at_start = replica.break_next_before_event.take();
    let run = (last_seen + 1, event_count.max(last_seen));
    let garbage = replica.garbling.next_stream(&received.id, received.received_at, run);
    let ends_with_connection = garbage.as_ref().is_some_and(|garbage| garbage.ends_with_connection);
    replica.open_streams.fetch_add(1, Ordering::SeqCst);
    let open = OpenStream {
        replica: replica.clone(),
        request_id: received.id.clone(),
        next_event: last_seen + 1,
        garbage,
        finished: false,
    };
    let events = stream::unfold(open, move |mut open| async move {
        if let Some(part) = open.garbage_part().await {
            return Some((part, open));
        }
        if open.next_event > event_count {
            open.replica.pause.wait().await;
            return None;
        }
        let id = open.next_event;
        match shape {
            Some(shape) => {
                let pause = shape.pause_before(id, last_seen + 1).unwrap_or_default();
                tokio::time::sleep(shape.interval + pause).await;
            }
            None => open.replica.response_delay.wait().await,
        }
        let part = match (break_midway, id) {
            _ if breaks_off && id > last_seen + EVENTS_BEFORE_BREAK => {
                Err(server::broken_connection())
            }
            (true, 4) => Err(server::broken_connection()),
            _ if break_at_start => Err(server::broken_connection()),
            (true, 3) => Ok(Bytes::from(format!("{}id: 4\nda", event(id)))),
            _ => Ok(Bytes::from(event(id))),
        };
        if part.is_err() {
            // Lets the bytes sent so far reach the reader before the connection breaks.
            tokio::time::sleep(BREAK_DELAY).await;
        }
        open.replica.pause.wait().await;
        open.next_event += 1;
        open.finished = part.is_err() || open.next_event > event_count;
        Some((part, open))
    });
    let mut response = server::stream(events);
    let media_type = "text/event-stream".parse().expect("the header is valid");
    response.headers_mut().insert("content-type", media_type);
    if ends_with_connection {
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

struct OpenStream {
    replica: Arc<Replica>,
    request_id: String,
    next_event: u64,
    garbage: Option<StreamGarbage>,
    finished: bool,
}

impl OpenStream {
    /// Next part of the garbage that is due before the next event, if any.
    async fn garbage_part(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        let next_event = self.next_event;
        let garbage = self.garbage.as_mut().filter(|garbage| garbage.before_event <= next_event)?;
        let part = garbage.next_part().await?;
        self.replica.pause.wait().await;
        self.finished |= part.is_err();
        Some(part)
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.replica.open_streams.fetch_sub(1, Ordering::SeqCst);
        let end = (std::mem::take(&mut self.request_id), Instant::now());
        self.replica.stream_ends.lock().expect("the mutex is not poisoned").push(end);
        if !self.finished {
            self.replica.streams_closed_early.fetch_add(1, Ordering::SeqCst);
        }
    }
}
