//! Types generated from `schema/*.proto`: the manifest, settings, messages between
//! processes and log records.
//!
//! Regenerate with `cargo run -p codegen -- src/schema`.

/// The manifest that operators publish, with its JSON form.
pub mod manifest {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.manifest.rs");
    include!("schema/bamboodoor.manifest.serde.rs");
}

/// Settings of the daemons, with their JSON form.
pub mod settings {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.settings.rs");
    include!("schema/bamboodoor.settings.serde.rs");
}

/// Messages between entry and agent, in protobuf encoding.
pub mod wire {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.wire.rs");
}

/// Records of the platform's log, with their JSON form.
pub mod record {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.record.rs");
    include!("schema/bamboodoor.record.serde.rs");
}
