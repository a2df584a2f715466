//! Lines of a decode stream: the tokens of the run in their order, and nothing else, are passed on.

use std::sync::Mutex;

use bamboodoor::agent::UpstreamEvent;
use bamboodoor::schema::wire::AttemptId;
use bytes::Bytes;

use crate::raw_engine::Body;
use crate::raw_engine::MAX_WAIT;
use crate::raw_engine::RawEngine;

const ID: AttemptId = AttemptId { entry: 1, request: 2, attempt: 3 };
/// Limit on the tokens of a stream that does not come near it.
const MANY: u32 = 100;
/// Most that the server may have sent of a line before its connection is closed, in bytes: what
/// is kept of the line, and the buffers of both sockets.
const MAX_SENT_BYTES: usize = 16 << 20;
/// Size of the endless line, in bytes.
const ENDLESS_BYTES: usize = 64 << 20;

/// What the agent learns of a stream.
#[derive(Debug, PartialEq)]
struct Learned {
    /// Index of each token that is passed on.
    tokens: Vec<u32>,
    /// Number of reports that the stream broke off.
    disconnects: usize,
}

fn learned(events: &[UpstreamEvent]) -> Learned {
    let index = |event: &UpstreamEvent| match event {
        UpstreamEvent::Chunk { index, .. } => Some(*index),
        _ => None,
    };
    let is_disconnect = |event: &&UpstreamEvent| {
        !matches!(event, UpstreamEvent::Chunk { .. } | UpstreamEvent::StreamFailed { .. })
    };
    Learned {
        tokens: events.iter().filter_map(index).collect(),
        disconnects: events.iter().filter(is_disconnect).count(),
    }
}

/// Reads a stream, from a token on and up to a limit, whose body is this.
async fn read_stream(engine: &RawEngine, from_index: u32, max_tokens: u32) -> Learned {
    let events = Mutex::new(Vec::new());
    let emit = |event| events.lock().expect("the mutex is not poisoned").push(event);
    let upstream = engine.upstream();
    let reading = upstream.read_stream(ID, from_index, max_tokens, 0, emit);
    let ended = tokio::time::timeout(MAX_WAIT, reading).await;
    assert!(ended.is_ok(), "the stream is still read, {} bytes were sent", engine.sent_bytes());
    learned(&events.into_inner().expect("the mutex is not poisoned"))
}

fn token(index: u32) -> String {
    format!("{{\"index\":{index},\"text\":\"t\"}}\n")
}

fn last_token(index: u32) -> String {
    format!("{{\"index\":{index},\"text\":\"t\",\"finish_reason\":\"stop\"}}\n")
}

macro_rules! streams {
    ($($name:ident: from $from:expr, limit $limit:expr, $lines:expr => $tokens:expr, disconnects $disconnects:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let body = Body::Whole(Bytes::from($lines.concat()));
                let engine = RawEngine::start("200 OK", body).await;
                let expected = Learned { tokens: $tokens, disconnects: $disconnects };
                assert_eq!(read_stream(&engine, $from, $limit).await, expected);
            }
        )+
    };
}

streams! {
    a_sound_stream_is_passed_on: from 0, limit 3,
        [token(0), token(1), last_token(2)] => vec![0, 1, 2], disconnects 0;
    a_resumed_stream_is_passed_on: from 5, limit MANY,
        [token(5), last_token(6)] => vec![5, 6], disconnects 0;
    a_stream_without_a_limit_is_passed_on: from 1, limit 0,
        [token(1), last_token(2)] => vec![1, 2], disconnects 0;
    a_token_after_the_last_is_not_passed_on: from 0, limit MANY,
        [token(0), last_token(1), token(2)] => vec![0, 1], disconnects 0;
    a_skipped_token_ends_the_stream: from 0, limit MANY,
        [token(0), token(2), token(3)] => vec![0], disconnects 1;
    a_repeated_token_ends_the_stream: from 0, limit MANY,
        [token(0), token(0), token(1)] => vec![0], disconnects 1;
    a_token_before_the_first_ends_the_stream: from 5, limit MANY,
        [token(0), token(5)] => vec![], disconnects 1;
    a_last_token_after_a_skipped_one_ends_no_response: from 0, limit MANY,
        [token(0), last_token(7)] => vec![0], disconnects 1;
    a_token_beyond_the_limit_ends_the_stream: from 0, limit 2,
        [token(0), token(1), token(2), token(3)] => vec![0], disconnects 1;
    a_response_without_end_at_the_limit_ends_the_stream: from 4, limit 5,
        [token(4)] => vec![], disconnects 1;
    text_between_tokens_ends_the_stream: from 0, limit MANY,
        [token(0), "HTTP/1.1 200 OK\n".to_string(), token(1)] => vec![0], disconnects 1;
    a_token_without_text_ends_the_stream: from 0, limit MANY,
        [token(0), "{\"index\":1}\n".to_string(), token(1)] => vec![0], disconnects 1;
    an_error_in_the_place_of_a_token_ends_the_stream: from 0, limit MANY,
        [token(0), "{\"error\":\"busy\"}\n".to_string(), token(1)] => vec![0], disconnects 1;
    a_token_cut_off_before_its_line_end_is_not_passed_on: from 0, limit MANY,
        [token(0), "{\"index\":1,\"text\":\"t\"}".to_string()] => vec![0], disconnects 1;
    a_line_longer_than_a_frame_ends_the_stream: from 0, limit MANY,
        [token(0), format!("{{\"index\":1,\"text\":\"{}\"}}\n", "t".repeat(17 << 20))]
            => vec![0], disconnects 1;
}

#[tokio::test]
async fn a_line_without_end_is_not_kept() {
    let repeated = Bytes::from(vec![b't'; 64 << 10]);
    let start = Bytes::from(token(0));
    let body = Body::Endless { start, repeated, max_bytes: ENDLESS_BYTES };
    let engine = RawEngine::start("200 OK", body).await;
    let expected = Learned { tokens: vec![0], disconnects: 1 };
    assert_eq!(read_stream(&engine, 0, MANY).await, expected);
    assert!(engine.sent_bytes() < MAX_SENT_BYTES, "{} bytes were read", engine.sent_bytes());
}
