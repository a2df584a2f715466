//! A model server whose streams end with their connection is killed in the middle of them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::engine::PIECES;
use crate::fleet::{Entry, Record};
use crate::fleet::{free_address, host, temporary_folder};
use crate::http::{read_chunk, read_head};
use crate::store::{HEARTBEAT, Store};

const SERVICE: &str = "writer";
const STREAMS: u32 = 6;

/// Process of a model server. Dropping it kills the process.
struct Engine {
    id: &'static str,
    address: String,
    stage: &'static str,
    born_ms: u128,
    process: Child,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Engine {
    fn start(id: &'static str, stage: &'static str) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut command = Command::new(program);
        let mut process =
            command.args(["engine", id, stage]).stdout(Stdio::piped()).spawn().ok()?;
        let mut address = String::new();
        BufReader::new(process.stdout.take()?).read_line(&mut address).ok()?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
        Some(Self { id, address: address.trim().to_string(), stage, born_ms, process })
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"{}\",\"models\":\
             [{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0,\"born\":{}}}",
            self.address, self.stage, self.born_ms
        )
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/write/\",\"kind\":\"stream\",\"timeoutMs\":14000,\"sloMs\":900,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":1,\"sticky\":true,\"canResume\":\
         false,\"gapTargetMs\":300}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
         \"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":\
         64,\"kvCapacity\":51867,\"kvTokenBytes\":18432,\"linkMbps\":200000.0,\"stride\":7,\
         \"kvHoldS\":0.5,\"switchS\":6.0,\"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":\
         3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let folder = temporary_folder();
    let store_address = free_address(host(1));
    let store = Store::start(store_address);
    store.put("keyed.op", "config", configuration().as_bytes());
    let engines =
        [("i-p", "prefill"), ("i-d", "decode")].map(|(id, stage)| Engine::start(id, stage));
    let [Some(prefill), Some(mut decode)] = engines else { return Verdict::NotRun };
    let beats = [&prefill, &decode].map(|engine| (engine.id, engine.entry()));
    let beating = store.clone();
    thread::spawn(move || {
        loop {
            beats.iter().for_each(|(id, entry)| {
                beating.beat(id, entry);
            });
            sleep(HEARTBEAT);
        }
    });
    let Some(entry) = Entry::start(11, store_address, &folder, record) else {
        return Verdict::NotRun;
    };
    sleep(Duration::from_secs(1));
    let address = entry.address;
    let streams: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read_stream(address, number, &record))
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    if has_trouble {
        record.line("the decode server is killed");
        let _ = decode.process.kill();
    }
    let ends: Vec<(u32, bool)> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    drop(entry);
    let _ = std::fs::remove_dir_all(folder);
    if !ends.iter().any(|(pieces, _)| *pieces > 0) {
        record.line("no stream has begun: the case could not run");
        return Verdict::NotRun;
    }
    let short = ends.iter().filter(|(pieces, complete)| *complete && *pieces < PIECES).count();
    record.line(&format!("{short} of {STREAMS} streams ended as complete before their last piece"));
    if short > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Reads a stream. Returns the number of its pieces, and whether it ended as complete.
fn read_stream(entry: std::net::SocketAddr, number: u32, record: &Record) -> (u32, bool) {
    let request_id = format!("{number:016x}");
    let mut text = String::new();
    let mut receive = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect(entry)?;
        stream.set_read_timeout(Some(Duration::from_secs(14)))?;
        let head = format!(
            "POST /write/2f HTTP/1.1\r\nHost: site.example\r\nBamboodoor-Request-Id: \
             {request_id}\r\nBamboodoor-Model: m\r\nBamboodoor-Token-Count: 1460,80\r\n\
             Bamboodoor-Prompt-Prefix: 5c1e07a2:800,91bd3f0{number}:660\r\n\
             Bamboodoor-Deadline-Ms: 14000\r\nContent-Length: 4\r\n\r\ntext"
        );
        stream.write_all(head.as_bytes())?;
        let mut input = BufReader::new(stream);
        let head = read_head(&mut input)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if head.header("transfer-encoding").is_none() {
            input.read_to_string(&mut text)?;
            return Ok(head.status());
        }
        while let Some(chunk) = read_chunk(&mut input)? {
            text.push_str(&String::from_utf8_lossy(&chunk));
        }
        Ok(head.status())
    };
    let end = receive();
    let pieces = text.matches("data: ").count() as u32;
    let complete = matches!(end, Ok(200));
    record.line(&format!("client: {request_id} has {pieces} of {PIECES} pieces, ended {end:?}"));
    (pieces, complete)
}
