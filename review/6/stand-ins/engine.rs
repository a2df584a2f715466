//! Stand-in of a model server, as a process of its own. Its streams have no length: they end with
//! their connection.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::fleet::host;
use crate::http::{Message, read_message, respond};

/// Pieces of each stream.
pub const PIECES: u32 = 40;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Number of the next hold or handle.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Serves until the process is killed. The address is printed on the standard output.
pub fn serve(id: &str, stage: &str) {
    let listener = TcpListener::bind(SocketAddr::new(host(101), 0)).expect("a port is free");
    println!("{}", listener.local_addr().expect("it has an address"));
    for stream in listener.incoming().flatten() {
        let (id, stage) = (id.to_string(), stage.to_string());
        thread::spawn(move || serve_connection(stream, &id, &stage));
    }
}

fn serve_connection(stream: TcpStream, id: &str, stage: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut input) {
        match answer(&request, &mut output, id, stage) {
            Ok(true) => {}
            _ => return,
        }
    }
}

/// Answers a request. Returns false if the connection ends then.
fn answer(request: &Message, output: &mut TcpStream, id: &str, stage: &str) -> io::Result<bool> {
    let json = ("Content-Type", "application/json");
    if request.header("bamboodoor-expect-instance").is_some_and(|other| other != id) {
        respond(output, 421, &[("Bamboodoor-Instance-Id", id)], b"")?;
        return Ok(true);
    }
    if request.path() == "/api/report" {
        let report = format!(
            "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\
             \"kvTotal\":51867,\"handles\":0}}"
        );
        respond(output, 200, &[json], report.as_bytes())?;
        return Ok(true);
    }
    if request.path() == "/api/hold-take" {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let hold = format!("{{\"hold\":\"h-{number}\"}}");
        respond(output, 200, &[json], hold.as_bytes())?;
        return Ok(true);
    }
    if request.path().starts_with("/api/") {
        respond(output, 200, &[json], b"{}")?;
        return Ok(true);
    }
    let request_id = request.header("bamboodoor-request-id").unwrap_or("");
    let name = ("Bamboodoor-Request-Id", request_id);
    let prefills = request.header("bamboodoor-stage") == Some("prefill");
    if prefills != (stage == "prefill") {
        respond(output, 421, &[("Bamboodoor-Instance-Id", id)], b"")?;
        return Ok(true);
    }
    if prefills {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let prefilled =
            format!("{{\"handle\":\"3fa0{number:08x}\",\"tokens\":1460,\"version\":1}}");
        respond(output, 200, &[name, json], prefilled.as_bytes())?;
        return Ok(true);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBamboodoor-Request-Id: \
         {request_id}\r\nBamboodoor-Response-Signature: {SIGNATURE}\r\n\r\n"
    );
    output.write_all(head.as_bytes())?;
    for piece in 1..=PIECES {
        sleep(PIECE_INTERVAL);
        output.write_all(format!("id: {piece}\ndata: piece {piece} of {PIECES}\n\n").as_bytes())?;
    }
    Ok(false)
}
