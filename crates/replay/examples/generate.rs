//! Writes the generated traces to the folder named as the first argument.

use std::{
    fs::File,
    io::BufWriter,
    path::PathBuf, //
};

use toucanturn_replay::generate::Profile;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).ok_or("expected a folder")?;
    for profile in Profile::all() {
        let path = PathBuf::from(&folder).join(format!("{}.jsonl", profile.name));
        profile.trace().write(BufWriter::new(File::create(path)?))?;
    }
    Ok(())
}
