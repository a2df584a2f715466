//! Orders that a replica accepted, guarded by fencing tokens.

use std::sync::Mutex;

use hyper::StatusCode;
use serde::Deserialize;

/// An order as it came in.
#[derive(Debug, Clone, Deserialize)]
pub struct Order {
    /// What the replica is to do.
    pub stage: String,
    /// Who gives it.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// Orders that must have been accepted before.
    pub expected: Option<u64>,
}

/// The orders of one replica, in the order they came in.
#[derive(Debug, Default)]
pub struct Orders {
    came: Mutex<Vec<(Order, StatusCode)>>,
}

impl Orders {
    /// Takes an order, or says why not.
    pub fn take(&self, order: Order) -> StatusCode {
        let mut came = self.came.lock().expect("no holder panics");
        let accepted = came.iter().filter(|(_, status)| *status == StatusCode::ACCEPTED);
        let highest = came.iter().map(|(order, _)| order.fence).max().unwrap_or(0);
        let status = if order.fence < highest {
            StatusCode::PRECONDITION_FAILED
        } else if order.expected.is_some_and(|expected| expected != accepted.count() as u64) {
            StatusCode::CONFLICT
        } else {
            StatusCode::ACCEPTED
        };
        came.push((order, status));
        status
    }

    /// Orders that were accepted.
    pub fn accepted(&self) -> u64 {
        let came = self.came.lock().expect("no holder panics");
        came.iter().filter(|(_, status)| *status == StatusCode::ACCEPTED).count() as u64
    }

    /// What the last accepted order asked for.
    pub fn stage(&self) -> Option<String> {
        let came = self.came.lock().expect("no holder panics");
        let accepted = came.iter().rev().find(|(_, status)| *status == StatusCode::ACCEPTED);
        accepted.map(|(order, _)| order.stage.clone())
    }

    /// All orders that came in.
    pub fn all(&self) -> Vec<Order> {
        let came = self.came.lock().expect("no holder panics");
        came.iter().map(|(order, _)| order.clone()).collect()
    }
}
