//! Generates the Rust types of `schema/*.proto` and, except for the wire protocol,
//! their JSON conversion.
//!
//! Run it from the root of the repository: `cargo run -p codegen -- src/schema`.

use std::path::PathBuf;

use prost::Message;

/// Names of the files `schema/NAME.proto`, whose packages are `bamboodoor.NAME`.
const SCHEMAS: [&str; 4] = ["manifest", "settings", "wire", "record"];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let out_dir = PathBuf::from(std::env::args().nth(1).ok_or("usage: codegen OUT_DIR")?);
    std::fs::create_dir_all(&out_dir)?;
    let files = SCHEMAS.map(|name| format!("schema/{name}.proto"));
    let descriptors = protox::compile(&files, ["schema"])?;
    prost_build::Config::new()
        .out_dir(&out_dir)
        .bytes([".bamboodoor.wire"])
        .compile_fds(descriptors.clone())?;
    pbjson_build::Builder::new()
        .register_descriptors(&descriptors.encode_to_vec())?
        .out_dir(&out_dir)
        .preserve_proto_field_names()
        .build(&[".bamboodoor.manifest", ".bamboodoor.settings", ".bamboodoor.record"])?;
    Ok(())
}
