//! Pauses of the stand-in replica.

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
use tokio::net::TcpStream;

const PAUSE: Duration = Duration::from_millis(400);
const EVENT_DELAY: Duration = Duration::from_millis(20);

type Sender = SendRequest<Full<Bytes>>;

async fn start(kind: Kind) -> (Arc<Replica>, Sender) {
    let (replica, address) = Replica::start("replica-1", kind).await;
    let stream = TcpStream::connect(address).await.expect("the replica listens");
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("HTTP/1.1 needs no handshake");
    tokio::spawn(connection);
    (replica, sender)
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

async fn read_part(body: &mut Incoming) -> Option<String> {
    let part = body.frame().await?.expect("the stream does not break off");
    let data = part.into_data().expect("a stream has no trailers");
    Some(String::from_utf8(data.to_vec()).expect("events are text"))
}
