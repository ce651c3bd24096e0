//! Relays between the servers of a fleet: one for each link in each direction, which carries whole messages and, by command
//! or by chance, loses, delays, doubles, reorders or holds them. Of a message it knows only the length before it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::free_listener;

/// What a relay does to messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trouble {
    /// Nothing gets through; connections stay.
    pub cut: bool,
    /// Messages wait until this is over, and connections stay.
    pub stalled: bool,
    /// Parts of all messages that are lost, said twice, or said after the next one, 0 to 1.
    pub lost: f64,
    /// Share of messages that are duplicated.
    pub doubled: f64,
    /// Share of messages that are sent after the next one.
    pub swapped: f64,
    /// Delay of each message.
    pub delay: Duration,
}

/// One direction between two servers.
#[derive(Clone)]
pub struct Relay {
    /// Where the one side speaks to the other.
    pub address: SocketAddr,
    trouble: Arc<Mutex<Trouble>>,
    /// The last messages that went through, for those who say them again later.
    kept: Arc<Mutex<Vec<Vec<u8>>>>,
    to: SocketAddr,
}

/// Messages that are kept to be said again.
const MOST_KEPT: usize = 4_096;

impl Relay {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr, seed: u64) -> Relay {
        let listener = free_listener();
        let address = listener.local_addr().expect("an address");
        let relay = Relay { address, trouble: Arc::default(), kept: Arc::default(), to };
        let own = relay.clone();
        thread::spawn(move || own.accept(&listener, seed));
        relay
    }

    /// Changes what the relay does to messages.
    pub fn set(&self, trouble: Trouble) {
        *self.trouble.lock().expect("trouble") = trouble;
    }

    /// Says all that went through since it was last asked once more, on a connection of its own.
    pub fn say_again(&self) {
        let kept = std::mem::take(&mut *self.kept.lock().expect("kept"));
        if let Ok(mut stream) = TcpStream::connect(self.to) {
            let _ = kept.iter().try_for_each(|message| stream.write_all(message));
        }
    }

    fn accept(&self, listener: &TcpListener, seed: u64) {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let (own, seed) = (self.clone(), seed ^ (number as u64) << 32);
            thread::spawn(move || own.carry(stream, &mut fastrand::Rng::with_seed(seed)));
        }
    }

    /// Carries one connection until either side ends it.
    fn carry(&self, mut from: TcpStream, rng: &mut fastrand::Rng) {
        let Ok(mut to) = TcpStream::connect(self.to) else { return };
        let _ = to.set_nodelay(true);
        let mut waits: Option<Vec<u8>> = None;
        while let Some(message) = message(&mut from) {
            let came = Instant::now();
            let mut trouble = *self.trouble.lock().expect("trouble");
            while trouble.stalled || came.elapsed() < trouble.delay {
                thread::sleep(Duration::from_millis(2));
                trouble = *self.trouble.lock().expect("trouble");
            }
            if trouble.cut || rng.f64() < trouble.lost {
                continue;
            }
            let mut say = vec![message];
            if rng.f64() < trouble.doubled {
                say.push(say[0].clone());
            }
            match waits.take() {
                Some(before) => say.push(before),
                None if rng.f64() < trouble.swapped => {
                    waits = say.pop();
                    continue;
                }
                None => {}
            }
            for one in say {
                if to.write_all(&one).is_err() {
                    return;
                }
                let mut kept = self.kept.lock().expect("kept");
                if kept.len() < MOST_KEPT {
                    kept.push(one);
                }
            }
        }
    }
}

/// The next message with its length, or none at the end.
fn message(from: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = vec![0; 4];
    from.read_exact(&mut bytes).ok()?;
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    bytes.resize(4 + length, 0);
    from.read_exact(&mut bytes[4..]).ok()?;
    Some(bytes)
}
