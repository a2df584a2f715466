//! Entries of bamboodoor as processes, started with the command of the deploy file.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// One entry process.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: String,
    log: String,
    child: Option<Child>,
}

impl Entry {
    /// Starts an entry on free ports of its own loopback address. `bounds` is the table of bounds
    /// in the settings.
    pub fn start(
        folder: &str,
        name: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        bounds: &str,
    ) -> Self {
        let (front, ready) = (free_port(ip), free_port(ip));
        let settings = format!("{folder}/{name}.toml");
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"nordeste\"\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             [zones]\npetrolina = \"nordeste\"\njuazeiro = \"nordeste\"\ncaruaru = \"nordeste\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = 0.19\ncores = 1\nmemoryMb = 110\nmaxFds = 4100\n\
             [bounds]\n{bounds}\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             parts = 8\nappendMs = 4.0\nkeep_s = 300\nttlMinMs = 1000\n"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = format!("{folder}/{name}.log");
        let mut entry = Self { name: name.to_string(), front, ready, settings, log, child: None };
        entry.spawn();
        entry
    }

    /// Writes the settings of a process that starts again: the whole system no longer starts for
    /// the first time.
    pub fn end_bootstrap(&self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&self.settings, text).expect("the settings can be written");
    }

    /// Starts the process, also again after its end.
    pub fn spawn(&mut self) {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("a command");
        let mut words = run.trim().trim_matches('"').split(' ');
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env("BAMBOODOOR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("cannot start an entry: {error}")));
        // The script ends what is listed here, if this process could not.
        let pids = self.settings.rsplit_once('/').map_or(".", |(folder, _)| folder).to_string();
        let file = std::fs::OpenOptions::new().create(true).append(true).open(pids + "/pids");
        let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
    }

    /// True if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_secs(1));
        answer.is_some_and(|it| it.status() == 200)
    }

    /// Waits until the entry is ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                could_not_run("an entry did not get ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free loopback port");
    listener.local_addr().expect("the address is known")
}

/// Ends the play, and with it all entries: the case could not run.
pub fn could_not_run(why: &str) -> ! {
    panic!("could not run: {why}");
}

/// First three bytes of a loopback network on which the port of the metrics is free.
pub fn loopback_network(seed: u64) -> String {
    for number in 0..200 {
        let network = format!("127.{}.{}", 60 + (seed + number) % 100, (seed / 7 + number) % 250);
        let is_free = |last| TcpListener::bind((format!("{network}.{last}"), 9464)).is_ok();
        if (1..9).all(is_free) {
            return network;
        }
    }
    could_not_run("no loopback address has a free port for metrics")
}
