//! Messages and settings generated from `schema/*.proto`.
//!
//! Regenerate with `cargo run -p codegen -- src/schema`.

/// The published manifest.
pub mod manifest {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.manifest.rs");
    include!("schema/bamboodoor.manifest.serde.rs");
}

/// Settings of the daemons.
pub mod settings {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.settings.rs");
    include!("schema/bamboodoor.settings.serde.rs");
}

/// Messages between entry and agent.
pub mod wire {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.wire.rs");
}

/// Records of the platform's log.
pub mod record {
    #![allow(missing_docs, clippy::all)]
    include!("schema/bamboodoor.record.rs");
    include!("schema/bamboodoor.record.serde.rs");
}
