//! Test control plane: receives reports over HTTP and sends the response that a test sets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::{RESPONSE_TIMEOUT, loopback_listener};

/// A test control plane that keeps the received reports until the test takes them.
pub struct Control {
    /// Address that the control plane listens on.
    pub address: SocketAddr,
    reports: Receiver<String>,
    response: Arc<Mutex<&'static str>>,
}

impl Control {
    pub(crate) fn start() -> Control {
        Control::at(loopback_listener())
    }

    /// Starts a control plane that accepts connections from `listener` and responds with status 204.
    pub fn at(listener: TcpListener) -> Control {
        let address = listener.local_addr().expect("the listener has a local address");
        let response = Arc::new(Mutex::new("HTTP/1.1 204 No Content\r\n\r\n"));
        let (sender, reports) = channel();
        let shared = response.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (sender, response) = (sender.clone(), shared.clone());
                thread::spawn(move || receive_reports(stream, &sender, &response));
            }
        });
        Control { address, reports, response }
    }

    /// Starts a control plane that responds to a report with `chunk` every 20 ms until the connection is closed.
    pub fn start_endless(chunk: &'static str) -> Control {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("the listener has a local address");
        let (sender, reports) = channel();
        thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let sender = sender.clone();
                thread::spawn(move || {
                    let mut bytes = [0; 1024];
                    if !matches!(stream.read(&mut bytes), Ok(1..)) || sender.send("a report".into()).is_err()
                    {
                        return;
                    }
                    while stream.write_all(chunk.as_bytes()).is_ok() {
                        thread::sleep(std::time::Duration::from_millis(20));
                    }
                });
            }
        });
        Control { address, reports, response: Arc::new(Mutex::new(chunk)) }
    }

    /// Sets the complete response to further reports; with an empty one nothing is sent.
    pub fn set_response(&self, response: &'static str) {
        *self.response.lock().unwrap() = response;
    }

    /// Waits for the next report; returns its request line and body.
    pub fn report(&self) -> String {
        self.reports.recv_timeout(RESPONSE_TIMEOUT).expect("the server sends a report")
    }

    /// Discards the reports that were received and not yet returned.
    pub fn discard_reports(&self) {
        while self.reports.try_recv().is_ok() {}
    }
}

/// Receives the reports of one connection, and responds to each.
fn receive_reports(stream: TcpStream, sender: &Sender<String>, response: &Mutex<&'static str>) {
    let mut writer = stream.try_clone().expect("the socket is cloned");
    let mut reader = BufReader::new(stream);
    loop {
        let (mut request_line, mut length) = (String::new(), 0);
        if !matches!(reader.read_line(&mut request_line), Ok(1..)) {
            return;
        }
        loop {
            let mut header = String::new();
            if !matches!(reader.read_line(&mut header), Ok(1..)) {
                return;
            }
            if header == "\r\n" {
                break;
            }
            if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("content-length is a number");
            }
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let text = format!("{} {}", request_line.trim_end(), String::from_utf8_lossy(&body));
        let response = *response.lock().unwrap();
        if sender.send(text).is_err() || writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
