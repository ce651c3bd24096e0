//! Carries the bench's JSON lines to the decision module and its actions back. Decides nothing.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let reply = line.map_err(|e| format!("reading standard input: {e}")).and_then(|l| host.batch(&l));
        let written = match reply {
            Ok(text) => {
                out.write_all(text.as_bytes()).and_then(|()| out.write_all(b"\n")).and_then(|()| out.flush())
            }
            Err(message) => {
                eprintln!("loomflow-adapter: {message}");
                return ExitCode::FAILURE;
            }
        };
        if let Err(e) = written {
            eprintln!("loomflow-adapter: writing standard output: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
