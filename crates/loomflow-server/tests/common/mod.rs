//! Set-up and steps that several tests share.

#![allow(dead_code, reason = "each test file uses a part of them")]

pub mod fleet;

use loomflow_test_servers::*;

/// A timeout of requests, in ms, that no test reaches.
pub const LONG_TIMEOUT: f64 = 20_000.0;
/// The shell command that starts a server.
pub const SERVE: &str = "exec \"$0\" serve";
/// The end of a report to the control plane.
const READY_REPORT: &str = "{\"condition\":\"Ready\"}";

// ---- Servers ----

/// Starts a server with a scripted engine after a change of its configuration; returns the engine's connection.
pub fn start_configured(
    settings: serde_json::Value,
    configure: impl FnOnce(&mut ServerFixture),
) -> (ServerFixture, PeerConnection) {
    let mut fixture = ServerFixture::new(settings);
    configure(&mut fixture);
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    (fixture, engine)
}

/// Starts a server without an answer to its engine's connection, which is returned.
pub fn start_unattached() -> (ServerFixture, PeerConnection) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.start(SERVE);
    let engine = fixture.engine.link();
    (fixture, engine)
}

/// Accepts the server's next connection to the engine, which has to begin with this line.
pub fn attach(fixture: &ServerFixture, line: &str) -> PeerConnection {
    let engine = fixture.engine.link();
    engine.accept_attach(line);
    engine
}

/// Replaces the configuration file, requests a reload, and waits for a line of the log.
pub fn reload(fixture: &ServerFixture, config: &serde_json::Value, line: &str) {
    fixture.write(&config.to_string());
    fixture.signal("HUP");
    fixture.wait_for_log(line);
}

/// Requests a shutdown, which a gateway has to learn by its next message.
pub fn shut_down(fixture: &ServerFixture, gateway: &mut Gateway) {
    fixture.terminate();
    expect_goodbye(gateway);
}

/// Closes connections; the server has to end by itself.
pub fn expect_exit<T>(fixture: &mut ServerFixture, connections: T) {
    drop(connections);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// Expects the next report to the control plane.
pub fn expect_ready_report(control: &Control) {
    let report = control.report();
    assert!(report.ends_with(READY_REPORT), "{report}");
}

// ---- Runs and calls ----

/// Expects a run as the engine's next command; returns its attempt id.
pub fn expect_run(engine: &PeerConnection) -> String {
    engine.expect("RUN").word(1).to_owned()
}

/// Sends a request, which has to be run next; returns its attempt id.
pub fn start_run(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, class: &str) -> String {
    let id = gateway.call(tag, class, b"x");
    assert_eq!(expect_run(engine), id);
    id
}

/// Ends a run with the engine's notice of this number; its result has to be the next response.
pub fn finish_run(gateway: &mut Gateway, engine: &PeerConnection, number: u64, id: &str) {
    engine.send_done(number, id, b"y");
    let answer = gateway.response();
    assert_eq!((answer.status.as_str(), answer.body.as_slice()), ("OK", &b"y"[..]));
}

/// Runs a request from its arrival to its response.
pub fn serve_request(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, class: &str, number: u64) {
    let id = start_run(gateway, engine, tag, class);
    finish_run(gateway, engine, number, &id);
}

/// Answers the call that a request makes on a new connection, and waits until its run has the reply.
pub fn answer_call(ledger: &OpenLedger, engine: &PeerConnection, id: &str) -> PeerConnection {
    let connection = ledger.link();
    let post = connection.expect("post");
    assert_eq!((post.word(1), post.body.as_slice()), (id, &b"call"[..]));
    connection.send_with_body(&format!("{id} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), id);
    connection
}

/// Two open requests of one gateway: one runs, and the run of the other waits for the reply to its first call.
pub struct OpenRequests {
    /// The gateway that sent them; the tags are 1 and 2.
    pub gateway: Gateway,
    /// Attempt id of the one that runs.
    pub running: String,
    /// Attempt id of the one that waits, whose call was the engine's first notice.
    pub calling: String,
    /// The connection of the call.
    pub call: PeerConnection,
}

/// Sends two requests, the first of this class, and makes the second call the ledger.
pub fn start_open_requests(
    fixture: &ServerFixture,
    engine: &PeerConnection,
    ledger: &OpenLedger,
    class: &str,
) -> OpenRequests {
    let mut gateway = fixture.gateway();
    let running = start_run(&mut gateway, engine, 1, class);
    let calling = start_run(&mut gateway, engine, 2, "pay");
    engine.send_need(1, &calling, b"call");
    let call = ledger.link();
    call.expect("post");
    OpenRequests { gateway, running, calling, call }
}

// ---- Gateways ----

/// Expects a goodbye as the next message.
pub fn expect_goodbye(gateway: &mut Gateway) {
    let goodbye = gateway.response();
    assert_eq!((goodbye.tag, goodbye.status.as_str()), (0, "BYE"));
}

/// Expects the response to a request, as the next message.
pub fn expect_status(gateway: &mut Gateway, tag: u64, status: &str) {
    let answer = gateway.response();
    assert_eq!((answer.tag, answer.status.as_str()), (tag, status));
}

/// Sends a health check, which has to succeed.
pub fn check_health(gateway: &mut Gateway, tag: u64) {
    gateway.send(&health(tag, false));
    expect_status(gateway, tag, "UP");
}

/// A gateway that has had a response and is idle.
pub fn idle_gateway(fixture: &ServerFixture) -> Gateway {
    let mut gateway = fixture.gateway();
    check_health(&mut gateway, 1);
    gateway
}

/// The next responses, by their tags.
pub fn responses_by_tag(gateway: &mut Gateway, count: u64) -> Vec<GatewayResponse> {
    let mut responses: Vec<GatewayResponse> = (0..count).map(|_| gateway.response()).collect();
    responses.sort_by_key(|response| response.tag);
    responses
}

/// The tags of responses.
pub fn tags(responses: &[GatewayResponse]) -> Vec<u64> {
    responses.iter().map(|response| response.tag).collect()
}

/// Expects one response to each of the requests 1 to `count`, in any order.
pub fn expect_each_answered_once(gateway: &mut Gateway, count: u64) {
    let responses = responses_by_tag(gateway, count);
    assert_eq!(tags(&responses), (1..=count).collect::<Vec<u64>>());
}
