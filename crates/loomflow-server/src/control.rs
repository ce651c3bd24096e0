//! Reports to the control plane: often enough that one lost report does not unlist the server.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use loomflow_protocol::control::{Status, Statuses, report};
use loomflow_protocol::{Decoder, Malformed};
use may::net::TcpStream;
use may::sync::mpsc::{Sender, channel};

use crate::link;
use crate::log;

/// A server is unlisted 3 s after its last report.
const PERIOD: Duration = Duration::from_millis(800);
/// After a report that failed.
const AGAIN: Duration = Duration::from_millis(200);
/// How long a report may take from its first byte to its answer's last, whatever comes meanwhile. With what opening a
/// connection may take (`link::connect`) it is over before the next is due by far, and a move waits no longer.
const PATIENCE: Duration = Duration::from_millis(500);

/// Where reports go, if anywhere; another address may be sent at any time.
pub type Moves = Sender<Option<SocketAddr>>;

/// Reports for as long as the process lives, at once wherever it is told to.
pub fn start(to: Option<SocketAddr>, name: String, ready: Arc<AtomicBool>) -> Moves {
    let (moves, moved) = channel();
    may::go!(move || {
        let mut to = to;
        let mut connection = None;
        let mut failed = false;
        loop {
            let next = Instant::now();
            if let Some(to) = to {
                let done = tell(&mut connection, to, &name, ready.load(Ordering::Acquire));
                if let Err(why) = &done {
                    connection = None;
                    if !failed {
                        log!(part = "control plane", why, "a report failed");
                    }
                }
                failed = done.is_err();
            }
            let pause = if failed { AGAIN } else { PERIOD };
            let wait = pause.saturating_sub(next.elapsed()).max(AGAIN);
            let address = moved.recv_timeout(link::whole_ms(wait));
            link::return_to_worker();
            match address {
                Ok(address) => (to, connection, failed) = (address, None, false),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    });
    moves
}

type Connection = (TcpStream, Statuses);

fn tell(connection: &mut Option<Connection>, to: SocketAddr, name: &str, ready: bool) -> Result<(), String> {
    let (stream, statuses) = match connection {
        Some(open) => open,
        None => {
            let stream = link::connect(to).map_err(|ending| format!("{ending:?}"))?;
            connection.insert((stream, Statuses::default()))
        }
    };
    let until = Instant::now() + PATIENCE;
    let mut out = Vec::new();
    report(&mut out, name, ready);
    stream.set_write_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
    stream.write_all(&out).map_err(|e| e.to_string())?;
    loop {
        match statuses.next().map_err(|Malformed(why)| why.to_owned())? {
            Some(Status(100..=199)) => continue,
            Some(Status(200..=299)) => return Ok(()),
            Some(Status(other)) => return Err(format!("a report was answered {other}")),
            None => {}
        }
        let space = statuses.buffer().space();
        if space.is_empty() {
            return Err("an answer is too long".into());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("the answer is not over in time".into());
        }
        link::limit_reads(stream, left).map_err(|e| e.to_string())?;
        match stream.read(space) {
            Ok(0) => return Err("the connection was closed before the answer".into()),
            Ok(count) => statuses.buffer().filled(count),
            // The time is looked at above.
            Err(e) if link::is_a_wait(&e) => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}
