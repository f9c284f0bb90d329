//! Adapter between the simulator and the decision module.
//!
//! Reads the simulator's line protocol on standard input, runs one [`ashtide::Balancer`] for each simulated
//! gateway, and writes the resulting actions to standard output.

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

mod error;
mod fields;
mod protocol;
mod simulation;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match simulation::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "ashtide-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
