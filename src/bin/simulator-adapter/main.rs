//! Hosts many gateways on the simulator's wire: batches of events on standard input, a reply of
//! actions for each on standard output.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Capacity of the buffers of standard input and output, in bytes.
const BUFFER_SIZE: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_SIZE, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_SIZE, io::stdout().lock());
    match wire::GatewayHost::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
