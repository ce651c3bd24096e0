//! The outside of the measurement: jobs that send an effect every 20 ms, and the receiver that admits it or not.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use loomflow_fleet::duty::Token;
use loomflow_fleet::duty::fence::Fence;

/// An owner acts so often.
const EVERY: Duration = Duration::from_millis(20);

/// What a job does: `loomflow-benchmark effects ADDRESS`, as the owner of the duty in its environment. It continues
/// whatever the response: it is ended by whoever started it.
pub fn act(address: &str) {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let (duty, token) = (variable("LOOMFLOW_DUTY"), variable("LOOMFLOW_TOKEN"));
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut answers = BufReader::new(read);
    let mut line = String::new();
    while writeln!(stream, "{duty} {token}").is_ok() {
        line.clear();
        if answers.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        thread::sleep(EVERY);
    }
}

/// One effect, as the receiver saw it.
#[derive(Clone, Debug)]
pub struct Effect {
    pub began: Instant,
    pub ended: Instant,
    pub token: Token,
    pub admitted: bool,
    /// The connection that it came by.
    pub by: u64,
}

#[derive(Default)]
struct Inner {
    fence: Fence,
    effects: BTreeMap<String, Vec<Effect>>,
}

/// The outside receiver. Without comparing it lets everything in, as one without a fence would.
#[derive(Clone)]
pub struct Receiver {
    pub address: SocketAddr,
    compares: bool,
    inner: Arc<Mutex<Inner>>,
}

impl Receiver {
    pub fn start(compares: bool) -> Receiver {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let receiver = Receiver { address, compares, inner: Arc::default() };
        let own = receiver.clone();
        thread::spawn(move || {
            for (by, stream) in listener.incoming().enumerate() {
                let (own, Ok(stream)) = (own.clone(), stream) else { return };
                thread::spawn(move || own.receive(stream, by as u64));
            }
        });
        receiver
    }

    fn receive(&self, mut stream: TcpStream, by: u64) {
        let Ok(read) = stream.try_clone() else { return };
        for line in BufReader::new(read).lines().map_while(Result::ok) {
            let began = Instant::now();
            let Some((duty, token)) = line.split_once(' ') else { return };
            let Ok(token) = token.parse::<Token>() else { return };
            let admitted = {
                let mut inner = self.inner.lock().expect("the receiver");
                let admitted = inner.fence.admit(duty, token, |_| Ok::<(), ()>(())).is_ok();
                let admitted = admitted || !self.compares;
                let effect = Effect { began, ended: Instant::now(), token, admitted, by };
                inner.effects.entry(duty.to_owned()).or_default().push(effect);
                admitted
            };
            if writeln!(stream, "{}", u8::from(admitted)).is_err() {
                return;
            }
        }
    }

    /// Everything that came, by duty, in the order in which it was decided on.
    pub fn effects(&self) -> BTreeMap<String, Vec<Effect>> {
        self.inner.lock().expect("the receiver").effects.clone()
    }

    /// Duties of which an effect was let in after a moment.
    pub fn received_since(&self, at: Instant) -> usize {
        let inner = self.inner.lock().expect("the receiver");
        let since =
            |all: &&Vec<Effect>| all.iter().rev().find(|one| one.admitted).is_some_and(|one| one.ended > at);
        inner.effects.values().filter(since).count()
    }
}
