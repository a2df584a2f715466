//! Garbage that a replica writes into its streams, and in place of its other results.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;

use crate::server;
use crate::server::Body;

/// Number of kinds, places and framings of garbage in streams.
pub const STREAM_GARBAGE_COUNT: u64 = 66;
/// Most bytes of garbage without an end in a stream, and longest time for which it is sent.
const MAX_ENDLESS_BYTES: usize = 128 << 10;
const MAX_ENDLESS_TIME: Duration = Duration::from_secs(2);
/// Bytes of one part of garbage without an end, and time before each.
const ENDLESS_PART_BYTES: usize = 1 << 10;
const ENDLESS_PART_INTERVAL: Duration = Duration::from_millis(4);
/// Bytes of garbage that cannot be read, in a stream or in place of a result.
const BINARY_BYTES: usize = 60;
/// Size of a result that is far too large.
const LARGE_RESULT_BYTES: usize = 1 << 20;
/// Id far beyond the next one.
const FAR_ID: u64 = 1_000_000;

/// What garbage in a stream looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Event without an id.
    NoId,
    /// Event whose id is empty.
    EmptyId,
    /// Event whose id is a word.
    WordId,
    /// Event whose id is far beyond the next one.
    FarId,
    /// Lines of text in front of what follows.
    TextLines,
    /// Lines of text that end with a blank line.
    TextBlock,
    /// Second response, with its head.
    SecondResponse,
    /// Bytes that are not UTF-8, with a blank line in them.
    Binary,
    /// Blocks of text without an end.
    EndlessBlocks,
    /// Comments without an end.
    EndlessComments,
    /// Line without an end.
    EndlessLine,
}

const KINDS: [Kind; 11] = [
    Kind::NoId,
    Kind::EmptyId,
    Kind::WordId,
    Kind::FarId,
    Kind::TextLines,
    Kind::TextBlock,
    Kind::SecondResponse,
    Kind::Binary,
    Kind::EndlessBlocks,
    Kind::EndlessComments,
    Kind::EndlessLine,
];

/// Garbage of a replica, initially none.
#[derive(Debug, Default)]
pub struct Garbling {
    one_in: AtomicU64,
    streams: AtomicU64,
    results: AtomicU64,
    /// Ids of the requests whose streams had garbage, with the time at which they had arrived.
    garbled: Mutex<Vec<(String, Instant)>>,
}

impl Garbling {
    /// Garbles one in this many streams, and as many other results, from the kind with the number
    /// `first_kind` on; 0 garbles none.
    pub fn set_one_in(&self, one_in: u64, first_kind: u64) {
        self.one_in.store(one_in, Ordering::SeqCst);
        self.streams.store(one_in * first_kind, Ordering::SeqCst);
        self.results.store(one_in * first_kind, Ordering::SeqCst);
    }

    /// True if the replica wrote garbage into the stream of a request.
    pub fn has_garbled(&self, id: &str) -> bool {
        let garbled = self.garbled.lock().expect("the mutex is not poisoned");
        garbled.iter().any(|(garbled, _)| garbled == id)
    }

    /// True if it wrote garbage into the stream that the request began at `received_at`.
    pub fn has_garbled_run(&self, id: &str, received_at: Instant) -> bool {
        let garbled = self.garbled.lock().expect("the mutex is not poisoned");
        garbled.iter().any(|(garbled, at)| garbled == id && *at == received_at)
    }

    /// Number of streams with garbage.
    pub fn garbled_count(&self) -> usize {
        self.garbled.lock().expect("the mutex is not poisoned").len()
    }

    /// Garbage of the next stream, whose run has the events from `first` to `last`.
    pub(crate) fn next_stream(
        &self,
        id: &str,
        received_at: Instant,
        (first, last): (u64, u64),
    ) -> Option<StreamGarbage> {
        let number = self.next_number(&self.streams)?;
        let mut garbled = self.garbled.lock().expect("the mutex is not poisoned");
        garbled.push((id.to_string(), received_at));
        // The numbers of kinds, places and framings have no common divisor: all combinations occur.
        let places = [first, first.midpoint(last + 1), last + 1];
        Some(StreamGarbage {
            kind: KINDS[number as usize % KINDS.len()],
            before_event: places[number as usize % places.len()],
            ends_with_connection: number % 2 == 1,
            sent_bytes: 0,
            started_at: None,
            ended: false,
        })
    }

    /// Garbage in place of the next result; `None` if it is sound.
    pub(crate) fn next_result(&self) -> Option<Response<Body>> {
        let mut response = match self.next_number(&self.results)? % 3 {
            0 => Response::new(server::whole_body(binary())),
            1 => Response::new(server::whole_body(vec![b'7'; LARGE_RESULT_BYTES])),
            _ => server::stream(stream::unfold(0, |sent_bytes| async move {
                (sent_bytes < LARGE_RESULT_BYTES).then(|| {
                    (Ok(vec![b'7'; ENDLESS_PART_BYTES].into()), sent_bytes + ENDLESS_PART_BYTES)
                })
            })),
        };
        let media_type = "application/json".parse().expect("the header is valid");
        response.headers_mut().insert("content-type", media_type);
        Some(response)
    }

    fn next_number(&self, responses: &AtomicU64) -> Option<u64> {
        let one_in = self.one_in.load(Ordering::SeqCst);
        if one_in == 0 {
            return None;
        }
        let number = responses.fetch_add(1, Ordering::SeqCst);
        number.is_multiple_of(one_in).then(|| number / one_in)
    }
}

/// Garbage in one stream.
#[derive(Debug)]
pub(crate) struct StreamGarbage {
    kind: Kind,
    /// Event before which it is sent; one beyond the last event if after it.
    pub(crate) before_event: u64,
    /// True if the stream ends with its connection.
    pub(crate) ends_with_connection: bool,
    sent_bytes: usize,
    started_at: Option<Instant>,
    ended: bool,
}

impl StreamGarbage {
    /// Returns the next part, or `None` once all was sent. Garbage without an end ends with an
    /// error, which breaks the connection.
    pub(crate) async fn next_part(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        let Some(block) = self.kind.endless_block() else {
            self.ended = true;
            return Some(Ok(self.kind.bytes()));
        };
        let started_at = *self.started_at.get_or_insert_with(Instant::now);
        if self.sent_bytes >= MAX_ENDLESS_BYTES || started_at.elapsed() >= MAX_ENDLESS_TIME {
            self.ended = true;
            return Some(Err(server::broken_connection()));
        }
        tokio::time::sleep(ENDLESS_PART_INTERVAL).await;
        self.sent_bytes += ENDLESS_PART_BYTES;
        Some(Ok(block.repeat(ENDLESS_PART_BYTES / block.len()).into()))
    }
}

impl Kind {
    /// What garbage without an end repeats; `None` for other garbage.
    fn endless_block(self) -> Option<&'static str> {
        match self {
            Self::EndlessBlocks => Some("garbage\n\n"),
            Self::EndlessComments => Some(": garbage\n\n"),
            Self::EndlessLine => Some("garbage "),
            _ => None,
        }
    }

    fn bytes(self) -> Bytes {
        match self {
            Self::NoId => "data: garbage\n\n".into(),
            Self::EmptyId => "id:\ndata: garbage\n\n".into(),
            Self::WordId => "id: garbage\ndata: garbage\n\n".into(),
            Self::FarId => format!("id: {FAR_ID}\ndata: garbage\n\n").into(),
            Self::TextLines => "out of memory\nworker 7 restarts\n".into(),
            Self::TextBlock => "out of memory\nworker 7 restarts\n\n".into(),
            Self::SecondResponse => {
                "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"echo\":\"no\"}".into()
            }
            Self::Binary => [&binary()[..], b"\n\n", &binary()].concat().into(),
            Self::EndlessBlocks | Self::EndlessComments | Self::EndlessLine => Bytes::new(),
        }
    }
}

/// Bytes that are not UTF-8.
fn binary() -> Vec<u8> {
    (0..BINARY_BYTES).map(|number| 0x80 | (number * 37) as u8).collect()
}
