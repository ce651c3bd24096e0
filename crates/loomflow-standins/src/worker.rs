//! An engine that works by itself: so many cores, each with one run at a time, the rest in the order in which they
//! came. It keeps what it has run, so that nothing can run twice unseen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{PATIENCE, free_listener};

/// A run that has begun or waits for a core.
struct Run {
    id: String,
    body: Vec<u8>,
    work: Duration,
    /// Its call below is over, or it makes none.
    called: bool,
}

#[derive(Default)]
struct Inner {
    link: Option<TcpStream>,
    /// Notices since the server's start, for links to come.
    notices: Vec<Vec<u8>>,
    waiting: VecDeque<Run>,
    busy: usize,
    /// How often each body has been run, by class and body.
    runs: BTreeMap<(String, Vec<u8>), usize>,
    begun: Vec<(Vec<u8>, Instant)>,
    seen: BTreeSet<String>,
    work: Duration,
    fail: usize,
    held: bool,
    /// How long after its `ATTACH` a link hears `HELLO`: an engine that comes up slowly.
    hello_delay: Duration,
    /// Links that have heard it.
    attached: usize,
    /// Every so many runs make a call below; none where 0.
    calls_every: usize,
    /// Runs that wait for the reply to their call.
    at_call: BTreeMap<String, Run>,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    cores: usize,
}

/// A stand-in engine that runs requests by itself.
#[derive(Clone)]
pub struct Worker {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// What a run of a body makes.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}

impl Worker {
    /// Each run takes one core for `work`.
    pub fn start(cores: usize, work: Duration) -> Worker {
        Worker::at(free_listener(), cores, work)
    }

    /// The same at an address of one's choice.
    pub fn at(listener: TcpListener, cores: usize, work: Duration) -> Worker {
        let address = listener.local_addr().expect("an address");
        let inner = Inner { work, ..Inner::default() };
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: Condvar::new(), cores });
        for _ in 0..cores {
            let shared = shared.clone();
            thread::spawn(move || core(&shared));
        }
        let for_links = shared.clone();
        thread::spawn(move || links(&listener, &for_links));
        Worker { address, shared }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.shared.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the duration of runs.
    pub fn takes(&self, work: Duration) {
        self.inner().work = work;
    }

    /// Links hear `HELLO` so long after they attached, from now on.
    pub fn says_hello_after(&self, delay: Duration) {
        self.inner().hello_delay = delay;
    }

    /// How many links have attached so far.
    pub fn attached(&self) -> usize {
        self.inner().attached
    }

    /// Every so many runs make a call below, halfway.
    pub fn calls(&self, every: usize) {
        self.inner().calls_every = every;
    }

    /// So many runs to come end in a fault.
    pub fn fail(&self, count: usize) {
        self.inner().fail = count;
    }

    /// No run ends any more, or they go on.
    pub fn hold(&self, is: bool) {
        self.inner().held = is;
        self.shared.changed.notify_all();
    }

    /// How often each body has been run.
    pub fn runs(&self) -> BTreeMap<(String, Vec<u8>), usize> {
        self.inner().runs.clone()
    }

    /// Bodies in the order in which their runs were asked for.
    pub fn order(&self) -> Vec<Vec<u8>> {
        self.inner().begun.iter().map(|(body, _)| body.clone()).collect()
    }

    /// The same, and when each was asked for.
    pub fn begun(&self) -> Vec<(Vec<u8>, Instant)> {
        self.inner().begun.clone()
    }

    /// Number of runs that were requested.
    pub fn count(&self) -> usize {
        self.inner().begun.len()
    }

    /// Waits until so many runs have been asked for.
    pub fn wait(&self, count: usize) {
        let until = Instant::now() + PATIENCE;
        while self.count() < count {
            assert!(Instant::now() < until, "{count} runs, {} so far", self.count());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// A server starts anew: numbers of notices begin again, and what ran is over.
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
        let mut inner = shared.inner.lock().unwrap_or_else(PoisonError::into_inner);
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
            let mut inner = shared.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.busy -= 1;
            inner.notice("NEED", &run.id, b"call");
            inner.at_call.insert(run.id.clone(), Run { called: true, ..run });
            continue;
        }
        let mut inner = shared.inner.lock().unwrap_or_else(PoisonError::into_inner);
        while inner.held {
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
    let lock = || shared.inner.lock().unwrap_or_else(PoisonError::into_inner);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ATTACH", last] => {
                let delay = lock().hello_delay;
                thread::sleep(delay);
                let mut inner = lock();
                writer.write_all(b"HELLO running 60000\r\n")?;
                let last: usize = last.parse().unwrap_or(0);
                for notice in inner.notices.iter().skip(last) {
                    writer.write_all(notice)?;
                }
                inner.link = Some(writer.try_clone()?);
                inner.attached += 1;
            }
            ["RUN", id, class, size] => {
                let mut body = vec![0; size.parse::<usize>().unwrap_or(0) + 2];
                reader.read_exact(&mut body)?;
                body.truncate(body.len() - 2);
                let mut inner = lock();
                // For one that runs already nothing happens.
                if inner.seen.insert(id.to_owned()) {
                    *inner.runs.entry((class.to_owned(), body.clone())).or_default() += 1;
                    inner.begun.push((body.clone(), Instant::now()));
                    let called =
                        inner.calls_every == 0 || !inner.begun.len().is_multiple_of(inner.calls_every);
                    let work = if called { inner.work } else { inner.work / 2 };
                    let run = Run { id: id.to_owned(), body, work, called };
                    inner.waiting.push_back(run);
                    shared.changed.notify_all();
                }
            }
            ["STAT", tag] => {
                let inner = lock();
                let on = inner.busy + inner.waiting.len();
                let share = inner.busy as f64 / shared.cores as f64;
                writer.write_all(format!("STATS {tag} {share:.3} {on} 0.1 4\r\n").as_bytes())?;
            }
            ["TEST", tag] => writer.write_all(format!("TESTED {tag} fine\r\n").as_bytes())?,
            ["FEED", id, size] => {
                let mut body = vec![0; size.parse::<usize>().unwrap_or(0) + 2];
                reader.read_exact(&mut body)?;
                let mut inner = lock();
                if let Some(run) = inner.at_call.remove(id) {
                    inner.waiting.push_back(run);
                    shared.changed.notify_all();
                }
            }
            _ => {}
        }
    }
}
