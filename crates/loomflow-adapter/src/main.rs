//! Connects the controller to a simulator: converts JSON lines on standard input to events, and actions to JSON lines on
//! standard output. Makes no decisions of its own.

#![forbid(unsafe_code)]

mod error;
mod host;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use error::BatchError;
use host::Host;
use thiserror::Error;
use wire::actions::Reply;

/// An error that terminates the adapter, printed as one line on standard error.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("reading standard input: {0}")]
    Input(io::Error),
    #[error("writing standard output: {0}")]
    Output(io::Error),
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// Handles batches until the end of the input.
fn run() -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut output = BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line.map_err(AdapterError::Input)?;
        let reply = host.handle_batch(&line)?;
        write_reply(&mut output, &reply).map_err(AdapterError::Output)?;
    }
    Ok(())
}

/// Writes a reply as one line and flushes it, because the simulator waits for each reply.
fn write_reply(output: &mut impl Write, reply: &Reply) -> io::Result<()> {
    serde_json::to_writer(&mut *output, reply)?;
    output.write_all(b"\n")?;
    output.flush()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("loomflow-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
