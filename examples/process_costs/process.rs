//! A program of this build, and what it has cost so far.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

const TICKS_PER_S: f64 = 100.0;
const MS_PER_S: f64 = 1_000.0;
const KB_PER_MB: f64 = 1_024.0;
const UTIME_FIELD: usize = 11;

/// A running program.
pub struct Process {
    child: Child,
    /// Address of callers or entries.
    pub address: SocketAddr,
    /// Address of `/status`.
    pub operators: SocketAddr,
}

/// An address of loopback that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a listener has an address")
}

impl Process {
    /// Starts a program that stands beside the directory of this example.
    pub fn start(
        program: &str,
        settings: &serde_json::Value,
        address: SocketAddr,
        operators: SocketAddr,
    ) -> Self {
        let mut settings = settings.clone();
        settings["listen"] = address.to_string().into();
        settings["operators_listen"] = operators.to_string().into();
        let file = std::env::temp_dir().join(format!("bamboodoor-{}.jsonc", rand::random::<u64>()));
        std::fs::write(&file, settings.to_string()).expect("is writable");
        let example = std::env::current_exe().expect("is known");
        let directory: PathBuf = example.ancestors().nth(2).expect("is in examples/").to_path_buf();
        let child = Command::new(directory.join(program))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("cargo build --release made it");
        Self { child, address, operators }
    }

    /// Processor time of user and system so far.
    pub fn cpu_ms(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("is alive");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("is a number");
        (ticks(UTIME_FIELD) + ticks(UTIME_FIELD + 1)) * MS_PER_S / TICKS_PER_S
    }

    /// Resident memory.
    pub fn resident_mb(&self) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("is alive");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("is told");
        let kb: f64 =
            line.split_whitespace().nth(1).expect("is a number").parse().expect("is a number");
        kb / KB_PER_MB
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
