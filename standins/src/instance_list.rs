//! Stand-in for the platform's instance list: the live and the leaving instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::StatusCode;
use serde::Serialize;

use crate::faults::Switch;
use crate::server;

/// Record of an instance in the list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedInstance {
    /// Kind of instance, `entry` or `agent`.
    pub kind: &'static str,
    /// Instance name, unique in the list.
    pub name: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Availability zone that the instance runs in.
    pub zone: String,
    /// Pool that an agent serves; empty for an entry.
    pub pool: String,
    /// Address at which entries reach an agent; empty for an entry.
    pub address: String,
    /// True while the instance shuts down and drains.
    pub leaving: bool,
}

#[derive(Serialize)]
struct ListResponse {
    instances: Vec<ListedInstance>,
}

/// Stand-in instance list, shared between its server and the test.
#[derive(Debug, Default)]
pub struct InstanceList {
    instances: Mutex<Vec<ListedInstance>>,
    /// Responds to every request with status 503.
    pub down: Switch,
    /// Responds with an empty list, whatever it holds.
    pub empty: Switch,
}

impl InstanceList {
    /// Starts an instance list on a free loopback port, and returns it with its address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let list = Arc::new(Self::default());
        let served = list.clone();
        let address = server::serve(move |_| {
            let list = served.clone();
            async move {
                if list.down.is_on() {
                    return Ok(server::json(StatusCode::SERVICE_UNAVAILABLE, &"down"));
                }
                let instances = list.instances.lock().expect("the mutex is not poisoned").clone();
                let instances = if list.empty.is_on() { Vec::new() } else { instances };
                Ok(server::json(StatusCode::OK, &ListResponse { instances }))
            }
        })
        .await;
        (list, address)
    }

    /// Adds an instance, or replaces the one with its name.
    pub fn put(&self, instance: ListedInstance) {
        let mut instances = self.instances.lock().expect("the mutex is not poisoned");
        instances.retain(|other| other.name != instance.name);
        instances.push(instance);
    }

    /// Removes an instance from the list.
    pub fn remove(&self, name: &str) {
        self.instances
            .lock()
            .expect("the mutex is not poisoned")
            .retain(|other| other.name != name);
    }

    /// Marks an instance as leaving or as not leaving; an unknown name changes nothing.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let mut instances = self.instances.lock().expect("the mutex is not poisoned");
        for instance in instances.iter_mut().filter(|instance| instance.name == name) {
            instance.leaving = leaving;
        }
    }
}
