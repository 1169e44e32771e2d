//! Replays generated profiles, or the trace files named as arguments.

use std::{
    fs::File,
    io::BufReader, //
};

use toucanturn_replay::{
    generate::Profile,
    run,
    size::estimated,
    trace::Trace, //
};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let names: Vec<String> = std::env::args().skip(1).collect();
    for profile in Profile::all() {
        if names.is_empty() || names.contains(&profile.name) {
            print!("{}", run(&profile.trace(), &estimated).text());
        }
    }
    for path in names.iter().filter(|n| n.ends_with(".jsonl")) {
        let trace = Trace::read(BufReader::new(File::open(path)?))?;
        print!("{}", run(&trace, &estimated).text());
    }
    Ok(())
}
