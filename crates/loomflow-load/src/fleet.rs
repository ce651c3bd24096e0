//! Load for a fleet: gateways that distribute requests over all its servers, except those that have announced that they
//! drain or that cannot be reached. Requests that were rejected or whose connection was closed are retried at another
//! server, which is safe because their class has no effects.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use loomflow_test_servers::{Gateway, GatewayResponse, call, fields, next_attempt_id};

use crate::{MAX_OPEN_REQUESTS, Plan, RequestOutcome, Results};

/// Maximum number of attempts at a request that servers reject. If no server is connected with capacity, up to four
/// times as many attempts are made.
const MAX_ATTEMPTS: u32 = 6;
/// Timeout for opening a connection, and the interval at which unconnected servers are tried again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest sleep before retries are checked for, s.
const MAX_SLEEP_S: f64 = 0.002;

/// A request without a final response yet.
struct OpenRequest {
    sent_at: Instant,
    body: Vec<u8>,
    attempts: u32,
}

/// Connection to one server, with the requests that are open there.
#[derive(Default)]
struct Server {
    stream: Option<TcpStream>,
    /// Number of the current connection to the server, so that the end of an earlier connection does not affect the
    /// current one.
    generation: u64,
    /// Open requests, by the generation of their connection and by tag.
    open: BTreeMap<(u64, u64), OpenRequest>,
}

/// State that the threads of the load share.
struct Shared {
    servers: Vec<Mutex<Server>>,
    addresses: Vec<SocketAddr>,
    retries: Mutex<VecDeque<OpenRequest>>,
    results: Mutex<Results>,
    is_over: AtomicBool,
    tags: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Load in progress. It runs until [`FleetLoad::end`], or for the duration of its plan.
pub struct FleetLoad {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
    response_timeout: Duration,
}

/// Starts to send the requests of a plan to `servers`. The number of connections in the plan is ignored: there is one for
/// each server.
///
/// # Panics
/// An address is not a loopback address.
pub fn start(servers: Vec<SocketAddr>, plan: Plan, response_timeout: Duration) -> FleetLoad {
    assert!(
        servers.iter().all(|server| server.ip().is_loopback()),
        "load is sent to loopback addresses only, not to {servers:?}"
    );
    let shared = Arc::new(Shared {
        servers: servers.iter().map(|_| Mutex::default()).collect(),
        addresses: servers,
        retries: Mutex::default(),
        results: Mutex::new(Results::new(Instant::now(), plan.objective)),
        is_over: AtomicBool::new(false),
        tags: AtomicU64::new(0),
    });
    let (sender, connects) = (shared.clone(), shared.clone());
    let threads = vec![
        thread::spawn(move || keep_connected(&connects)),
        thread::spawn(move || send_requests(&sender, &plan)),
    ];
    FleetLoad { shared, threads, response_timeout }
}

impl FleetLoad {
    /// Reads the results so far.
    pub fn results<T>(&self, read: impl FnOnce(&Results) -> T) -> T {
        read(&lock(&self.shared.results))
    }

    /// Stops sending, waits at most the response timeout for open requests, and returns all results. Requests that are still
    /// open are lost.
    pub fn end(self) -> Results {
        let until = Instant::now() + self.response_timeout;
        self.shared.is_over.store(true, Ordering::Release);
        let open = || self.shared.servers.iter().any(|server| !lock(server).open.is_empty());
        while Instant::now() < until && (open() || !lock(&self.shared.retries).is_empty()) {
            thread::sleep(Duration::from_millis(10));
        }
        let mut results = lock(&self.shared.results);
        let now = Instant::now();
        for server in &self.shared.servers {
            let mut server = lock(server);
            for request in std::mem::take(&mut server.open).into_values() {
                results.record_outcome(request.sent_at, RequestOutcome::Lost, now);
            }
            server.stream.take().map(|stream| stream.shutdown(Shutdown::Both));
        }
        for request in lock(&self.shared.retries).drain(..) {
            results.record_outcome(request.sent_at, RequestOutcome::Lost, now);
        }
        let final_results = std::mem::replace(&mut *results, Results::new(now, Duration::ZERO));
        drop(results);
        drop(self.threads);
        final_results
    }
}

/// Keeps a connection open to every server that can be reached.
fn keep_connected(shared: &Arc<Shared>) {
    while !shared.is_over.load(Ordering::Acquire) {
        for (number, address) in shared.addresses.iter().enumerate() {
            if lock(&shared.servers[number]).stream.is_some() {
                continue;
            }
            let Ok(stream) = TcpStream::connect_timeout(address, RECONNECT_INTERVAL) else { continue };
            let _ = stream.set_nodelay(true);
            let Ok(reader) = stream.try_clone() else { continue };
            let mut server = lock(&shared.servers[number]);
            server.generation += 1;
            server.stream = Some(stream);
            let (shared, generation) = (shared.clone(), server.generation);
            thread::spawn(move || read_responses(&shared, number, generation, Gateway::from_stream(reader)));
        }
        thread::sleep(RECONNECT_INTERVAL);
    }
}

/// Sends the requests of a plan when they are due. Retries have priority.
fn send_requests(shared: &Arc<Shared>, plan: &Plan) {
    let start = Instant::now();
    let (mut schedule, mut turn) = (plan.schedule(), 0);
    while start.elapsed() < plan.duration && !shared.is_over.load(Ordering::Acquire) {
        let retry = lock(&shared.retries).pop_front();
        if let Some(request) = retry {
            send(shared, plan, request, &mut turn);
            continue;
        }
        let now_s = start.elapsed().as_secs_f64();
        if now_s < schedule.due_s() {
            thread::sleep(Duration::from_secs_f64((schedule.due_s() - now_s).min(MAX_SLEEP_S)));
            continue;
        }
        schedule.advance();
        let request = OpenRequest { sent_at: Instant::now(), body: plan.body(schedule.taken()), attempts: 0 };
        lock(&shared.results).record_sent(request.body.clone(), request.sent_at);
        send(shared, plan, request, &mut turn);
    }
    // Requests that are rejected after the end of the plan are still retried at other servers.
    while !shared.is_over.load(Ordering::Acquire) || !lock(&shared.retries).is_empty() {
        let retry = lock(&shared.retries).pop_front();
        match retry {
            Some(request) => send(shared, plan, request, &mut turn),
            None => thread::sleep(Duration::from_millis(5)),
        }
        if shared.servers.iter().all(|server| lock(server).stream.is_none())
            && start.elapsed() > plan.duration
        {
            return;
        }
    }
}

/// Sends a request to the next server that is connected and has capacity.
fn send(shared: &Shared, plan: &Plan, mut request: OpenRequest, turn: &mut usize) {
    request.attempts += 1;
    for _ in 0..shared.servers.len() {
        *turn = (*turn + 1) % shared.servers.len();
        let mut server = lock(&shared.servers[*turn]);
        let Server { stream, generation, open } = &mut *server;
        let Some(to) = stream.as_mut().filter(|_| open.len() < MAX_OPEN_REQUESTS) else { continue };
        let tag = shared.tags.fetch_add(1, Ordering::Relaxed) + 1;
        if to.write_all(&call(tag, plan.class, &fields(&next_attempt_id()), &request.body)).is_ok() {
            open.insert((*generation, tag), request);
            return;
        }
        *stream = None;
    }
    // No server is connected with capacity: the request is retried after the others.
    if request.attempts < MAX_ATTEMPTS * 4 {
        thread::sleep(Duration::from_millis(5));
        lock(&shared.retries).push_back(request);
    } else {
        lock(&shared.results).record_outcome(request.sent_at, RequestOutcome::Lost, Instant::now());
    }
}

/// Handles the responses of one connection until it ends, then retries its open requests.
fn read_responses(shared: &Shared, number: usize, generation: u64, mut gateway: Gateway) {
    loop {
        match gateway.next_response(Duration::from_millis(500)) {
            Ok(Some(response)) => handle_response(shared, number, generation, &response),
            Err(_) if !shared.is_over.load(Ordering::Acquire) => {}
            _ => break,
        }
    }
    retry_open(shared, number, generation);
}

fn handle_response(shared: &Shared, number: usize, generation: u64, response: &GatewayResponse) {
    if response.status == "BYE" {
        // The server still responds to open requests, but receives no new ones.
        let mut server = lock(&shared.servers[number]);
        if server.generation == generation {
            server.stream = None;
        }
        return;
    }
    let Some(request) = lock(&shared.servers[number]).open.remove(&(generation, response.tag)) else {
        return;
    };
    let outcome = RequestOutcome::from_response(response, &request.body);
    if outcome == RequestOutcome::Rejected && request.attempts < MAX_ATTEMPTS {
        lock(&shared.retries).push_back(request);
        return;
    }
    lock(&shared.results).record_outcome(request.sent_at, outcome, Instant::now());
}

/// Retries the requests that were open on a connection that has ended.
fn retry_open(shared: &Shared, number: usize, generation: u64) {
    let mut server = lock(&shared.servers[number]);
    if server.generation == generation {
        server.stream = None;
    }
    let (own, others) = std::mem::take(&mut server.open)
        .into_iter()
        .partition(|((connection, _), _)| *connection == generation);
    server.open = others;
    drop(server);
    let own: BTreeMap<(u64, u64), OpenRequest> = own;
    lock(&shared.retries).extend(own.into_values());
}
