//! A relay for one direction of the link between two members. While it is cut, it forwards nothing and loses nothing, as a
//! partitioned network does for TCP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::base::listener;

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener: TcpListener = listener();
        let address = listener.local_addr().expect("the listener has an address");
        let relay = Relay { address, is_cut: Arc::default() };
        let is_cut = relay.is_cut.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let is_cut = is_cut.clone();
                thread::spawn(move || forward(stream, to, &is_cut));
            }
        });
        relay
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_until_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn forward(mut from: TcpStream, to: SocketAddr, is_cut: &AtomicBool) {
    wait_until_whole(is_cut);
    let Ok(mut to) = TcpStream::connect(to) else { return };
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 16 * 1024];
    // Members send on such a connection in one direction only.
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait_until_whole(is_cut);
        if to.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
    wait_until_whole(is_cut);
}
