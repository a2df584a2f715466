//! Role orders that a replica receives, guarded by fencing tokens.

use std::sync::Mutex;

use hyper::StatusCode;
use serde::Deserialize;

/// Order to an engine to change its stage, as the lease holder sends it.
#[derive(Debug, Clone, Deserialize)]
pub struct Order {
    /// Stage that the engine is to enter, `prefill` or `decode`.
    pub stage: String,
    /// Instance that sends the order, as holder of the lease.
    pub holder: String,
    /// Fencing token of the lease; an order is rejected if its token is lower than the highest one
    /// that was received before.
    pub fence: u64,
    /// Number of orders that must have been accepted before this one; `None` for any number.
    pub expected: Option<u64>,
}

/// All orders that one replica received, in order of arrival, with their status.
#[derive(Debug, Default)]
pub struct Orders {
    received: Mutex<Vec<(Order, StatusCode)>>,
}

impl Orders {
    /// Records an order and returns the status of its response: 202 if it is accepted, 412 if
    /// its fencing token is lower than the highest of earlier orders, including rejected ones,
    /// 409 if the number of accepted orders is not the expected one.
    pub fn receive(&self, order: Order) -> StatusCode {
        let mut received = self.received.lock().expect("the mutex is not poisoned");
        let accepted = received.iter().filter(|(_, status)| *status == StatusCode::ACCEPTED);
        let highest = received.iter().map(|(order, _)| order.fence).max().unwrap_or(0);
        let status = if order.fence < highest {
            StatusCode::PRECONDITION_FAILED
        } else if order.expected.is_some_and(|expected| expected != accepted.count() as u64) {
            StatusCode::CONFLICT
        } else {
            StatusCode::ACCEPTED
        };
        received.push((order, status));
        status
    }

    /// Number of orders that were accepted.
    pub fn accepted_count(&self) -> u64 {
        let received = self.received.lock().expect("the mutex is not poisoned");
        received.iter().filter(|(_, status)| *status == StatusCode::ACCEPTED).count() as u64
    }

    /// Stage that the last accepted order asked for, `None` before the first.
    pub fn stage(&self) -> Option<String> {
        let received = self.received.lock().expect("the mutex is not poisoned");
        let accepted = received.iter().rev().find(|(_, status)| *status == StatusCode::ACCEPTED);
        accepted.map(|(order, _)| order.stage.clone())
    }

    /// All orders that the replica received, including rejected ones, in order of arrival.
    pub fn all(&self) -> Vec<Order> {
        let received = self.received.lock().expect("the mutex is not poisoned");
        received.iter().map(|(order, _)| order.clone()).collect()
    }
}
