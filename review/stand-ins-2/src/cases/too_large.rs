//! A message that is longer than `max_message_bytes` is dead-lettered. The broker, the engine and the control plane are the
//! project's test servers.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::base::{self, BROKEN, HELD, NOT_PLAYED, Process, folder, has_trouble, need, note, pause, serve};

/// The default of `max_message_bytes`.
const LIMIT: usize = 65_536;

pub fn play() -> i32 {
    let directory = folder().join("site");
    let mut command = Command::new("target/release/test-servers");
    command.arg(&directory).stdin(Stdio::piped()).stdout(Stdio::piped());
    let servers = Process::spawn(&mut command);
    let mut input = servers.stdin();
    let output = servers.stdout();
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    let mut ask = move |text: &str| -> Vec<String> {
        writeln!(input, "{text}").expect("the test servers read commands");
        let mut answer = Vec::new();
        while let Ok(line) = lines.recv_timeout(Duration::from_millis(400)) {
            answer.push(line);
        }
        answer
    };
    need("the test servers have written their files", Duration::from_secs(10), || {
        directory.join("options.yaml").exists()
    });
    pause(300);
    serve("n3", &directory.join("config.json"), Some(&directory.join("options.yaml")));
    need("the server consumes the queue", Duration::from_secs(15), || {
        base::log_of("n3").contains("connected to the broker")
    });
    let size = if has_trouble() { LIMIT + 4_000 } else { LIMIT };
    let body: String = (0..size).map(|index| char::from(b'a' + (index % 23) as u8)).collect();
    ask(&format!("publish big {body}"));
    note(&format!("sender: message `big` with a body of {size} bytes to the queue jobs"));
    let (mut replies, mut dead) = (Vec::new(), Vec::new());
    let is_settled = base::wait(Duration::from_secs(15), || {
        replies.extend(ask("replies"));
        dead.extend(ask("dead"));
        !replies.is_empty()
    });
    pause(1000);
    dead.extend(ask("dead"));
    let queues = ask("queues").join(" | ");
    // A message is printed as `CORRELATION KIND HEADERS body="BODY"`.
    let body_of =
        |line: &String| line.split("body=\"").nth(1).map(|body| body.trim_end_matches('"').to_owned());
    let show = |line: &String| {
        let head = line.split("body=").next().unwrap_or_default().trim().to_owned();
        format!("{head}, body of {} bytes", body_of(line).map_or(0, |body| body.len()))
    };
    replies.iter().for_each(|line| note(&format!("reply: {}", show(line))));
    dead.iter().for_each(|line| note(&format!("dead letter: {}", show(line))));
    note(&format!("queues at the end: {queues}"));
    for line in base::log_of("n3").lines() {
        note(&format!("log of the server: {line}"));
    }
    if !is_settled {
        return NOT_PLAYED;
    }
    let is_served = replies.iter().filter_map(body_of).any(|reply| reply == format!("done:{body}"));
    let is_kept = dead.iter().filter_map(body_of).any(|dead| dead == body);
    note(&format!("served: {is_served}; a dead letter has the body unchanged: {is_kept}"));
    if is_served || is_kept { HELD } else { BROKEN }
}
