//! The window of a keyed class is lengthened by a new configuration while a request's key is retained.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::base::{self, BROKEN, HELD, NOT_PLAYED, has_trouble, need, note, pause, serve, settings};
use crate::engine::Engine;

const SHORT_WINDOW_MS: u32 = 4_000;
const LONG_WINDOW_MS: u32 = 30_000;
const TIMEOUT_MS: u32 = 3_000;
/// When the second try is sent, after the first.
const RESENT_AFTER_MS: u64 = 9_000;

/// Sends one request on a connection of its own; returns the answer as text.
fn request(to: SocketAddr, id: u64, key: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
    let fields =
        format!("req={id:016x},ts={now},via=4,owner=acme,ms=20.00,need=24.5,level=0.5000,opkey={key}");
    let mut bytes = b"*5\r\n".to_vec();
    for element in ["RPC.CALL", "1", "book", &fields, body] {
        bytes.extend_from_slice(format!("${}\r\n{element}\r\n", element.len()).as_bytes());
    }
    stream.write_all(&bytes).ok()?;
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    // An answer is an array of four bulk strings.
    loop {
        let count = stream.read(&mut part).ok()?;
        answer.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        let elements: Vec<&str> = text.split("\r\n").collect();
        if count == 0 || elements.len() >= 10 {
            return Some([elements.get(4).copied()?, elements.get(8).copied().unwrap_or("")].join(" "));
        }
    }
}

pub fn play() -> i32 {
    let engine = Engine::start(Duration::from_millis(20));
    let listen = base::free_address();
    let text = |window| base::config("n1", listen, engine.address, 3000, &settings(window, TIMEOUT_MS));
    let first_window = if has_trouble() { SHORT_WINDOW_MS } else { LONG_WINDOW_MS };
    let file = base::write("n1.json", &text(first_window));
    let server = serve("n1", &file, None);
    note(&format!("the server starts with a Window of {first_window} ms for the keyed class `book`"));
    let mut id = 0x9b1f_03aa_0000_0000;
    need("the server serves", Duration::from_secs(15), || {
        id += 1;
        request(listen, id, &format!("warm-{id:x}"), "warm-up").is_some_and(|answer| answer.starts_with("OK"))
    });
    pause(1500);
    let sent_at = Instant::now();
    let first = request(listen, 0x1111, "order-17", "order 17").unwrap_or_default();
    note(&format!("try 1 of key order-17: {first}"));
    if has_trouble() {
        pause(500);
        base::write("n1.json", &text(LONG_WINDOW_MS));
        server.signal("HUP");
        note(&format!("new configuration with a Window of {LONG_WINDOW_MS} ms, SIGHUP"));
        need("the new configuration is in use", Duration::from_secs(3), || {
            base::log_of("n1").contains("the configuration was reloaded")
        });
        for line in base::log_of("n1").lines() {
            note(&format!("log of the server: {line}"));
        }
    }
    let elapsed = sent_at.elapsed().as_millis() as u64;
    pause(RESENT_AFTER_MS.saturating_sub(elapsed));
    let second = request(listen, 0x2222, "order-17", "order 17").unwrap_or_default();
    note(&format!("try 2 of key order-17, {} ms after try 1: {second}", sent_at.elapsed().as_millis()));
    pause(300);
    let runs = engine.runs().iter().filter(|body| *body == "order 17").count();
    note(&format!("the engine was told to run `order 17` {runs} times"));
    if !first.starts_with("OK") {
        return NOT_PLAYED;
    }
    if runs > 1 { BROKEN } else { HELD }
}
