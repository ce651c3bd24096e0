//! Relays between the servers of a fleet, one for each direction of each link. A relay forwards complete messages and can
//! drop, delay, duplicate, reorder or stall them. Of a message it parses only the length prefix.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::loopback_listener;

/// Fault to inject on one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Whether all messages are dropped. Connections stay open.
    pub is_cut: bool,
    /// Whether messages are held until the fault ends. Connections stay open.
    pub is_stalled: bool,
    /// Share of messages that are dropped, 0 to 1.
    pub lost: f64,
    /// Share of messages that are sent twice, 0 to 1.
    pub duplicated: f64,
    /// Share of messages that are sent after the next one, 0 to 1.
    pub reordered: f64,
    /// Delay of each message. It holds up the messages behind it on the same connection.
    pub delay: Duration,
}

/// Handle of the relay for one direction of a link between two servers.
#[derive(Clone)]
pub struct Relay {
    /// Address that the sender connects to.
    pub address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    /// Messages that were forwarded since the last replay, at most [`MAX_REPLAYED_MESSAGES`].
    recent_messages: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Address of the receiver.
    to: SocketAddr,
}

/// Maximum number of messages that are recorded for a replay; later ones are not recorded.
const MAX_REPLAYED_MESSAGES: usize = 4_096;

impl Relay {
    /// Starts a relay to the receiver's address; `seed` determines which messages have faults.
    pub fn start(to: SocketAddr, seed: u64) -> Relay {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("the listener has a local address");
        let relay = Relay { address, fault: Arc::default(), recent_messages: Arc::default(), to };
        let acceptor = relay.clone();
        thread::spawn(move || acceptor.accept(&listener, seed));
        relay
    }

    /// Sets the fault for all messages that are not forwarded yet.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().expect("the fault lock is not poisoned") = fault;
    }

    /// Sends the messages that were recorded since the last replay again, on a separate connection.
    pub fn replay(&self) {
        let recent_messages = std::mem::take(
            &mut *self.recent_messages.lock().expect("the lock of the messages is not poisoned"),
        );
        if let Ok(mut stream) = TcpStream::connect(self.to) {
            let _ = recent_messages.iter().try_for_each(|message| stream.write_all(message));
        }
    }

    fn accept(&self, listener: &TcpListener, seed: u64) {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let (relay, seed) = (self.clone(), seed ^ (number as u64) << 32);
            thread::spawn(move || relay.forward(stream, &mut fastrand::Rng::with_seed(seed)));
        }
    }

    /// Forwards the messages of a connection until either side closes it.
    fn forward(&self, mut from: TcpStream, rng: &mut fastrand::Rng) {
        let Ok(mut to) = TcpStream::connect(self.to) else { return };
        let _ = to.set_nodelay(true);
        let mut reordered: Option<Vec<u8>> = None;
        while let Some(message) = read_message(&mut from) {
            let received_at = Instant::now();
            let mut fault = *self.fault.lock().expect("the fault lock is not poisoned");
            while fault.is_stalled || received_at.elapsed() < fault.delay {
                thread::sleep(Duration::from_millis(2));
                fault = *self.fault.lock().expect("the fault lock is not poisoned");
            }
            if fault.is_cut || rng.f64() < fault.lost {
                continue;
            }
            let mut outgoing = vec![message];
            if rng.f64() < fault.duplicated {
                outgoing.push(outgoing[0].clone());
            }
            match reordered.take() {
                Some(earlier) => outgoing.push(earlier),
                None if rng.f64() < fault.reordered => {
                    reordered = outgoing.pop();
                    continue;
                }
                None => {}
            }
            for message in outgoing {
                if to.write_all(&message).is_err() {
                    return;
                }
                let mut recent_messages =
                    self.recent_messages.lock().expect("the lock of the messages is not poisoned");
                if recent_messages.len() < MAX_REPLAYED_MESSAGES {
                    recent_messages.push(message);
                }
            }
        }
    }
}

/// Reads the next message, including its length prefix; `None` at the end of the connection.
fn read_message(from: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = vec![0; 4];
    from.read_exact(&mut bytes).ok()?;
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    bytes.resize(4 + length, 0);
    from.read_exact(&mut bytes[4..]).ok()?;
    Some(bytes)
}
