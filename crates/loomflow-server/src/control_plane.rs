//! Reports the readiness of the server to the control plane, often enough that one lost report does not unlist the
//! server.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use loomflow_protocol::control::{HttpResponseDecoder, HttpStatus, write_report};
use loomflow_protocol::{Decoder, Malformed};
use may::net::TcpStream;
use may::sync::mpsc::{Receiver, Sender, channel};

use crate::close_reason::CloseReason;
use crate::connection;
use crate::log;

/// Time between the starts of two reports. The control plane unlists a server 3 s after its last report.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Time between the starts of a failed report and the next, and the minimum pause between any two.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time from the first byte of a report to the last byte of its response. Short enough that a lost report is
/// followed by another before the server is unlisted. Together with the timeout for opening a connection, it also
/// limits how long a change of address waits.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a report failed; the text is logged.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("no connection to the control plane: {0}")]
    Connect(CloseReason),
    #[error("the response of the control plane is malformed: {0}")]
    Malformed(&'static str),
    #[error("the control plane responded with status {0}")]
    Status(u16),
    #[error("the response of the control plane exceeds the receive buffer")]
    ResponseTooLong,
    #[error("the control plane sent no complete response within {} ms", REPORT_TIMEOUT.as_millis())]
    Timeout,
    #[error("the control plane closed the connection before its response was complete")]
    Closed,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Changes the address that reports are sent to; `None` pauses them.
pub type AddressSender = Sender<Option<SocketAddr>>;

/// Starts a coroutine that reports the readiness of the server `name` until the returned sender is dropped.
/// The first report, and the first after a change of address, is sent without delay.
pub fn start(address: Option<SocketAddr>, name: String, ready: Arc<AtomicBool>) -> AddressSender {
    let (addresses, address_updates) = channel();
    let reporter = Reporter { address, name, ready, connection: None, has_failed: false };
    may::go!(move || reporter.run(&address_updates));
    addresses
}

/// Returns how long to wait before the next report, after one that took `elapsed`.
fn wait_after_report(has_failed: bool, elapsed: Duration) -> Duration {
    let interval = if has_failed { RETRY_INTERVAL } else { REPORT_INTERVAL };
    interval.saturating_sub(elapsed).max(RETRY_INTERVAL)
}

/// Returns the result of a report according to its response; none for an interim response, which a final one follows
/// (RFC 9110, 15.2).
fn report_result(HttpStatus(status): HttpStatus) -> Option<Result<(), ReportError>> {
    match status {
        100..=199 => None,
        200..=299 => Some(Ok(())),
        _ => Some(Err(ReportError::Status(status))),
    }
}

/// An open connection to the control plane, with the decoder of its responses.
struct ControlPlaneConnection {
    stream: TcpStream,
    statuses: HttpResponseDecoder,
}

/// The state of the coroutine that sends the reports.
struct Reporter {
    address: Option<SocketAddr>,
    name: String,
    ready: Arc<AtomicBool>,
    connection: Option<ControlPlaneConnection>,
    /// Whether the last report failed; if the next one fails, too, that is not logged.
    has_failed: bool,
}

impl Reporter {
    fn run(mut self, address_updates: &Receiver<Option<SocketAddr>>) {
        loop {
            let started_at = Instant::now();
            if let Some(address) = self.address {
                self.report_to(address);
            }
            let wait = wait_after_report(self.has_failed, started_at.elapsed());
            let update = address_updates.recv_timeout(connection::to_whole_millis(wait));
            connection::return_to_worker();
            match update {
                Ok(address) => {
                    self.address = address;
                    self.connection = None;
                    self.has_failed = false;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Sends one report. Of several failures in a row only the first is logged.
    fn report_to(&mut self, address: SocketAddr) {
        let result = self.send_report(address);
        if let Err(error) = &result {
            self.connection = None;
            if !self.has_failed {
                log!(part = "control plane", why = error.to_string(), "a report failed");
            }
        }
        self.has_failed = result.is_err();
    }

    fn send_report(&mut self, address: SocketAddr) -> Result<(), ReportError> {
        let connection = if let Some(open) = &mut self.connection {
            open
        } else {
            let stream = connection::connect(address).map_err(ReportError::Connect)?;
            self.connection
                .insert(ControlPlaneConnection { stream, statuses: HttpResponseDecoder::default() })
        };
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let mut request = Vec::new();
        write_report(&mut request, &self.name, self.ready.load(Ordering::Acquire));
        connection.stream.set_write_timeout(Some(REPORT_TIMEOUT))?;
        connection.stream.write_all(&request)?;
        connection.read_response(deadline)
    }
}

impl ControlPlaneConnection {
    fn read_response(&mut self, deadline: Instant) -> Result<(), ReportError> {
        loop {
            match self.statuses.next().map_err(|Malformed(violation)| ReportError::Malformed(violation))? {
                None => self.read_more(deadline)?,
                Some(status) => {
                    if let Some(result) = report_result(status) {
                        return result;
                    }
                }
            }
        }
    }

    fn read_more(&mut self, deadline: Instant) -> Result<(), ReportError> {
        let space = self.statuses.buffer().space();
        if space.is_empty() {
            return Err(ReportError::ResponseTooLong);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ReportError::Timeout);
        }
        connection::set_read_timeout(&self.stream, remaining)?;
        match self.stream.read(space) {
            Ok(0) => Err(ReportError::Closed),
            Ok(count) => {
                self.statuses.buffer().commit(count);
                Ok(())
            }
            // Not an error yet: the deadline is checked before the next read.
            Err(error) if connection::is_timeout(&error) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

#[cfg(test)]
mod tests;
