//! Stand-in of the platform's list of live and leaving instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::StatusCode;
use serde::Serialize;

use crate::faults::Switch;
use crate::server;

/// One line of the list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedInstance {
    /// `entry` or `agent`.
    pub kind: &'static str,
    /// Name of the instance.
    pub name: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Pool of an agent.
    pub pool: String,
    /// Address of an agent.
    pub address: String,
    /// True once it is being taken away.
    pub leaving: bool,
}

#[derive(Serialize)]
struct Answer {
    instances: Vec<ListedInstance>,
}

/// The list, shared between the server and the test.
#[derive(Debug, Default)]
pub struct InstanceList {
    listed: Mutex<Vec<ListedInstance>>,
    /// The list cannot be read.
    pub down: Switch,
    /// The list is read as empty.
    pub empty: Switch,
}

impl InstanceList {
    /// Starts a list on a free port.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let list = Arc::new(Self::default());
        let served = list.clone();
        let address = server::serve(move |_| {
            let list = served.clone();
            async move {
                if list.down.is_on() {
                    return Ok(server::json(StatusCode::SERVICE_UNAVAILABLE, &"down"));
                }
                let listed = list.listed.lock().expect("no holder panics").clone();
                let instances = if list.empty.is_on() { Vec::new() } else { listed };
                Ok(server::json(StatusCode::OK, &Answer { instances }))
            }
        })
        .await;
        (list, address)
    }

    /// Adds an instance, or replaces the one of that name.
    pub fn put(&self, instance: ListedInstance) {
        let mut listed = self.listed.lock().expect("no holder panics");
        listed.retain(|other| other.name != instance.name);
        listed.push(instance);
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &str) {
        self.listed.lock().expect("no holder panics").retain(|other| other.name != name);
    }

    /// Marks an instance as leaving.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let mut listed = self.listed.lock().expect("no holder panics");
        for instance in listed.iter_mut().filter(|instance| instance.name == name) {
            instance.leaving = leaving;
        }
    }
}
