//! Load through gateway connections.

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

struct OpenRequest {
    sent_at: Instant,
    body: Vec<u8>,
}

type OpenRequests = Arc<Mutex<BTreeMap<u64, OpenRequest>>>;

/// A gateway's connection, with the requests that are open on it.
struct GatewayConnection {
    gateway: TcpStream,
    open: OpenRequests,
    tag: u64,
}

/// Sends the requests of a plan, and waits for open ones for up to `response_timeout` at the end.
pub fn play(listen: SocketAddr, plan: &Plan, response_timeout: Duration) -> Results {
    assert!(listen.ip().is_loopback(), "load goes to loopback only");
    let start = Instant::now();
    let until = start + plan.duration + response_timeout;
    let results = Arc::new(Mutex::new(Results::new(start, plan.objective)));
    let mut connections: VecDeque<GatewayConnection> = VecDeque::new();
    let mut readers = Vec::new();
    for _ in 0..plan.connections {
        let gateway = Gateway::open(listen);
        let (open, for_reader) = (OpenRequests::default(), results.clone());
        let writer = gateway.stream.try_clone().expect("a clone");
        connections.push_back(GatewayConnection { gateway: writer, open: open.clone(), tag: 0 });
        readers.push(thread::spawn(move || read_responses(gateway, until, &open, &for_reader)));
    }
    send_all(&mut connections, plan, start, &results);
    let has_open = |connection: &GatewayConnection| !connection.open.lock().expect("open").is_empty();
    while Instant::now() < until && connections.iter().any(has_open) {
        thread::sleep(Duration::from_millis(5));
    }
    for connection in &connections {
        let _ = connection.gateway.shutdown(std::net::Shutdown::Both);
    }
    for reader in readers {
        reader.join().expect("a reader");
    }
    Arc::try_unwrap(results).expect("readers have ended").into_inner().expect("results")
}

/// Records responses until the connection ends; what is open then is lost.
fn read_responses(mut gateway: Gateway, until: Instant, open: &OpenRequests, results: &Mutex<Results>) {
    while let Ok(Some(response)) = gateway.next_response(until.saturating_duration_since(Instant::now())) {
        record_response(&response, open, results);
        if Instant::now() >= until {
            break;
        }
    }
    let lost = std::mem::take(&mut *open.lock().expect("open"));
    let mut results = results.lock().expect("results");
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

/// Sends a request on the next connection with capacity.
fn send(connections: &mut VecDeque<GatewayConnection>, class: &str, body: Vec<u8>, results: &Mutex<Results>) {
    let sent_at = Instant::now();
    results.lock().expect("results").record_sent(body.clone(), sent_at);
    for _ in 0..connections.len() {
        connections.rotate_left(1);
        let connection = &mut connections[0];
        let mut open = connection.open.lock().expect("open");
        if open.len() >= MAX_OPEN_REQUESTS {
            continue;
        }
        connection.tag += 1;
        let id = next_attempt_id();
        // Only classes with keys use it.
        let fields = format!("{},opkey={id}", fields(&id));
        let bytes = call(connection.tag, class, &fields, &body);
        open.insert(connection.tag, OpenRequest { sent_at, body });
        drop(open);
        let _ = connection.gateway.write_all(&bytes);
        return;
    }
    // No connection has capacity: the gateway abandons the request.
    results.lock().expect("results").record_outcome(sent_at, RequestOutcome::Lost, sent_at);
}

fn record_response(response: &GatewayResponse, open: &OpenRequests, results: &Mutex<Results>) {
    let request = open.lock().expect("open").remove(&response.tag);
    let (mut results, now) = (results.lock().expect("results"), Instant::now());
    let Some(request) = request else { return results.record_outcome(now, RequestOutcome::Wrong, now) };
    if let Some(share) = response.fields.split(',').find_map(|field| field.strip_prefix("signal=")) {
        results.second(request.sent_at).record_signal(share.parse().unwrap_or(0.0));
    }
    results.record_outcome(request.sent_at, RequestOutcome::of_response(response, &request.body), now);
}
