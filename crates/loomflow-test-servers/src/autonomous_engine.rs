//! Test engine that runs requests without a script: each core executes one run at a time, and further runs queue in order
//! of arrival. It records every requested run, so that tests can detect duplicates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{RESPONSE_TIMEOUT, loopback_listener};

/// A run that was requested and has not ended.
struct Run {
    id: String,
    body: Vec<u8>,
    /// Time on a core until the run ends or makes its downstream call.
    work: Duration,
    /// Whether the run no longer makes a downstream call: the call has ended, or the run makes none.
    has_called: bool,
}

#[derive(Default)]
struct EngineState {
    /// Connection that attached last; new notices are sent on it.
    connection: Option<TcpStream>,
    /// Encoded notices since the start of the server; a connection that attaches is sent those that the server lacks.
    notices: Vec<Vec<u8>>,
    queued_runs: VecDeque<Run>,
    busy_cores: usize,
    /// Number of requested runs by class and body.
    run_counts: BTreeMap<(String, Vec<u8>), usize>,
    /// Bodies of the requested runs and the times of the requests, in order of arrival.
    started_runs: Vec<(Vec<u8>, Instant)>,
    /// Ids of the runs that have not ended; a request for one of them is ignored, and one for a run that has ended starts it
    /// again.
    running_ids: BTreeSet<String>,
    /// Duration of new runs.
    work: Duration,
    /// Number of runs, from the next one to end, that end in a fault.
    runs_to_fail: usize,
    /// Whether runs are kept from ending; a held run occupies its core.
    is_held: bool,
    /// Delay between `ATTACH` and `HELLO`, to simulate an engine that starts slowly.
    hello_delay: Duration,
    /// Number of connections that were sent `HELLO` so far.
    attach_count: usize,
    /// Every n-th requested run makes a downstream call; 0 for none.
    call_interval: usize,
    /// Runs that wait for the reply to their downstream call, by id.
    runs_in_call: BTreeMap<String, Run>,
}

struct Shared {
    state: Mutex<EngineState>,
    /// Notified when a run is queued and when `is_held` changes.
    changed: Condvar,
    cores: usize,
}

/// A handle of a test engine that runs requests without a script. Clones share the engine.
#[derive(Clone)]
pub struct AutonomousEngine {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Returns the result of a successful run with this body.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}

impl AutonomousEngine {
    /// Starts an engine on a free loopback address; each run occupies one core for `work`.
    pub fn start(cores: usize, work: Duration) -> AutonomousEngine {
        AutonomousEngine::at(loopback_listener(), cores, work)
    }

    /// Like [`AutonomousEngine::start`], but accepts connections from `listener`.
    pub fn at(listener: TcpListener, cores: usize, work: Duration) -> AutonomousEngine {
        let address = listener.local_addr().expect("the listener has a local address");
        let state = EngineState { work, ..EngineState::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new(), cores });
        for _ in 0..cores {
            let shared = shared.clone();
            thread::spawn(move || run_core(&shared));
        }
        let for_connections = shared.clone();
        thread::spawn(move || accept_connections(&listener, &for_connections));
        AutonomousEngine { address, shared }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.shared.lock()
    }

    /// Sets the duration of runs that are requested from now on.
    pub fn set_run_duration(&self, work: Duration) {
        self.state().work = work;
    }

    /// Sets the delay between `ATTACH` and `HELLO` on new connections.
    pub fn set_hello_delay(&self, delay: Duration) {
        self.state().hello_delay = delay;
    }

    /// Returns the number of connections that were sent `HELLO` so far.
    pub fn attach_count(&self) -> usize {
        self.state().attach_count
    }

    /// Makes every `every`-th requested run make a downstream call after half of its duration; 0 for none.
    pub fn set_call_interval(&self, every: usize) {
        self.state().call_interval = every;
    }

    /// Makes the next `count` runs that end report a fault.
    pub fn fail_next(&self, count: usize) {
        self.state().runs_to_fail = count;
    }

    /// Keeps all runs from ending, or lets them end again. A held run occupies its core.
    pub fn set_held(&self, is_held: bool) {
        self.state().is_held = is_held;
        self.shared.changed.notify_all();
    }

    /// Returns the number of requested runs by class and body.
    pub fn run_counts(&self) -> BTreeMap<(String, Vec<u8>), usize> {
        self.state().run_counts.clone()
    }

    /// Returns the bodies of the requested runs, in order of arrival.
    pub fn run_order(&self) -> Vec<Vec<u8>> {
        self.state().started_runs.iter().map(|(body, _)| body.clone()).collect()
    }

    /// Returns the bodies of the requested runs and the times of the requests, in order of arrival.
    pub fn started_runs(&self) -> Vec<(Vec<u8>, Instant)> {
        self.state().started_runs.clone()
    }

    /// Returns the number of requested runs.
    pub fn run_count(&self) -> usize {
        self.state().started_runs.len()
    }

    /// Waits until at least `count` runs were requested.
    ///
    /// # Panics
    ///
    /// Panics after [`RESPONSE_TIMEOUT`].
    pub fn wait_for_runs(&self, count: usize) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while self.run_count() < count {
            assert!(Instant::now() < until, "waited for {count} requested runs, got {}", self.run_count());
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Discards the state that ends with the server process, as the engine does when the server restarts: numbers of
    /// notices start at 1 again, queued runs are dropped, and the connection is abandoned. Runs on a core continue.
    pub fn reset_for_server_restart(&self) {
        let mut state = self.state();
        state.notices.clear();
        let dropped = std::mem::take(&mut state.queued_runs);
        for run in dropped {
            state.running_ids.remove(&run.id);
        }
        state.connection = None;
    }
}

impl EngineState {
    /// Numbers and records a notice, and sends it on the current connection. Write errors are ignored: the next connection
    /// that attaches is sent the notice again.
    fn send_notice(&mut self, head: &str, tail: &str, body: &[u8]) {
        let number = self.notices.len() + 1;
        let mut bytes = format!("{head} {number} {tail} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        if let Some(connection) = &mut self.connection {
            let _ = connection.write_all(&bytes);
        }
        self.notices.push(bytes);
    }
}

/// Executes queued runs, one at a time.
fn run_core(shared: &Shared) {
    loop {
        let mut state = shared.lock();
        let run = loop {
            if let Some(run) = state.queued_runs.pop_front() {
                break run;
            }
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        };
        state.busy_cores += 1;
        drop(state);
        thread::sleep(run.work);
        if !run.has_called {
            let mut state = shared.lock();
            state.busy_cores -= 1;
            state.send_notice("NEED", &run.id, b"call");
            state.runs_in_call.insert(run.id.clone(), Run { has_called: true, ..run });
            continue;
        }
        let mut state = shared.lock();
        while state.is_held {
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.busy_cores -= 1;
        let fails = state.runs_to_fail > 0;
        state.runs_to_fail = state.runs_to_fail.saturating_sub(1);
        let duration_ms = run.work.as_millis().max(1);
        state.running_ids.remove(&run.id);
        if fails {
            state.send_notice("DONE", &format!("{} fault {duration_ms}", run.id), b"");
        } else {
            state.send_notice("DONE", &format!("{} fine {duration_ms}", run.id), &result_of(&run.body));
        }
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept() {
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        thread::spawn(move || drop(serve_connection(stream, &shared)));
    }
}

fn serve_connection(stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let tokens: Vec<&str> = line.split_whitespace().collect();
        match tokens[..] {
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

/// Reads the body of `size` bytes and the line end that follows it.
fn read_body(reader: &mut impl Read, size: &str) -> std::io::Result<Vec<u8>> {
    let size = size.parse::<usize>().unwrap_or(0);
    let mut body = vec![0; size + 2];
    reader.read_exact(&mut body)?;
    body.truncate(size);
    Ok(body)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends `HELLO` and all notices after number `last`, and makes the connection the one that new notices are sent on.
    fn attach(&self, last: usize, writer: &mut TcpStream) -> std::io::Result<()> {
        let delay = self.lock().hello_delay;
        thread::sleep(delay);
        let mut state = self.lock();
        writer.write_all(b"HELLO running 60000\r\n")?;
        for notice in state.notices.iter().skip(last) {
            writer.write_all(notice)?;
        }
        state.connection = Some(writer.try_clone()?);
        state.attach_count += 1;
        Ok(())
    }

    /// Queues a run, unless a run with this id has not ended.
    fn request_run(&self, id: &str, class: &str, body: Vec<u8>) {
        let mut state = self.lock();
        if !state.running_ids.insert(id.to_owned()) {
            return;
        }
        *state.run_counts.entry((class.to_owned(), body.clone())).or_default() += 1;
        state.started_runs.push((body.clone(), Instant::now()));
        let has_called =
            state.call_interval == 0 || !state.started_runs.len().is_multiple_of(state.call_interval);
        let work = if has_called { state.work } else { state.work / 2 };
        state.queued_runs.push_back(Run { id: id.to_owned(), body, work, has_called });
        self.changed.notify_all();
    }

    /// Queues the second half of a run whose downstream call has ended.
    fn continue_run(&self, id: &str) {
        let mut state = self.lock();
        if let Some(run) = state.runs_in_call.remove(id) {
            state.queued_runs.push_back(run);
            self.changed.notify_all();
        }
    }

    /// Replies to a gauge query: core utilization, runnable runs, heap share and connections. Holds the lock while it writes,
    /// so that no notice is written into the reply.
    fn write_stats(&self, tag: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let state = self.lock();
        let runnable = state.busy_cores + state.queued_runs.len();
        let utilization = state.busy_cores as f64 / self.cores as f64;
        writer.write_all(format!("STATS {tag} {utilization:.3} {runnable} 0.1 4\r\n").as_bytes())
    }
}
