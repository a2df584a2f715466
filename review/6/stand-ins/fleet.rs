//! A small deployment: the store, servers, one entry of the project, and clients.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, respond};
use crate::store::{HEARTBEAT, Store};

/// Program and argument of `deploy/system.toml`.
const PROGRAM: &str = "target/release/bamboodoor-platform";
const METRICS_PORT: &str = "9464";

/// Writes `record.txt`, with the seconds since the start before each line.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Self { start: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }
}

/// Returns a loopback address of this run, of which few others use the ports.
pub fn host(number: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 20 + (id >> 8) as u8 % 200, id as u8, number))
}

/// Returns an address whose port is free.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a port is free");
    listener.local_addr().expect("it has an address")
}

/// One entry of the project. Dropping it kills the process.
pub struct Entry {
    pub address: SocketAddr,
    pub process: Child,
}

impl Entry {
    /// Starts an entry with the command of the deploy file, and waits until it is ready.
    pub fn start(number: u8, store: SocketAddr, folder: &Path, record: &Record) -> Option<Self> {
        let (address, ready) = (free_address(host(number)), free_address(host(number)));
        let settings = folder.join(format!("settings-{number}.toml"));
        std::fs::write(&settings, settings_text(number, address, ready, store)).ok()?;
        let log = File::create(folder.join(format!("entry-{number}.log"))).ok()?;
        let process = Command::new(PROGRAM)
            .args(["--metrics-port", METRICS_PORT])
            .env_clear()
            .env("BAMBOODOOR_CONFIG", &settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .ok()?;
        let entry = Self { address, process };
        record.line(&format!("entry {number} started at {address}"));
        for _ in 0..100 {
            thread::sleep(Duration::from_millis(50));
            let mut client = Client::new(ready);
            let answer = client.send("GET", "/api/readyz", &[], b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                record.line(&format!("entry {number} is ready"));
                return Some(entry);
            }
        }
        None
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Settings of a `front` machine, as `fleetbench wire` shows them.
fn settings_text(number: u8, front: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    format!(
        "nodeName = \"front-z-{number}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
         serves = [\"front\"]\nip = \"{}\"\nzone = \"z\"\nregion = \"r\"\nbootstrap = true\n\
         heartbeatMs = 1200\n[zones]\nz = \"r\"\n[listen]\nfront = \"{front}\"\n\
         ready = \"{ready}\"\n[limits]\ncpuShare = 0.19\ncores = 1\nmemoryMb = 110\n\
         maxFds = 4100\n[bounds]\nstableMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 8\n\
         lossSlackMs = 200\napplyMs = 2000\ndowngradeMs = 250\nretryRatio = 0.2\n\
         retryWindowS = 10\nretrySlack = 58\nrecoverS = 12\nrequireFence = true\n\
         leaseMs = 3000\nthawMs = 300\n[platform]\naddress = \"{store}\"\nform = \"log\"\n\
         writesPerS = 400\nreadsPerS = 2000\nparts = 8\nttlMinMs = 1000\n",
        front.ip()
    )
}

/// A configuration with one route to one plain service.
pub fn configuration(kind: &str, service: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/book/\",\"kind\":\"{kind}\",\"timeoutMs\":800,\"sloMs\":300,\
         \"priority\":2,\"service\":\"{service}\",\"attempts\":1}}],\"services\":[{{\"name\":\
         \"{service}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String,
    pub server: String,
    pub at: Instant,
    pub completed: bool,
}

/// All runs at all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Stand-in of a server of a plain service.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    work: Duration,
    born_ms: u128,
    /// True while it is partitioned from the store.
    pub is_cut: AtomicBool,
    is_draining: AtomicBool,
    has_exited: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    runs: Runs,
}

impl Server {
    /// Starts a server that takes `work` for a request, and writes heartbeats to the store.
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        store: &Store,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(SocketAddr::new(host(100), 0)).expect("a port is free");
        listener.set_nonblocking(true).expect("it can be polled");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let server = Arc::new(Self {
            id: id.to_string(),
            address: listener.local_addr().expect("it has an address"),
            service: service.to_string(),
            work,
            born_ms: since_epoch.as_millis(),
            is_cut: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: runs.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        let (beating, store, record) = (server.clone(), store.clone(), record.clone());
        thread::spawn(move || {
            while !beating.has_exited.load(Ordering::SeqCst) {
                if !beating.is_cut.load(Ordering::SeqCst) && beating.beat(&store) {
                    record.line(&format!("store: the entry of {} has changed", beating.id));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Writes the entry of the server. Returns true if it changed.
    fn beat(&self, store: &Store) -> bool {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":0,\"born\":{}}}",
            self.service, self.address, self.born_ms
        );
        store.beat(&self.id, &value)
    }

    /// Reports that it is draining. Returns when the store has accepted that.
    pub fn drain(&self, store: &Store) -> Instant {
        self.is_draining.store(true, Ordering::SeqCst);
        self.beat(store);
        Instant::now()
    }

    /// Exits: its entry is removed, its connections and its listener are closed.
    pub fn exit(&self, store: &Store) {
        self.has_exited.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        store.remove(&self.id);
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.has_exited.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            self.connections.lock().unwrap().extend(stream.try_clone());
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            if self.answer(&request, &mut output).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> io::Result<()> {
        let id = request.header("bamboodoor-request-id").unwrap_or("").to_string();
        if request.header("bamboodoor-expect-instance").is_some_and(|other| other != self.id) {
            return respond(output, 421, &[("Bamboodoor-Instance-Id", &self.id)], b"");
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let (request_id, server) = (id.clone(), self.id.clone());
            runs.push(Run { request_id, server, at: Instant::now(), completed: false });
            runs.len() - 1
        };
        thread::sleep(self.work);
        if self.has_exited.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let headers = [
            ("Bamboodoor-Request-Id", id.as_str()),
            ("Bamboodoor-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        let body = format!("result of {id}");
        respond(output, 200, &headers, body.as_bytes())?;
        self.runs.lock().unwrap()[index].completed = true;
        Ok(())
    }
}

/// Client with one kept connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request and reads the whole answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        deadline: Duration,
    ) -> io::Result<Message> {
        let answer = self.exchange(method, path, headers, body, deadline);
        let closes = answer.as_ref().map_or(true, |it| it.header("connection") == Some("close"));
        if closes {
            self.connection = None;
        }
        answer
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        deadline: Duration,
    ) -> io::Result<Message> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let input = self.connection.as_mut().expect("it was just opened");
        input.get_ref().set_read_timeout(Some(deadline))?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: site.example\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut message = head.into_bytes();
        message.extend(body);
        input.get_mut().write_all(&message)?;
        read_message(input)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Request of a client, and what came of it: a status, or what failed.
#[derive(Debug, Clone)]
pub struct Sent {
    pub request_id: String,
    pub at: Instant,
    pub result: String,
}

/// Has clients send bookings until `stop` is set, each `pause` after its last answer.
pub fn send_bookings(
    entry: SocketAddr,
    clients: u64,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> (Arc<Mutex<Vec<Sent>>>, Vec<thread::JoinHandle<()>>) {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let numbers = Arc::new(AtomicU64::new(1));
    let threads = (0..clients).map(|place| {
        let (sent, numbers) = (sent.clone(), numbers.clone());
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || {
            // The clients are not in step.
            thread::sleep(Duration::from_millis(21 * place));
            let mut client = Client::new(entry);
            while !stop.load(Ordering::SeqCst) {
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let request_id = format!("{number:016x}");
                let headers = [
                    ("Bamboodoor-Request-Id", request_id.as_str()),
                    ("Bamboodoor-Deadline-Ms", "1500"),
                ];
                let at = Instant::now();
                let deadline = Duration::from_millis(1_500);
                let answer = client.send("POST", "/book/2f", &headers, &[b'x'; 600], deadline);
                let result = match answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => format!("no answer: {}", error.kind()),
                };
                record.line(&format!("client: {request_id} answered {result}"));
                sent.lock().unwrap().push(Sent { request_id, at, result });
                thread::sleep(pause);
            }
        })
    });
    let threads = threads.collect();
    (sent, threads)
}

/// Returns an empty folder for the files of one run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
    folder
}
