//! A broker rejects the replies to a message for half a minute. The options name no `dead_letter`, and the queue has
//! dead-lettering of its own.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::base::{self, BROKEN, HELD, Process, folder, has_trouble, need, note, pause, serve, wait};

/// How long the broker rejects publishes.
const REJECTED_FOR: Duration = Duration::from_secs(30);
/// How long it accepts them afterwards, before the case judges.
const ACCEPTED_FOR: Duration = Duration::from_secs(35);

pub fn play() -> i32 {
    let directory = folder().join("site");
    let mut command = Command::new("review/stand-ins-2/broker/target/release/review-2-broker");
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
        while let Ok(line) = lines.recv_timeout(Duration::from_millis(300)) {
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
    pause(1000);
    if has_trouble() {
        ask("nack 1000000");
        note("the broker rejects what is published to it (basic.nack)");
    }
    ask("publish a hello");
    note("sender: message `a` to the queue jobs, with replies as its reply-to");
    let published_at = Instant::now();
    let (mut replies, mut dead) = (Vec::new(), Vec::new());
    let mut is_gone = false;
    while published_at.elapsed() < REJECTED_FOR && replies.is_empty() {
        replies.extend(ask("replies"));
        dead.extend(ask("dead"));
        let queues = ask("queues").join(" ");
        if !is_gone && queues.contains("jobs: 0 ready, 0 unacknowledged") {
            is_gone = true;
            note(&format!(
                "the message is gone from the queue jobs {:.1} s later",
                published_at.elapsed().as_secs_f64()
            ));
        }
    }
    ask("nack 0");
    note("the broker accepts what is published to it");
    wait(if replies.is_empty() { ACCEPTED_FOR } else { Duration::from_secs(2) }, || {
        replies.extend(ask("replies"));
        dead.extend(ask("dead"));
        false
    });
    replies.iter().for_each(|line| note(&format!("reply: {line}")));
    dead.iter().for_each(|line| note(&format!("dead letter of the queue: {line}")));
    let queues = ask("queues").join(" ");
    note(&format!("queues at the end: {queues}"));
    note(&format!("engine: {}", ask("runs").join(" ")));
    for line in base::log_of("n3").lines() {
        note(&format!("log of the server: {line}"));
    }
    let is_kept = !dead.is_empty() || !queues.contains("jobs: 0 ready, 0 unacknowledged");
    note(&format!("the caller has an answer: {}; the message is kept: {is_kept}", !replies.is_empty()));
    if replies.is_empty() && !is_kept { BROKEN } else { HELD }
}
