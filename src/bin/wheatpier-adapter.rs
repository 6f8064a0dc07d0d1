//! The adapter: hosts instances of the module on the simulator's wire (standard input and output).

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    match wheatpier::wire::run_adapter(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("wheatpier-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
