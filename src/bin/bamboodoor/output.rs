//! What the command prints.

use std::path::Path;

use bamboodoor::command::explain::Step;
use bamboodoor::command::status::ProcessStatus;
use serde::Serialize;

fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).expect("output is plain data"));
}

pub fn checked(manifest: &Path, json: bool) {
    if json {
        print_json(&serde_json::json!({ "valid": true }));
    } else {
        println!("{}: valid", manifest.display());
    }
}

pub fn published(generation: u64, json: bool) {
    if json {
        print_json(&serde_json::json!({ "accepted": true, "generation": generation }));
    } else {
        println!("accepted as generation {generation}");
    }
}

pub fn statuses(statuses: &[ProcessStatus], json: bool) {
    if json {
        print_json(&statuses);
        return;
    }
    for process in statuses {
        match (&process.status, &process.error) {
            (Some(status), _) => println!("{} {status}", process.address),
            (None, error) => {
                println!("{} no answer: {}", process.address, error.as_deref().unwrap_or_default());
            }
        }
    }
}

pub fn steps(steps: &[Step], json: bool) {
    if json {
        print_json(&steps);
        return;
    }
    for step in steps {
        println!("{step}");
    }
}
