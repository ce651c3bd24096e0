//! Sends requests directly to a test engine, as the baseline for the time that a server adds.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loomflow_test_servers::next_attempt_id;

/// Senders that report the end of each open run, by the id of the run.
type OpenRuns = Arc<Mutex<HashMap<String, Sender<Instant>>>>;

/// One link to an engine, shared by all callers.
pub struct EngineClient {
    writer: Mutex<TcpStream>,
    open_runs: OpenRuns,
}

impl EngineClient {
    pub fn connect(address: SocketAddr) -> EngineClient {
        let mut writer = TcpStream::connect(address).expect("the engine listens");
        writer.set_nodelay(true).expect("Nagle's algorithm can be disabled");
        writer.write_all(b"ATTACH 0\r\n").expect("the engine reads");
        let (reader, open_runs) =
            (writer.try_clone().expect("the stream can be cloned"), OpenRuns::default());
        let for_reader = open_runs.clone();
        std::thread::spawn(move || read_notices(reader, &for_reader));
        EngineClient { writer: Mutex::new(writer), open_runs }
    }

    /// Runs one request. Returns the time until its end, or `None` after `timeout` or if the link is closed.
    pub fn call(&self, class: &str, body: &[u8], timeout: Duration) -> Option<Duration> {
        let (id, (sender, ended)) = (next_attempt_id(), channel());
        self.open_runs.lock().expect("not poisoned").insert(id.clone(), sender);
        let mut bytes = format!("RUN {id} {class} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        let sent_at = Instant::now();
        self.writer.lock().expect("not poisoned").write_all(&bytes).ok()?;
        ended.recv_timeout(timeout).ok().map(|at| at - sent_at)
    }
}

impl Drop for EngineClient {
    fn drop(&mut self) {
        if let Ok(writer) = self.writer.lock() {
            let _ = writer.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Reads notices of the form `DONE NUMBER ID fine MS SIZE` with their bodies until the link is closed.
fn read_notices(stream: TcpStream, open_runs: &OpenRuns) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ["DONE", _, id, .., size] = fields[..] else { continue };
        let mut body = vec![0; size.parse::<usize>().unwrap_or(0) + 2];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let now = Instant::now();
        if let Some(sender) = open_runs.lock().expect("not poisoned").remove(id) {
            let _ = sender.send(now);
        }
    }
}
