//! A stand-in for the engine: accepts links, runs each request for a fixed time, and records the runs.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    notices: Vec<Vec<u8>>,
    ids: BTreeSet<String>,
    /// Bodies of the runs, in order.
    runs: Vec<String>,
}

#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine whose runs take `work`.
    pub fn start(work: Duration) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let engine = Engine { address: listener.local_addr().expect("an address"), state: Arc::default() };
        let accepting = engine.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let engine = accepting.clone();
                thread::spawn(move || {
                    let _ = engine.serve(stream, work);
                });
            }
        });
        engine
    }

    /// Bodies of the runs, in the order in which they were requested.
    pub fn runs(&self) -> Vec<String> {
        self.state.lock().expect("no thread panicked").runs.clone()
    }

    /// The server's process has ended: the numbers of notices start again.
    pub fn restarted(&self) {
        let mut state = self.state.lock().expect("no thread panicked");
        state.notices.clear();
        state.link = None;
    }

    fn serve(&self, stream: TcpStream, work: Duration) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let lock = || self.state.lock().expect("no thread panicked");
            match words[..] {
                ["ATTACH", last] => {
                    let mut state = lock();
                    writer.write_all(b"HELLO running 60000\r\n")?;
                    for notice in state.notices.iter().skip(last.parse().unwrap_or(0)) {
                        writer.write_all(notice)?;
                    }
                    state.link = Some(writer.try_clone()?);
                }
                ["RUN", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    reader.read_exact(&mut body)?;
                    body.truncate(body.len() - 2);
                    let mut state = lock();
                    if state.ids.insert(id.to_owned()) {
                        state.runs.push(String::from_utf8_lossy(&body).into_owned());
                        let (engine, id) = (self.clone(), id.to_owned());
                        thread::spawn(move || {
                            thread::sleep(work);
                            engine.done(&id, &body, work);
                        });
                    }
                }
                ["STAT", tag] => {
                    let _held = lock();
                    writer.write_all(format!("STATS {tag} 0.1 1 0.1 4\r\n").as_bytes())?;
                }
                ["TEST", tag] => {
                    let _held = lock();
                    writer.write_all(format!("TESTED {tag} fine\r\n").as_bytes())?;
                }
                _ => {}
            }
        }
    }

    fn done(&self, id: &str, body: &[u8], work: Duration) {
        let mut state = self.state.lock().expect("no thread panicked");
        let number = state.notices.len() + 1;
        let result = [b"done:", body].concat();
        let head = format!("DONE {number} {id} fine {} {}\r\n", work.as_millis(), result.len());
        let notice = [head.as_bytes(), &result, b"\r\n"].concat();
        if let Some(link) = &mut state.link {
            let _ = link.write_all(&notice);
        }
        state.notices.push(notice);
    }
}
