//! Pauses of the stand-in replica, the shapes of its streams, and replacements that fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use standins::platform::replica::EVENTS_PER_STREAM;
use standins::platform::replica::Kind;
use standins::platform::replica::Replica;
use standins::platform::replica::event;
use standins::platform::stream_shape::STREAM_SHAPE_HEADER;
use standins::platform::stream_shape::StreamPause;
use standins::platform::stream_shape::StreamShape;
use tokio::net::TcpStream;

const PAUSE: Duration = Duration::from_millis(400);
const EVENT_DELAY: Duration = Duration::from_millis(20);

type Sender = SendRequest<Full<Bytes>>;

async fn start(kind: Kind) -> (Arc<Replica>, Sender) {
    let (replica, address) = Replica::start("replica-1", kind).await;
    let sender = connect(address).await;
    (replica, sender)
}

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("the replica listens");
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("HTTP/1.1 needs no handshake");
    tokio::spawn(connection);
    sender
}

async fn post(sender: &mut Sender, path: &str) -> Response<Incoming> {
    let request = Request::post(path).header("host", "replica").body(Full::default());
    let request = request.expect("the request is valid");
    sender.send_request(request).await.expect("the replica responds")
}

#[tokio::test]
async fn a_request_during_a_pause_is_served_after_it() {
    for path in ["/work", "/api/hold-take", "/api/report"] {
        let (replica, mut sender) = start(Kind::Plain).await;
        let started_at = Instant::now();
        replica.pause.start(started_at, PAUSE);
        let response = post(&mut sender, path).await;
        assert!(response.status().is_success(), "{path}: {}", response.status());
        assert!(started_at.elapsed() >= PAUSE, "{path}: after {:?}", started_at.elapsed());
    }
}

#[tokio::test]
async fn a_stream_is_silent_during_a_pause_and_goes_on_after_it() {
    let (replica, mut sender) = start(Kind::Decode).await;
    replica.response_delay.set(EVENT_DELAY);
    let mut body = post(&mut sender, "/work").await.into_body();
    let mut received = read_part(&mut body).await.expect("the first event arrives");
    let started_at = Instant::now();
    replica.pause.start(started_at, PAUSE);
    let mut parts_during_pause = 0;
    while let Some(part) = read_part(&mut body).await {
        parts_during_pause += usize::from(started_at.elapsed() < PAUSE);
        received += &part;
    }
    // One may have been on its way when the pause started.
    assert!(parts_during_pause <= 1, "{parts_during_pause} parts during the pause");
    assert!(started_at.elapsed() >= PAUSE, "ended after {:?}", started_at.elapsed());
    assert_eq!(received, (1..=EVENTS_PER_STREAM).map(event).collect::<String>());
    assert_eq!(replica.execution_count(""), 1);
}

const SHAPE: StreamShape = StreamShape {
    events: 9,
    interval: EVENT_DELAY,
    pause: Some(StreamPause { before_event: 5, duration: PAUSE }),
};

async fn post_shaped(sender: &mut Sender, after_event: Option<u64>) -> Option<Response<Incoming>> {
    let mut request = Request::post("/work")
        .header("host", "replica")
        .header(STREAM_SHAPE_HEADER, SHAPE.to_string());
    if let Some(after_event) = after_event {
        request = request.header("last-event-id", after_event.to_string());
    }
    let request = request.body(Full::default()).expect("the request is valid");
    sender.send_request(request).await.ok()
}

#[tokio::test]
async fn a_stream_has_the_shape_that_its_request_names() {
    assert_eq!(SHAPE.to_string().parse(), Ok(SHAPE));
    let (_replica, mut sender) = start(Kind::Decode).await;
    for after_event in [None, Some(3)] {
        let started_at = Instant::now();
        let mut response = post_shaped(&mut sender, after_event).await.expect("it responds");
        let mut received = String::new();
        while let Some(part) = read_part(response.body_mut()).await {
            received += &part;
        }
        let first = after_event.unwrap_or(0) + 1;
        assert_eq!(received, (first..=SHAPE.events).map(event).collect::<String>());
        let took = started_at.elapsed();
        assert!(took >= SHAPE.interval * 6, "{took:?}");
        // Only the first run pauses.
        assert!(after_event.is_some() || took >= PAUSE, "{took:?}");
    }
}

#[tokio::test]
async fn moved_requests_fail_in_turn_and_no_others() {
    let (replica, address) = Replica::start("replica-1", Kind::Decode).await;
    let mut sender = connect(address).await;
    replica.replacement_faults.set_one_in(1, 0);
    for _ in 0..5 {
        let response = post_shaped(&mut sender, None).await.expect("it responds");
        let body = response.into_body().collect().await.expect("the stream is whole");
        assert!(body.to_bytes().ends_with(event(SHAPE.events).as_bytes()));
    }
    let request = Request::post("/work").header("host", "replica");
    let request = request.header("last-event-id", "3").header("resumes", "another");
    let request = request.body(Full::default()).expect("the request is valid");
    let taken_up = sender.send_request(request).await.expect("it responds");
    taken_up.into_body().collect().await.expect("the stream is whole");
    let late = post_shaped(&mut sender, Some(3)).await.expect("it responds");
    assert!(late.headers().contains_key("bamboodoor-not-executed"));
    late.into_body().collect().await.expect("the rejection is whole");
    let broken = post_shaped(&mut sender, Some(3)).await.expect("it responds");
    assert!(broken.into_body().collect().await.is_err());
    let mut sender = connect(address).await;
    let error = post_shaped(&mut sender, Some(3)).await.expect("it responds");
    assert_eq!(error.status(), 500);
    error.into_body().collect().await.expect("the error is whole");
    assert!(post_shaped(&mut sender, Some(3)).await.is_none());
    let mut sender = connect(address).await;
    let no_stream = post_shaped(&mut sender, Some(3)).await.expect("it responds");
    let body = no_stream.into_body().collect().await.expect("the body is whole").to_bytes();
    assert_eq!(body, "{}");
}

async fn read_part(body: &mut Incoming) -> Option<String> {
    let part = body.frame().await?.expect("the stream does not break off");
    let data = part.into_data().expect("a stream has no trailers");
    Some(String::from_utf8(data.to_vec()).expect("events are text"))
}
