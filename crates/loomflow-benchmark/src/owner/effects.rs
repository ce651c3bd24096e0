//! The jobs of the measured fleet, each of which sends an effect every 20 ms, and the receiver that admits it or not.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use loomflow_fleet::duty::Token;
use loomflow_fleet::duty::fence::Fence;

/// How often an owner acts.
const EFFECT_PERIOD: Duration = Duration::from_millis(20);

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
        thread::sleep(EFFECT_PERIOD);
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
    pub connection: u64,
}

#[derive(Default)]
struct ReceiverState {
    fence: Fence,
    effects: BTreeMap<String, Vec<Effect>>,
}

/// The receiver of effects. Where it does not compare tokens it admits everything, as one without a fence would.
#[derive(Clone)]
pub struct Receiver {
    pub address: SocketAddr,
    compares: bool,
    state: Arc<Mutex<ReceiverState>>,
}

impl Receiver {
    pub fn start(compares: bool) -> Receiver {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let receiver = Receiver { address, compares, state: Arc::default() };
        let own = receiver.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (own, Ok(stream)) = (own.clone(), stream) else { return };
                thread::spawn(move || own.receive(stream, connection as u64));
            }
        });
        receiver
    }

    fn receive(&self, mut stream: TcpStream, connection: u64) {
        let Ok(read) = stream.try_clone() else { return };
        for line in BufReader::new(read).lines().map_while(Result::ok) {
            let began = Instant::now();
            let Some((duty, token)) = line.split_once(' ') else { return };
            let Ok(token) = token.parse::<Token>() else { return };
            let admitted = {
                let mut state = self.state.lock().expect("the receiver");
                let admitted = state.fence.admit(duty, token, |_| Ok::<(), ()>(())).is_ok();
                let admitted = admitted || !self.compares;
                let effect = Effect { began, ended: Instant::now(), token, admitted, connection };
                state.effects.entry(duty.to_owned()).or_default().push(effect);
                admitted
            };
            if writeln!(stream, "{}", u8::from(admitted)).is_err() {
                return;
            }
        }
    }

    /// Everything that came, by duty, in the order in which it was decided on.
    pub fn effects(&self) -> BTreeMap<String, Vec<Effect>> {
        self.state.lock().expect("the receiver").effects.clone()
    }

    /// Number of duties of which an effect was admitted after a moment.
    pub fn received_since(&self, at: Instant) -> usize {
        let state = self.state.lock().expect("the receiver");
        let since = |effects: &&Vec<Effect>| {
            let last_admitted = effects.iter().rev().find(|effect| effect.admitted);
            last_admitted.is_some_and(|effect| effect.ended > at)
        };
        state.effects.values().filter(since).count()
    }
}
