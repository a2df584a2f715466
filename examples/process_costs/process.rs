//! Runs a program of this build and reads its costs from `/proc`.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Number of clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const MS_PER_S: f64 = 1_000.0;
const KB_PER_MB: f64 = 1_024.0;
/// Index of the user time in `/proc/PID/stat`, counted after the program name; the
/// system time follows it.
const UTIME_FIELD: usize = 11;

/// Running process of a program of this build; killed when dropped.
pub struct Process {
    child: Child,
    /// Address that callers or entries connect to.
    pub address: SocketAddr,
    /// Address that serves `/status`.
    pub operators_address: SocketAddr,
}

/// Returns an address on loopback on which nothing listened when checked. Its port is
/// ephemeral, so another process or connection may take it before it is used.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a listener has an address")
}

impl Process {
    /// Starts a program from the directory above that of this example.
    pub fn start(
        program: &str,
        settings: &serde_json::Value,
        address: SocketAddr,
        operators_address: SocketAddr,
    ) -> Self {
        let mut settings = settings.clone();
        settings["listen"] = address.to_string().into();
        settings["operators_listen"] = operators_address.to_string().into();
        let file = std::env::temp_dir().join(format!("bamboodoor-{}.jsonc", rand::random::<u64>()));
        std::fs::write(&file, settings.to_string())
            .expect("the directory for temporary files is writable");
        let example = std::env::current_exe().expect("the path of this program is known");
        let directory: PathBuf = example
            .ancestors()
            .nth(2)
            .expect("the example is in target/PROFILE/examples")
            .to_path_buf();
        let child = Command::new(directory.join(program))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program exists; build it with cargo build --release");
        Self { child, address, operators_address }
    }

    /// Returns the user and system time used so far, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))
            .expect("the process is running");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks =
            |index: usize| fields[index].parse::<f64>().expect("a processor time is a number");
        (ticks(UTIME_FIELD) + ticks(UTIME_FIELD + 1)) * MS_PER_S / TICKS_PER_S
    }

    /// Returns the resident memory in MB of 1024 kB.
    pub fn resident_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process is running");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .expect("the status has a VmRSS line");
        let kb: f64 = line
            .split_whitespace()
            .nth(1)
            .expect("the VmRSS line has a value")
            .parse()
            .expect("the VmRSS value is a number");
        kb / KB_PER_MB
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
