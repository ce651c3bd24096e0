//! Relays between the servers of a fleet, one for each direction of each link. A relay carries complete messages and can
//! drop, delay, duplicate, reorder or stall them. It knows only the length prefix of a message.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::loopback_listener;

/// The fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Messages are dropped; connections stay open.
    pub is_cut: bool,
    /// Messages are stalled; connections stay open.
    pub is_stalled: bool,
    /// Share of messages that are lost, 0 to 1.
    pub lost: f64,
    /// Share of messages that are duplicated.
    pub duplicated: f64,
    /// Share of messages that are sent after the next one.
    pub reordered: f64,
    /// Delay of each message.
    pub delay: Duration,
}

/// One direction of a link between two servers.
#[derive(Clone)]
pub struct Relay {
    /// Address that the sender connects to.
    pub address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    /// The last messages, for a replay.
    recent_messages: Arc<Mutex<Vec<Vec<u8>>>>,
    to: SocketAddr,
}

/// Maximum number of messages that are recorded for a replay.
const MAX_REPLAYED_MESSAGES: usize = 4_096;

impl Relay {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr, seed: u64) -> Relay {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("an address");
        let relay = Relay { address, fault: Arc::default(), recent_messages: Arc::default(), to };
        let own = relay.clone();
        thread::spawn(move || own.accept(&listener, seed));
        relay
    }

    /// Changes what the relay does to messages.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().expect("the fault") = fault;
    }

    /// Sends all messages since the last replay again, on a separate connection.
    pub fn replay(&self) {
        let recent_messages = std::mem::take(&mut *self.recent_messages.lock().expect("the recent messages"));
        if let Ok(mut stream) = TcpStream::connect(self.to) {
            let _ = recent_messages.iter().try_for_each(|message| stream.write_all(message));
        }
    }

    fn accept(&self, listener: &TcpListener, seed: u64) {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let (own, seed) = (self.clone(), seed ^ (number as u64) << 32);
            thread::spawn(move || own.carry(stream, &mut fastrand::Rng::with_seed(seed)));
        }
    }

    /// Carries a connection until either side closes it.
    fn carry(&self, mut from: TcpStream, rng: &mut fastrand::Rng) {
        let Ok(mut to) = TcpStream::connect(self.to) else { return };
        let _ = to.set_nodelay(true);
        let mut delayed: Option<Vec<u8>> = None;
        while let Some(message) = message(&mut from) {
            let received_at = Instant::now();
            let mut fault = *self.fault.lock().expect("the fault");
            while fault.is_stalled || received_at.elapsed() < fault.delay {
                thread::sleep(Duration::from_millis(2));
                fault = *self.fault.lock().expect("the fault");
            }
            if fault.is_cut || rng.f64() < fault.lost {
                continue;
            }
            let mut outgoing = vec![message];
            if rng.f64() < fault.duplicated {
                outgoing.push(outgoing[0].clone());
            }
            match delayed.take() {
                Some(before) => outgoing.push(before),
                None if rng.f64() < fault.reordered => {
                    delayed = outgoing.pop();
                    continue;
                }
                None => {}
            }
            for one in outgoing {
                if to.write_all(&one).is_err() {
                    return;
                }
                let mut recent_messages = self.recent_messages.lock().expect("the recent messages");
                if recent_messages.len() < MAX_REPLAYED_MESSAGES {
                    recent_messages.push(one);
                }
            }
        }
    }
}

/// The next message with its length prefix; `None` at the end.
fn message(from: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = vec![0; 4];
    from.read_exact(&mut bytes).ok()?;
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    bytes.resize(4 + length, 0);
    from.read_exact(&mut bytes[4..]).ok()?;
    Some(bytes)
}
