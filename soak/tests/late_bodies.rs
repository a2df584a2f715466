//! Bodies that callers send after a pause.

use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use standins::server::late_body;
use tokio::io::AsyncReadExt;

/// Time between the head and the body.
const PAUSE: Duration = Duration::from_millis(300);

/// A late body has no length, and its head is sent at once, so that a request can cross the close
/// of its connection between the two.
#[tokio::test]
async fn the_head_of_a_late_body_is_sent_at_once() {
    let (client, mut server) = tokio::io::duplex(4096);
    let (mut sender, connection) = http1::handshake(TokioIo::new(client)).await.expect("no error");
    tokio::spawn(connection);
    let request = Request::post("/").body(late_body("late", PAUSE)).expect("it is valid");
    let sent_at = Instant::now();
    let response = tokio::spawn(sender.send_request(request));
    let mut received = String::new();
    while !received.ends_with("\r\n\r\n") {
        received.push(char::from(server.read_u8().await.expect("no error")));
    }
    assert!(sent_at.elapsed() < PAUSE);
    assert!(received.contains("transfer-encoding: chunked"), "{received}");
    while !received.ends_with("0\r\n\r\n") {
        received.push(char::from(server.read_u8().await.expect("no error")));
    }
    assert!(received.ends_with("4\r\nlate\r\n0\r\n\r\n"), "{received}");
    assert!(sent_at.elapsed() >= PAUSE);
    response.abort();
}
