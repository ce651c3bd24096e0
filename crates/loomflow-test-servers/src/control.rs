//! Test server of the control plane: receives reports, and responds as a test sets it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::{RESPONSE_TIMEOUT, loopback_listener};

/// A test server of the control plane.
pub struct Control {
    /// Its address.
    pub address: SocketAddr,
    reports: Receiver<String>,
    response: Arc<Mutex<&'static str>>,
}

impl Control {
    pub(crate) fn start() -> Control {
        Control::at(loopback_listener())
    }

    /// Starts one on a listener.
    pub fn at(listener: TcpListener) -> Control {
        let address = listener.local_addr().expect("an address");
        let response = Arc::new(Mutex::new("HTTP/1.1 204 No Content\r\n\r\n"));
        let (sender, reports) = channel();
        let shared = response.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (sender, response) = (sender.clone(), shared.clone());
                thread::spawn(move || reports_on(stream, &sender, &response));
            }
        });
        Control { address, reports, response }
    }

    /// Starts one whose responses never end.
    pub fn endless(with: &'static str) -> Control {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("an address");
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
                    while stream.write_all(with.as_bytes()).is_ok() {
                        thread::sleep(std::time::Duration::from_millis(20));
                    }
                });
            }
        });
        Control { address, reports, response: Arc::new(Mutex::new(with)) }
    }

    /// Changes the response to further reports; an empty one is not sent.
    pub fn set_response(&self, response: &'static str) {
        *self.response.lock().unwrap() = response;
    }

    /// The first line and the body of the next report.
    pub fn report(&self) -> String {
        self.reports.recv_timeout(RESPONSE_TIMEOUT).expect("a report")
    }

    /// Drops the reports that were received so far.
    pub fn forget(&self) {
        while self.reports.try_recv().is_ok() {}
    }
}

fn reports_on(stream: TcpStream, sender: &Sender<String>, response: &Mutex<&'static str>) {
    let mut writer = stream.try_clone().expect("a clone");
    let mut reader = BufReader::new(stream);
    loop {
        let (mut first, mut length) = (String::new(), 0);
        if !matches!(reader.read_line(&mut first), Ok(1..)) {
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
                length = value.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let text = format!("{} {}", first.trim_end(), String::from_utf8_lossy(&body));
        let with = *response.lock().unwrap();
        if sender.send(text).is_err() || writer.write_all(with.as_bytes()).is_err() {
            return;
        }
    }
}
