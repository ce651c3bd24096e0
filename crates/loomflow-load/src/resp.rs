//! Load that is sent through gateway connections.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use loomflow_test_servers::{Gateway, GatewayResponse, call, fields, next_attempt_id};

use crate::{MAX_OPEN_REQUESTS, Plan, RequestOutcome, Results};

/// Longest sleep before the duration of the plan is checked again, s.
const MAX_SLEEP_S: f64 = 0.005;

/// A request without a response yet.
struct OpenRequest {
    sent_at: Instant,
    body: Vec<u8>,
}

/// Open requests of a connection by tag.
type OpenRequests = Arc<Mutex<BTreeMap<u64, OpenRequest>>>;

/// A connection of a gateway and the requests that are open on it.
struct GatewayConnection {
    gateway: TcpStream,
    open: OpenRequests,
    tag: u64,
}

/// Sends the requests of a plan to the server at `listen`, then waits at most `response_timeout` for open requests. Requests
/// that are still open are lost.
///
/// # Panics
/// `listen` is not a loopback address.
pub fn run(listen: SocketAddr, plan: &Plan, response_timeout: Duration) -> Results {
    assert!(listen.ip().is_loopback(), "load is sent to loopback addresses only, not to {listen}");
    let start = Instant::now();
    let until = start + plan.duration + response_timeout;
    let results = Arc::new(Mutex::new(Results::new(start, plan.objective)));
    let mut connections: VecDeque<GatewayConnection> = VecDeque::new();
    let mut readers = Vec::new();
    for _ in 0..plan.connections {
        let gateway = Gateway::open(listen);
        let (open, for_reader) = (OpenRequests::default(), results.clone());
        let writer = gateway.stream.try_clone().expect("the stream can be cloned");
        connections.push_back(GatewayConnection { gateway: writer, open: open.clone(), tag: 0 });
        readers.push(thread::spawn(move || read_responses(gateway, until, &open, &for_reader)));
    }
    send_all(&mut connections, plan, start, &results);
    let has_open = |connection: &GatewayConnection| !connection.open.lock().expect("not poisoned").is_empty();
    while Instant::now() < until && connections.iter().any(has_open) {
        thread::sleep(Duration::from_millis(5));
    }
    for connection in &connections {
        let _ = connection.gateway.shutdown(std::net::Shutdown::Both);
    }
    for reader in readers {
        reader.join().expect("the reader does not panic");
    }
    Arc::try_unwrap(results).expect("all readers have ended").into_inner().expect("not poisoned")
}

/// Records responses until the connection is closed or `until` has passed. Requests that are open then are lost.
fn read_responses(mut gateway: Gateway, until: Instant, open: &OpenRequests, results: &Mutex<Results>) {
    while let Ok(Some(response)) = gateway.next_response(until.saturating_duration_since(Instant::now())) {
        record_response(&response, open, results);
        if Instant::now() >= until {
            break;
        }
    }
    let lost = std::mem::take(&mut *open.lock().expect("not poisoned"));
    let mut results = results.lock().expect("not poisoned");
    for request in lost.into_values() {
        results.record_outcome(request.sent_at, RequestOutcome::Lost, Instant::now());
    }
}

/// Sends each request of a plan when it is due.
fn send_all(
    connections: &mut VecDeque<GatewayConnection>,
    plan: &Plan,
    start: Instant,
    results: &Mutex<Results>,
) {
    let mut schedule = plan.schedule();
    while start.elapsed() < plan.duration {
        let now_s = start.elapsed().as_secs_f64();
        if now_s < schedule.due_s() {
            thread::sleep(Duration::from_secs_f64((schedule.due_s() - now_s).min(MAX_SLEEP_S)));
            continue;
        }
        schedule.advance();
        send(connections, plan.class, plan.body(schedule.taken()), results);
    }
}

/// Sends a request on the next connection that has capacity, in round-robin order.
fn send(connections: &mut VecDeque<GatewayConnection>, class: &str, body: Vec<u8>, results: &Mutex<Results>) {
    let sent_at = Instant::now();
    results.lock().expect("not poisoned").record_sent(body.clone(), sent_at);
    for _ in 0..connections.len() {
        connections.rotate_left(1);
        let connection = &mut connections[0];
        let mut open = connection.open.lock().expect("not poisoned");
        if open.len() >= MAX_OPEN_REQUESTS {
            continue;
        }
        connection.tag += 1;
        let id = next_attempt_id();
        // `opkey` is the idempotency key; servers read it only for classes with idempotency keys.
        let fields = format!("{},opkey={id}", fields(&id));
        let bytes = call(connection.tag, class, &fields, &body);
        open.insert(connection.tag, OpenRequest { sent_at, body });
        drop(open);
        let _ = connection.gateway.write_all(&bytes);
        return;
    }
    // No connection has capacity: the request is lost.
    results.lock().expect("not poisoned").record_outcome(sent_at, RequestOutcome::Lost, sent_at);
}

/// Records the outcome and the send share of a response. A response whose tag belongs to no open request counts as
/// wrong.
fn record_response(response: &GatewayResponse, open: &OpenRequests, results: &Mutex<Results>) {
    let request = open.lock().expect("not poisoned").remove(&response.tag);
    let (mut results, now) = (results.lock().expect("not poisoned"), Instant::now());
    let Some(request) = request else { return results.record_outcome(now, RequestOutcome::Wrong, now) };
    if let Some(share) = response.fields.split(',').find_map(|field| field.strip_prefix("signal=")) {
        results.second(request.sent_at).record_signal(share.parse().unwrap_or(0.0));
    }
    results.record_outcome(request.sent_at, RequestOutcome::from_response(response, &request.body), now);
}
