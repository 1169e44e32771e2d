//! Makes the committed code of the wire crate from its .proto files.
//!
//! `cargo run -p toucanturn-wire-codegen` writes `crates/wire/src/generated/`, or the folder that
//! it is given. The .proto files are
//! compiled by `protox`, so that no protoc is needed; the normal build doesn't run this at all.

#![forbid(unsafe_code)]

use std::path::{
    Path,
    PathBuf, //
};

use snafu::{
    ResultExt,
    Whatever, //
};

/// The .proto files, under the wire crate.
const PROTOS: [&str; 2] = ["proto/peer.proto", "proto/gossip.proto"];

/// Where the code goes, under the wire crate.
const GENERATED: &str = "src/generated";

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let protos = PROTOS.map(|proto| wire.join(proto));
    let out = std::env::args_os()
        .nth(1)
        .map_or_else(|| wire.join(GENERATED), PathBuf::from);
    let files = protox::compile(&protos, [wire.join("proto")])
        .whatever_context("could not compile the .proto file")?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(files)
        .whatever_context("could not write the generated code")
}
