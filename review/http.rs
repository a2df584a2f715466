//! Minimal HTTP/1.1: reads requests and responses, and serves connections with one thread each.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Bytes of a connection that were received and not used yet.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let n = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..n]);
        Ok(n > 0)
    }

    fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut message = Message { first_line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_lowercase(), value.trim().to_string()));
            }
        }
    }

    fn exact(&mut self, length: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    /// Reads the next chunk of a chunked body; empty at its end, `None` if it was cut.
    pub fn chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        let Some(size) = self.line()? else { return Ok(None) };
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let Ok(size) = size else { return Ok(None) };
        let Some(chunk) = self.exact(size)? else { return Ok(None) };
        if self.line()?.is_none() {
            return Ok(None);
        }
        Ok(Some(chunk))
    }

    /// Reads the body of a message. `None` if it was cut.
    pub fn body(&mut self, message: &Message) -> std::io::Result<Option<Vec<u8>>> {
        if message.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                match self.chunk()? {
                    None => return Ok(None),
                    Some(chunk) if chunk.is_empty() => return Ok(Some(body)),
                    Some(chunk) => body.extend(chunk),
                }
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exact(length)
    }

    /// Reads a whole request or response. `None` at the end of the connection.
    pub fn message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let Some(body) = self.body(&message)? else { return Ok(None) };
        message.body = body;
        Ok(Some(message))
    }
}

/// Bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Connections of a server, and whether it still runs.
#[derive(Default)]
pub struct Server {
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Ends the server as the end of a process does: its port refuses connections, and those that
    /// are open break.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Listens on a free port of an address and calls `connection` for each connection, on a thread
/// of its own, until the server ends.
pub fn listen(
    ip: &str,
    server: Arc<Server>,
    connection: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free loopback port");
    let address = listener.local_addr().expect("the address is known");
    listener.set_nonblocking(true).expect("the listener can be polled");
    let connection = Arc::new(connection);
    std::thread::spawn(move || {
        while !server.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                let mut open = server.connections.lock().unwrap();
                open.retain(|it| it.peer_addr().is_ok());
                open.push(copy);
            }
            let connection = connection.clone();
            let thread = std::thread::Builder::new().stack_size(256 << 10);
            let _ = thread.spawn(move || {
                let copy = stream.try_clone();
                connection(stream);
                // The copy in the list would keep it open.
                let _ = copy.map(|it| it.shutdown(Shutdown::Both));
            });
        }
    });
    address
}

/// Opens a connection within a second, on which reads fail after `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends one request on a new connection and returns the response; `None` if it was cut.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = connect(address, limit).ok()?;
    stream.write_all(request).ok()?;
    Reader::new(stream).message().ok()?
}

/// Returns the number behind `"name":` in a JSON text.
pub fn json_number(text: &str, name: &str) -> Option<f64> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let end = rest.find(|c: char| !(c.is_ascii_digit() || ".-e+".contains(c)));
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// Returns the text behind `"name":` in a JSON text.
pub fn json_text(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    rest.strip_prefix('"')?.split('"').next().map(str::to_string)
}
