//! Runs many gateways in one process for the simulator. It reads batches of messages from standard input and
//! replies to each batch with the gateways' actions on standard output.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Size of each of the two buffers, of standard input and of standard output, in bytes.
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
