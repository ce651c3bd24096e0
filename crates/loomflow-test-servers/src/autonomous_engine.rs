//! Test engine that runs requests by itself: each core has one run at a time, and further runs queue in order of
//! arrival. It records every run, so that tests notice duplicates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{RESPONSE_TIMEOUT, loopback_listener};

/// A run that is in progress or queued.
struct Run {
    id: String,
    body: Vec<u8>,
    work: Duration,
    /// Whether its downstream call has ended, or it makes none.
    called: bool,
}

#[derive(Default)]
struct Inner {
    link: Option<TcpStream>,
    /// Notices since the start of the server, which later connections repeat.
    notices: Vec<Vec<u8>>,
    waiting: VecDeque<Run>,
    busy: usize,
    /// Number of runs by class and body.
    run_counts: BTreeMap<(String, Vec<u8>), usize>,
    started_runs: Vec<(Vec<u8>, Instant)>,
    known_ids: BTreeSet<String>,
    work: Duration,
    fail: usize,
    is_held: bool,
    /// Delay between `ATTACH` and `HELLO`, as of an engine that starts slowly.
    hello_delay: Duration,
    /// Number of connections that were sent `HELLO`.
    attached: usize,
    /// Every n-th run makes a downstream call; 0 for none.
    calls_every: usize,
    /// Runs that wait for the reply to a downstream call.
    at_call: BTreeMap<String, Run>,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    cores: usize,
}

/// A test engine that runs requests by itself.
#[derive(Clone)]
pub struct AutonomousEngine {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The result of a run with this body.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}

impl AutonomousEngine {
    /// Each run takes one core for `work`.
    pub fn start(cores: usize, work: Duration) -> AutonomousEngine {
        AutonomousEngine::at(loopback_listener(), cores, work)
    }

    /// As [`AutonomousEngine::start`], on a listener.
    pub fn at(listener: TcpListener, cores: usize, work: Duration) -> AutonomousEngine {
        let address = listener.local_addr().expect("an address");
        let inner = Inner { work, ..Inner::default() };
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: Condvar::new(), cores });
        for _ in 0..cores {
            let shared = shared.clone();
            thread::spawn(move || core(&shared));
        }
        let for_links = shared.clone();
        thread::spawn(move || links(&listener, &for_links));
        AutonomousEngine { address, shared }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.shared.lock()
    }

    /// Changes the duration of runs.
    pub fn set_run_duration(&self, work: Duration) {
        self.inner().work = work;
    }

    /// Sets the delay between `ATTACH` and `HELLO`.
    pub fn set_hello_delay(&self, delay: Duration) {
        self.inner().hello_delay = delay;
    }

    /// Number of connections that have attached so far.
    pub fn attached(&self) -> usize {
        self.inner().attached
    }

    /// Makes every n-th run make a downstream call halfway.
    pub fn set_call_interval(&self, every: usize) {
        self.inner().calls_every = every;
    }

    /// Makes the next `count` runs fail.
    pub fn fail_next(&self, count: usize) {
        self.inner().fail = count;
    }

    /// Holds the end of all runs, or releases it.
    pub fn set_held(&self, is_held: bool) {
        self.inner().is_held = is_held;
        self.shared.changed.notify_all();
    }

    /// Number of runs by class and body.
    pub fn run_counts(&self) -> BTreeMap<(String, Vec<u8>), usize> {
        self.inner().run_counts.clone()
    }

    /// Bodies in the order in which their runs were requested.
    pub fn run_order(&self) -> Vec<Vec<u8>> {
        self.inner().started_runs.iter().map(|(body, _)| body.clone()).collect()
    }

    /// Bodies with the times at which their runs were requested.
    pub fn started_runs(&self) -> Vec<(Vec<u8>, Instant)> {
        self.inner().started_runs.clone()
    }

    /// Number of runs that were requested.
    pub fn run_count(&self) -> usize {
        self.inner().started_runs.len()
    }

    /// Waits until this many runs were requested.
    pub fn wait_for_runs(&self, count: usize) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while self.run_count() < count {
            assert!(Instant::now() < until, "{count} runs, {} so far", self.run_count());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// The server restarts: notices are numbered from the start, and queued runs are dropped.
    pub fn server_died(&self) {
        let mut inner = self.inner();
        inner.notices.clear();
        inner.waiting.clear();
        inner.link = None;
    }
}

impl Inner {
    fn notice(&mut self, head: &str, tail: &str, body: &[u8]) {
        let number = self.notices.len() + 1;
        let mut bytes = format!("{head} {number} {tail} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        if let Some(link) = &mut self.link {
            let _ = link.write_all(&bytes);
        }
        self.notices.push(bytes);
    }
}

fn core(shared: &Shared) {
    loop {
        let mut inner = shared.lock();
        let run = loop {
            if let Some(run) = inner.waiting.pop_front() {
                break run;
            }
            inner = shared.changed.wait(inner).unwrap_or_else(PoisonError::into_inner);
        };
        inner.busy += 1;
        drop(inner);
        thread::sleep(run.work);
        if !run.called {
            let mut inner = shared.lock();
            inner.busy -= 1;
            inner.notice("NEED", &run.id, b"call");
            inner.at_call.insert(run.id.clone(), Run { called: true, ..run });
            continue;
        }
        let mut inner = shared.lock();
        while inner.is_held {
            inner = shared.changed.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
        inner.busy -= 1;
        let fails = inner.fail > 0;
        inner.fail = inner.fail.saturating_sub(1);
        let took = run.work.as_millis().max(1);
        if fails {
            inner.notice("DONE", &format!("{} fault {took}", run.id), b"");
        } else {
            inner.notice("DONE", &format!("{} fine {took}", run.id), &result_of(&run.body));
        }
    }
}

fn links(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept() {
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        thread::spawn(move || drop(serve(stream, &shared)));
    }
}

fn serve(stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ATTACH", last] => shared.attach(last.parse().unwrap_or(0), &mut writer)?,
            ["RUN", id, class, size] => shared.request_run(id, class, read_body(&mut reader, size)?),
            ["STAT", tag] => shared.write_stats(tag, &mut writer)?,
            ["TEST", tag] => writer.write_all(format!("TESTED {tag} fine\r\n").as_bytes())?,
            ["FEED", id, size] => {
                read_body(&mut reader, size)?;
                shared.continue_run(id);
            }
            _ => {}
        }
    }
}

/// Reads the body that follows a line, with its line end.
fn read_body(reader: &mut impl Read, size: &str) -> std::io::Result<Vec<u8>> {
    let size = size.parse::<usize>().unwrap_or(0);
    let mut body = vec![0; size + 2];
    reader.read_exact(&mut body)?;
    body.truncate(size);
    Ok(body)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a connection the current one, and repeats the notices after the last one that was read.
    fn attach(&self, last: usize, writer: &mut TcpStream) -> std::io::Result<()> {
        let delay = self.lock().hello_delay;
        thread::sleep(delay);
        let mut inner = self.lock();
        writer.write_all(b"HELLO running 60000\r\n")?;
        for notice in inner.notices.iter().skip(last) {
            writer.write_all(notice)?;
        }
        inner.link = Some(writer.try_clone()?);
        inner.attached += 1;
        Ok(())
    }

    /// Queues a run. A repeated request for the same run is ignored.
    fn request_run(&self, id: &str, class: &str, body: Vec<u8>) {
        let mut inner = self.lock();
        if !inner.known_ids.insert(id.to_owned()) {
            return;
        }
        *inner.run_counts.entry((class.to_owned(), body.clone())).or_default() += 1;
        inner.started_runs.push((body.clone(), Instant::now()));
        let called = inner.calls_every == 0 || !inner.started_runs.len().is_multiple_of(inner.calls_every);
        let work = if called { inner.work } else { inner.work / 2 };
        inner.waiting.push_back(Run { id: id.to_owned(), body, work, called });
        self.changed.notify_all();
    }

    /// Queues a run again after its downstream call.
    fn continue_run(&self, id: &str) {
        let mut inner = self.lock();
        if let Some(run) = inner.at_call.remove(id) {
            inner.waiting.push_back(run);
            self.changed.notify_all();
        }
    }

    /// Responds to a query of the gauges. The lock is held while writing, so that no notice can come in between.
    fn write_stats(&self, tag: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let inner = self.lock();
        let runnable = inner.busy + inner.waiting.len();
        let utilization = inner.busy as f64 / self.cores as f64;
        writer.write_all(format!("STATS {tag} {utilization:.3} {runnable} 0.1 4\r\n").as_bytes())
    }
}
