//! The adapter as a process.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Has the adapter read lines until their end, or until it ends by itself.
pub fn play(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("its input");
    // It may end before it has read all: that is what some of these lines are for.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}
