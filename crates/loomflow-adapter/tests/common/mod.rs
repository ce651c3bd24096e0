//! Runs the adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with these lines as its input, until it exits.
pub fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    // Invalid lines make the adapter exit before it has read all of its input, so the write may fail.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}
