//! Speaks the simulator's wire on standard input and output, one decision module for each relay.

mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match wire::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "ashtide-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
