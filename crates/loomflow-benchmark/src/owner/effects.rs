//! The jobs of the measured fleet, each of which sends an effect every 20 ms, and the receiver that admits or rejects it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use loomflow_fleet::duty::Token;
use loomflow_fleet::duty::fence::Fence;

/// Interval between two effects of a job.
const EFFECT_PERIOD: Duration = Duration::from_millis(20);

/// Runs a job (`loomflow-benchmark effects ADDRESS`): sends effects of the duty in its environment until the receiver
/// closes the connection. A rejected effect does not end the job; the server that started it does.
pub fn send_effects(address: &str) {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let (duty, token) = (variable("LOOMFLOW_DUTY"), variable("LOOMFLOW_TOKEN"));
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut responses = BufReader::new(reader);
    let mut line = String::new();
    while writeln!(stream, "{duty} {token}").is_ok() {
        line.clear();
        if responses.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        thread::sleep(EFFECT_PERIOD);
    }
}

/// An effect that the receiver has processed.
#[derive(Clone, Debug)]
pub struct Effect {
    /// Time at which the line was read.
    pub started_at: Instant,
    /// Time at which the fence had decided.
    pub ended_at: Instant,
    /// Token of the owner that sent the effect.
    pub token: Token,
    /// Whether the effect took place.
    pub admitted: bool,
    /// Number of the connection, in the order in which connections were opened.
    pub connection: u64,
}

#[derive(Default)]
struct ReceiverState {
    fence: Fence,
    effects: BTreeMap<String, Vec<Effect>>,
}

/// Receiver of effects. If it does not compare tokens it admits every effect, like a receiver without a fence.
#[derive(Clone)]
pub struct Receiver {
    pub address: SocketAddr,
    compares_tokens: bool,
    state: Arc<Mutex<ReceiverState>>,
}

impl Receiver {
    pub fn start(compares_tokens: bool) -> Receiver {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let address = listener.local_addr().expect("the listener has an address");
        let receiver = Receiver { address, compares_tokens, state: Arc::default() };
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
        let Ok(reader) = stream.try_clone() else { return };
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let started_at = Instant::now();
            let Some((duty, token)) = line.split_once(' ') else { return };
            let Ok(token) = token.parse::<Token>() else { return };
            let admitted = {
                let mut state = self.state.lock().expect("not poisoned");
                let admitted = state.fence.admit(duty, token, |_| Ok::<(), ()>(())).is_ok();
                let admitted = admitted || !self.compares_tokens;
                let effect = Effect { started_at, ended_at: Instant::now(), token, admitted, connection };
                state.effects.entry(duty.to_owned()).or_default().push(effect);
                admitted
            };
            if writeln!(stream, "{}", u8::from(admitted)).is_err() {
                return;
            }
        }
    }

    /// All effects by duty, in the order in which the fence decided on them.
    pub fn effects(&self) -> BTreeMap<String, Vec<Effect>> {
        self.state.lock().expect("not poisoned").effects.clone()
    }

    /// Number of duties with an effect that was admitted after `at`.
    pub fn received_since(&self, at: Instant) -> usize {
        let state = self.state.lock().expect("not poisoned");
        let since = |effects: &&Vec<Effect>| {
            let last_admitted = effects.iter().rev().find(|effect| effect.admitted);
            last_admitted.is_some_and(|effect| effect.ended_at > at)
        };
        state.effects.values().filter(since).count()
    }
}
