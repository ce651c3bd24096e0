//! Scripted stand-ins of everything a server speaks with, on loopback, and the server as a process among them.
//! They parse by themselves, so that what they check is not the server's own word.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Far longer than anything here takes: only a failure waits for it.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough to see that something does not come.
pub const QUIET: Duration = Duration::from_millis(300);

fn free_address() -> SocketAddr {
    free_listener().local_addr().expect("an address")
}

fn free_listener() -> TcpListener {
    // Every test process and every server in it has an address of its own, so that none meets another.
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = [127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8];
    TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("an address")
}

pub fn class(name: &str, effect: &str, limit: f64) -> Value {
    json!({"Name": name, "Effect": effect, "HardLimit": limit, "OnTime": limit / 2.0, "Points": 1.0,
        "Window": 5000.0})
}

/// A site with one class of each effect, each with calls to a tier below.
pub fn site(limit: f64) -> Value {
    json!({
        "Classes": [class("read", "safe", limit), class("pay", "unsafe", limit), class("book", "keyed", limit)],
        "Orgs": [{"Name": "acme", "QuotaPerS": 1000.0}, {"Name": "other", "QuotaPerS": 1000.0}],
        "Domain": {"Cpus": 4, "HeapKb": 200000.0, "RunMemFactor": 8.0, "KeyKb": 1.0, "Downstream": "tier",
            "CallsByClass": [true, true, true], "Halt": "off", "Say": "weight", "Heeded": 1000.0, "Idle": 15000.0,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"], "DeepChecks": true, "Fresh": 0.0},
        "Rules": {"FallMultiple": 5.0, "TipAfter": 2000.0, "DrainGrace": 1000.0, "AnswerSlack": 60.0,
            "Cold": 1000.0, "ColdShare": 0.5},
        "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000.0}, "Servers": 1, "Stage": 0, "Period": 5.0})
}

pub struct World {
    pub listen: SocketAddr,
    pub config: Value,
    pub engine: Engine,
    pub ledger: Ledger,
    pub control: Control,
    file: std::path::PathBuf,
    child: Option<Child>,
    deaf: bool,
    log: Arc<Mutex<String>>,
}

impl World {
    /// Everything a server needs, and the server not started.
    pub fn new(settings: Value) -> World {
        let (engine, ledger, control) = (Engine::start(), Ledger::new(), Control::start());
        let listen = free_address();
        let config = json!({"name": "n3", "listen": listen.to_string(), "engine": engine.address.to_string(),
            "control": control.address.to_string(), "ledger": ledger.address.to_string(),
            "seed": "8c1f30d27a5be964", "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings});
        let name = format!("loomflow-{}.json", listen.to_string().replace([':', '.'], "-"));
        let file = std::env::temp_dir().join(name);
        World { listen, config, engine, ledger, control, file, child: None, deaf: false, log: Arc::default() }
    }

    /// A server that serves, with its engine's link.
    pub fn serving(settings: Value) -> (World, Link) {
        let mut world = World::new(settings);
        world.start("exec \"$0\" serve");
        let link = world.engine.link();
        link.hello("ATTACH 0");
        world.wait_for_service();
        (world, link)
    }

    /// Nobody will read the log.
    pub fn deaf(&mut self) {
        self.deaf = true;
    }

    /// Moves engine, ledger and control plane to new addresses, in the file and here. What stood at the old ones is
    /// given out, and stays open for as long as it is kept.
    pub fn moved(&mut self) -> (Engine, Ledger, Control) {
        let old = (
            std::mem::replace(&mut self.engine, Engine::start()),
            std::mem::replace(&mut self.ledger, Ledger::new()),
            std::mem::replace(&mut self.control, Control::start()),
        );
        self.config["engine"] = self.engine.address.to_string().into();
        self.config["ledger"] = self.ledger.address.to_string().into();
        self.config["control"] = self.control.address.to_string().into();
        self.write(&self.config.to_string());
        old
    }

    pub fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the configuration is written");
    }

    pub fn remove_file(&self) {
        std::fs::remove_file(&self.file).expect("the configuration is removed");
    }

    /// Starts the server by a line of shell, in which `$0` is its program.
    pub fn start(&mut self, line: &str) {
        self.write(&self.config.to_string());
        let mut child = Command::new("/bin/sh")
            .args(["-c", line, env!("CARGO_BIN_EXE_loomflow")])
            .env("PROXY_CONFIG", &self.file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the server starts");
        let mut errors = child.stderr.take().expect("its log");
        if self.deaf {
            drop(errors);
            self.child = Some(child);
            return;
        }
        let log = self.log.clone();
        thread::spawn(move || {
            let mut bytes = [0; 1024];
            while let Ok(count @ 1..) = errors.read(&mut bytes) {
                log.lock().unwrap().push_str(&String::from_utf8_lossy(&bytes[..count]));
            }
        });
        self.child = Some(child);
    }

    /// The module exists once a request is no longer turned away unseen.
    pub fn wait_for_service(&self) {
        let mut gateway = self.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.answer().word, "UP");
        let until = Instant::now() + PATIENCE;
        let mut tag = 2;
        while Instant::now() < until {
            gateway.send(&call(tag, "no-such-class", &fields(&fresh_id()), b""));
            // Before the engine is known to be up the answer is BUSY, after that it is FAILED.
            if gateway.answer().word == "FAILED" {
                return;
            }
            tag += 1;
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not serve");
    }

    pub fn gateway(&self) -> Gateway {
        Gateway::open(self.listen)
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("a server").id()
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        assert!(done.expect("kill").success());
    }

    /// Waits for the end of the server and gives its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("a server");
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = child.try_wait().expect("its state") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not end");
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("its state").is_none())
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("its descriptors").count()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

// ---- The gateway ----

pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn fields(id: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    format!("req={id},ts={now},via=4,owner=acme,ms=12.50,need=24.5,level=0.6250")
}

pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn call(tag: u64, class: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"RPC.CALL", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

pub fn health(tag: u64, real: bool) -> Vec<u8> {
    let fields: &[u8] = if real { b"real=1" } else { b"" };
    array(&[b"RPC.HEALTH", tag.to_string().as_bytes(), fields])
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    pub tag: u64,
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

pub struct Gateway {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Gateway {
    pub fn open(to: SocketAddr) -> Gateway {
        let until = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => {
                    stream.set_nodelay(true).expect("no delay");
                    return Gateway { stream, unread: Vec::new() };
                }
                Err(e) => assert!(Instant::now() < until, "{to}: {e}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the server reads");
    }

    /// Sends one request under a fresh id, which is the answer.
    pub fn call(&mut self, tag: u64, class: &str, body: &[u8]) -> String {
        let id = fresh_id();
        self.send(&call(tag, class, &fields(&id), body));
        id
    }

    pub fn answer(&mut self) -> Answered {
        self.next(PATIENCE).expect("an answer").expect("an open connection")
    }

    /// An answer, `None` at the end of the connection, or an error when nothing came in time.
    pub fn next(&mut self, wait: Duration) -> Result<Option<Answered>, ()> {
        let until = Instant::now() + wait;
        loop {
            if let Some((answer, used)) = parse(&self.unread) {
                self.unread.drain(..used);
                return Ok(Some(answer));
            }
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).expect("a time-out");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(count) => self.unread.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(()),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Ok(None),
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// That nothing more is said here.
    pub fn is_quiet(&mut self) {
        assert_eq!(self.next(QUIET), Err(()));
    }

    pub fn is_closed(&mut self) {
        assert_eq!(self.next(PATIENCE), Ok(None));
    }

    /// Ends the connection so that the server sees it broken off.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a reset");
    }
}

fn parse(bytes: &[u8]) -> Option<(Answered, usize)> {
    fn line(bytes: &[u8]) -> Option<(&str, usize)> {
        let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[..end]).expect("text"), end + 2))
    }
    let (head, mut at) = line(bytes)?;
    let count: usize = head.strip_prefix('*').expect("an array").parse().expect("a count");
    let mut words = Vec::new();
    for _ in 0..count {
        let (head, used) = line(&bytes[at..])?;
        let size: usize = head.strip_prefix('$').expect("a bulk string").parse().expect("a length");
        at += used;
        let word = bytes.get(at..at + size)?;
        assert_eq!(bytes.get(at + size..at + size + 2)?, b"\r\n");
        words.push(word.to_vec());
        at += size + 2;
    }
    let text =
        |at: usize| words.get(at).map(|w| String::from_utf8(w.clone()).expect("text")).unwrap_or_default();
    let body = words.get(3).cloned().unwrap_or_default();
    Some((Answered { tag: text(0).parse().expect("a tag"), word: text(1), fields: text(2), body }, at))
}

// ---- Lines with bodies, as the engine and the ledger are spoken to ----

#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub text: String,
    pub body: Vec<u8>,
}

impl Line {
    pub fn word(&self, at: usize) -> &str {
        self.text.split(' ').nth(at).unwrap_or_default()
    }
}

/// One connection that the server opened. A thread reads it; `more` answers what has to be answered at once.
pub struct Link {
    stream: TcpStream,
    lines: Receiver<Line>,
}

impl Link {
    fn new(stream: TcpStream, with_body: &'static [&'static str], answers_stat: Arc<AtomicBool>) -> Link {
        stream.set_nodelay(true).expect("no delay");
        let (sender, lines) = channel();
        let (reader, mut writer) =
            (stream.try_clone().expect("a clone"), stream.try_clone().expect("a clone"));
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            loop {
                let mut bytes = Vec::new();
                match reader.read_until(b'\n', &mut bytes) {
                    Ok(1..) if bytes.ends_with(b"\r\n") => {}
                    _ => return,
                }
                let text = String::from_utf8(bytes[..bytes.len() - 2].to_vec()).expect("text");
                let mut line = Line { text, body: Vec::new() };
                if with_body.contains(&line.word(0)) {
                    let size: usize =
                        line.text.rsplit(' ').next().expect("a word").parse().expect("a length");
                    let mut body = vec![0; size + 2];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    assert!(body.ends_with(b"\r\n"), "{line:?}");
                    body.truncate(size);
                    line.body = body;
                }
                let answers_stat = answers_stat.load(Ordering::Acquire);
                if answers_stat && line.word(0) == "STAT" {
                    let _ = writer.write_all(format!("STATS {} 0 1 0.1 4\r\n", line.word(1)).as_bytes());
                } else if answers_stat && line.word(0) == "TEST" {
                    let _ = writer.write_all(format!("TESTED {} fine\r\n", line.word(1)).as_bytes());
                } else if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Link { stream, lines }
    }

    pub fn line(&self) -> Line {
        self.lines.recv_timeout(PATIENCE).expect("a line")
    }

    /// The next line, which must begin so.
    pub fn expect(&self, start: &str) -> Line {
        let line = self.line();
        assert!(line.text == start || line.text.starts_with(&format!("{start} ")), "{start}: {line:?}");
        line
    }

    pub fn is_quiet(&self) {
        assert_eq!(self.lines.recv_timeout(QUIET), Err(RecvTimeoutError::Timeout));
    }

    pub fn is_closed(&self) {
        assert_eq!(self.lines.recv_timeout(PATIENCE), Err(RecvTimeoutError::Disconnected));
    }

    pub fn say(&self, text: &str) {
        self.say_bytes(format!("{text}\r\n").as_bytes());
    }

    pub fn say_bytes(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).expect("the server reads");
    }

    pub fn say_body(&self, head: &str, body: &[u8]) {
        let mut bytes = format!("{head} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.say_bytes(&bytes);
    }

    /// Takes the server's `ATTACH`, which must be this one, and is up.
    pub fn hello(&self, attach: &str) {
        assert_eq!(self.line().text, attach);
        self.say("HELLO running 60000");
    }

    pub fn done(&self, number: u64, id: &str, result: &[u8]) {
        self.say_body(&format!("DONE {number} {id} fine 5"), result);
    }

    pub fn need(&self, number: u64, id: &str, body: &[u8]) {
        self.say_body(&format!("NEED {number} {id}"), body);
    }

    pub fn cut(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

// ---- The engine ----

pub struct Engine {
    pub address: SocketAddr,
    links: Receiver<Link>,
    answers_stat: Arc<AtomicBool>,
}

impl Engine {
    fn start() -> Engine {
        let listener = free_listener();
        let address = listener.local_addr().expect("an address");
        let answers_stat = Arc::new(AtomicBool::new(true));
        Engine { address, links: accepting(listener, &["RUN", "FEED"], answers_stat.clone()), answers_stat }
    }

    /// Questions for the gauges and deep checks are lines like others from now on, or answered again.
    pub fn answers_by_itself(&self, does: bool) {
        self.answers_stat.store(does, Ordering::Release);
    }

    /// The next link that the server opens.
    pub fn link(&self) -> Link {
        self.links.recv_timeout(PATIENCE).expect("a link")
    }
}

fn accepting(
    listener: TcpListener,
    with_body: &'static [&'static str],
    answers_stat: Arc<AtomicBool>,
) -> Receiver<Link> {
    let (sender, links) = channel();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            if sender.send(Link::new(stream, with_body, answers_stat.clone())).is_err() {
                return;
            }
        }
    });
    links
}

// ---- The ledger ----

/// Refuses connections until it is opened.
pub struct Ledger {
    pub address: SocketAddr,
}

impl Ledger {
    fn new() -> Ledger {
        Ledger { address: free_address() }
    }

    pub fn open(&self) -> OpenLedger {
        let listener = TcpListener::bind(self.address).expect("the ledger's address");
        OpenLedger { links: accepting(listener, &["post"], Arc::default()) }
    }
}

pub struct OpenLedger {
    links: Receiver<Link>,
}

impl OpenLedger {
    pub fn link(&self) -> Link {
        self.links.recv_timeout(PATIENCE).expect("a connection")
    }

    pub fn has_no_link(&self) {
        assert!(self.links.recv_timeout(QUIET).is_err());
    }
}

// ---- The control plane ----

pub struct Control {
    pub address: SocketAddr,
    reports: Receiver<String>,
    answer: Arc<Mutex<&'static str>>,
}

impl Control {
    fn start() -> Control {
        Control::at(free_listener())
    }

    pub fn at(listener: TcpListener) -> Control {
        let address = listener.local_addr().expect("an address");
        let answer = Arc::new(Mutex::new("HTTP/1.1 204 No Content\r\n\r\n"));
        let (sender, reports) = channel();
        let shared = answer.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (sender, answer) = (sender.clone(), shared.clone());
                thread::spawn(move || reports_on(stream, &sender, &answer));
            }
        });
        Control { address, reports, answer }
    }

    /// What each further report is answered; nothing where it is empty.
    pub fn answers(&self, with: &'static str) {
        *self.answer.lock().unwrap() = with;
    }

    /// The first line and the body of the next report.
    pub fn report(&self) -> String {
        self.reports.recv_timeout(PATIENCE).expect("a report")
    }

    pub fn forget(&self) {
        while self.reports.try_recv().is_ok() {}
    }
}

fn reports_on(stream: TcpStream, sender: &Sender<String>, answer: &Mutex<&'static str>) {
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
        let with = *answer.lock().unwrap();
        if sender.send(text).is_err() || writer.write_all(with.as_bytes()).is_err() {
            return;
        }
    }
}
