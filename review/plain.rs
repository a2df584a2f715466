//! The plain service of the small deployment: its configuration, its requests and its replicas.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::client::Kind;
use crate::record::Random;
use crate::record::Record;
use crate::replica::Replica;
use crate::replica::ReplicaSettings;
use crate::store::Store;

/// Requests a second that may run once, and those that may run again.
pub const UNSAFE_PER_S: f64 = 16.6;
pub const SAFE_PER_S: f64 = 8.0;
/// Configuration with the two routes of the service.
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-write","host":"ficu95.example","pathPrefix":"/write/","kind":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"balcao","attempts":1},
{"name":"r-read","host":"ficu95.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"balcao","attempts":2}],
"services":[{"name":"balcao","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Request that may run once (`registro-preco`).
pub fn write() -> Kind {
    Kind {
        method: "POST",
        path: "/write/2f",
        deadline: Duration::from_millis(1_500),
        tokens: None,
        body_bytes: 600,
        idempotent: false,
    }
}

/// Request that may run again (`consulta-preco`).
pub fn read() -> Kind {
    Kind { method: "GET", path: "/read/2f", body_bytes: 0, idempotent: true, ..write() }
}

pub struct Running {
    pub replica: Arc<Replica>,
    pub is_over: Arc<AtomicBool>,
}

/// Starts the replicas of the plain service.
pub struct Service {
    pub ip: String,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub random: Arc<Random>,
}

impl Service {
    pub fn start(&self, zone: &str) -> Running {
        let replica = Replica::start(ReplicaSettings {
            ip: &self.ip,
            id: format!("i-{}", self.random.id()),
            service: "balcao",
            zone,
            stage: None,
            extra_late: None,
            pauses: None,
            peers: Arc::new(Mutex::new(HashMap::new())),
            record: self.record.clone(),
            random: self.random.clone(),
            work: Duration::from_millis(60),
        });
        self.record.add("replica", &replica.id, "started");
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        replica.beat(self.store.clone(), move || ends.load(Ordering::SeqCst));
        Running { replica, is_over }
    }
}
