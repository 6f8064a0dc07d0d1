//! The simulator's adapter: runs instances of the controller over standard input and output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match wheatpier::wire::run_adapter(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheatpier-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
