//! Response of an upstream that is relayed as it arrives, as the parts that may be passed on.

use std::future::pending;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::edge::direct::body_framing::BodyFraming;
use crate::edge::direct::bounded_read::MAX_PART_READ_BYTES;
use crate::edge::direct::bounded_read::ResponsePlace;
use crate::edge::direct::event_check::InvalidEvent;
use crate::edge::direct::run_events::RunEvent;
use crate::edge::direct::run_events::RunEvents;
use crate::edge::direct::sse::OpaqueBlocks;
use crate::edge::direct::upstream_client::UpstreamResponse;

/// What a response delivers next.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// Event of the run that the caller has not had.
    Event(RunEvent),
    /// Part of a body that is opaque to the entry.
    Part(Bytes),
    /// The response is complete.
    Complete,
    /// The body ended before the response was complete.
    EndedEarly,
    /// The connection failed.
    ConnectionLost,
    /// The upstream sent something that is no event of the run.
    Invalid(InvalidEvent),
}

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamLoss {
    /// The connection failed, or the body ended early.
    Ended,
    /// The engine sent something that is no event of the run.
    Invalid(InvalidEvent),
}

/// Response of an upstream that is being relayed.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) response: UpstreamResponse,
    /// Events of the body; `None` if the route has no streams.
    pub(super) events: Option<RunEvents>,
    /// Blocks of an event stream on a route without streams: they are passed on as they are, and
    /// tell whether the body ends inside one.
    opaque_blocks: OpaqueBlocks,
    /// Id of the last event that was relayed, if any.
    pub(super) last_event: Option<u64>,
    /// Item that was received while the stream was not relayed.
    unread: Option<StreamItem>,
    /// True once it was logged that the entry waits for the paused stream, until it goes on.
    pub(super) kept_logged: bool,
}

impl OpenStream {
    /// Creates the stream of a response whose body is unread.
    pub(super) fn new(response: UpstreamResponse, events: Option<RunEvents>) -> Self {
        let opaque_blocks = OpaqueBlocks::default();
        Self { response, events, opaque_blocks, last_event: None, unread: None, kept_logged: false }
    }

    /// Waits for the next item. Nothing is lost if the wait is cancelled.
    pub(super) async fn next_item(&mut self) -> StreamItem {
        if let Some(item) = self.unread.take() {
            return item;
        }
        loop {
            if let Some(item) = self.buffered_event() {
                return item;
            }
            self.response.connection.limit_reads(MAX_PART_READ_BYTES);
            let data = match self.response.body.frame().await {
                None if self.is_complete() => return StreamItem::Complete,
                None => return StreamItem::EndedEarly,
                Some(Err(_)) => {
                    self.response.connection.log_if_exceeded(ResponsePlace::Body);
                    return StreamItem::ConnectionLost;
                }
                // Trailers are not passed on.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            match &mut self.events {
                Some(events) => events.push(&data),
                None => return self.opaque_part(data),
            }
        }
    }

    fn opaque_part(&mut self, data: Bytes) -> StreamItem {
        if self.response.is_event_stream {
            self.opaque_blocks.push(&data);
        }
        if self.opaque_blocks.is_too_large() {
            return self.invalid(InvalidEvent::TooLarge);
        }
        StreamItem::Part(data)
    }

    fn invalid(&self, invalid: InvalidEvent) -> StreamItem {
        if invalid == InvalidEvent::TooLarge {
            self.response.connection.log_too_large(ResponsePlace::Event);
        }
        StreamItem::Invalid(invalid)
    }

    fn buffered_event(&mut self) -> Option<StreamItem> {
        match self.events.as_mut()?.next_event() {
            Ok(event) => event.map(StreamItem::Event),
            Err(invalid) => Some(self.invalid(invalid)),
        }
    }

    /// Waits for the next item, and keeps it for the next call.
    pub(super) async fn await_item(&mut self) -> &StreamItem {
        let item = self.next_item().await;
        self.unread.insert(item)
    }

    /// True if the response is complete now that its body has ended. A process that crashes may
    /// end its connection as if the body were complete.
    fn is_complete(&self) -> bool {
        let end_is_explicit = self.response.framing != BodyFraming::Connection;
        match &self.events {
            Some(events) => events.is_complete(end_is_explicit),
            None if self.response.is_event_stream => {
                self.opaque_blocks.is_complete(end_is_explicit)
            }
            None => true,
        }
    }

    /// Waits until a paused stream goes on or ends; forever without a stream.
    ///
    /// # Errors
    /// If it cannot go on; it is dropped then.
    pub(super) async fn resumed(paused: &mut Option<Self>) -> Result<(), StreamLoss> {
        let Some(stream) = paused else { return pending().await };
        let loss = match stream.await_item().await {
            StreamItem::ConnectionLost | StreamItem::EndedEarly => StreamLoss::Ended,
            StreamItem::Invalid(invalid) => StreamLoss::Invalid(*invalid),
            _ => return Ok(()),
        };
        *paused = None;
        Err(loss)
    }
}
