//! The committed code against the .proto files.

use std::{
    fs,
    path::Path,
    process::Command, //
};

use googletest::prelude::*;

const FILES: [&str; 2] = ["toucanturn.peer.v1.rs", "toucanturn.gossip.v1.rs"];

#[gtest]
fn verify_the_committed_code_is_what_the_proto_file_gives() {
    let out = tempfile::tempdir().expect("there is room");
    let status = Command::new(env!("CARGO_BIN_EXE_toucanturn-wire-codegen"))
        .arg(out.path())
        .status();
    expect_true!(status.expect("the tool starts").success());
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/src/generated");
    for file in FILES {
        let read = |folder: &Path| fs::read_to_string(folder.join(file)).expect("it is there");
        expect_that!(read(&committed) == read(out.path()), eq(true), "{file}");
    }
}
