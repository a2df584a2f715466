//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Request or response: its first line, headers with lower-case names, and body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.word(1).split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the first line and the headers of a message. `None` at the end of the input.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_string();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads a message with its body, which has a length or chunks.
pub fn read_message(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(input)? {
            message.body.extend(chunk);
        }
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk(input: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size =
        usize::from_str_radix(line.trim_end(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    input.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Sends a response with a body of known length.
pub fn respond(
    output: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend(body);
    output.write_all(&message)
}
