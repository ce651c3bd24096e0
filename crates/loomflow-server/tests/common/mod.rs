//! Setup and test steps shared by the integration tests.

#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod amqp;
pub mod fleet;

use loomflow_test_servers::*;

/// Request timeout in ms that no test reaches.
pub const LONG_TIMEOUT: f64 = 20_000.0;
/// Shell command that starts the server; `$0` is the path of its program.
pub const SERVE: &str = "exec \"$0\" serve";
/// Body of a report to the control plane that the server is ready.
const READY_REPORT: &str = "{\"condition\":\"Ready\"}";

// ---- Servers ----

/// Memory limit of a server in the configuration of the test servers, KB.
pub const MEMORY_LIMIT_KB: usize = 192 * 1024;

/// Expects that the peak of a server's resident memory is within [`MEMORY_LIMIT_KB`].
pub fn expect_peak_within_memory_limit(fixture: &ServerFixture) {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", fixture.pid())).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is reported");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("the peak is a number of KB");
    assert!(peak < MEMORY_LIMIT_KB, "{peak} KB of {MEMORY_LIMIT_KB} KB");
}

/// Starts a server with a scripted engine; `configure` changes the configuration before the start. Returns the engine's
/// connection, too.
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

/// Starts a server whose `ATTACH` to the engine has no response yet; returns that connection, too.
pub fn start_unattached() -> (ServerFixture, PeerConnection) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.start(SERVE);
    let engine = fixture.engine.link();
    (fixture, engine)
}

/// Accepts the server's next connection to the engine, whose first line must be `line`.
pub fn attach(fixture: &ServerFixture, line: &str) -> PeerConnection {
    let engine = fixture.engine.link();
    engine.accept_attach(line);
    engine
}

/// Replaces the configuration file, sends SIGHUP and waits until the log contains `line`.
pub fn reload(fixture: &ServerFixture, config: &serde_json::Value, line: &str) {
    fixture.write(&config.to_string());
    fixture.signal("HUP");
    fixture.wait_for_log(line);
}

/// Sends SIGTERM; the gateway's next message must be `BYE`.
pub fn shut_down(fixture: &ServerFixture, gateway: &mut Gateway) {
    fixture.terminate();
    expect_bye(gateway);
}

/// Closes connections; the server must then exit with code 0.
pub fn expect_exit<T>(fixture: &mut ServerFixture, connections: T) {
    drop(connections);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// Expects that the next report to the control plane says the server is ready.
pub fn expect_ready_report(control: &Control) {
    let report = control.report();
    assert!(report.ends_with(READY_REPORT), "{report}");
}

// ---- Runs and calls ----

/// Expects a run as the engine's next command; returns its attempt id.
pub fn expect_run(engine: &PeerConnection) -> String {
    engine.expect("RUN").word(1).to_owned()
}

/// Sends a request, which must be the next run; returns its attempt id.
pub fn start_run(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, class: &str) -> String {
    let id = gateway.call(tag, class, b"x");
    assert_eq!(expect_run(engine), id);
    id
}

/// Ends a run by the engine's notice `number`; the next response must carry its result.
pub fn finish_run(gateway: &mut Gateway, engine: &PeerConnection, number: u64, id: &str) {
    engine.send_done(number, id, b"y");
    let response = gateway.response();
    assert_eq!((response.status.as_str(), response.body.as_slice()), ("OK", &b"y"[..]));
}

/// Runs a request from its arrival to its response.
pub fn serve_request(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, class: &str, number: u64) {
    let id = start_run(gateway, engine, tag, class);
    finish_run(gateway, engine, number, &id);
}

/// Replies to a request's call, which must come on a new connection, and waits until the reply is fed to its run.
pub fn reply_to_call(ledger: &OpenLedger, engine: &PeerConnection, id: &str) -> PeerConnection {
    let connection = ledger.link();
    let post = connection.expect("post");
    assert_eq!((post.word(1), post.body.as_slice()), (id, &b"call"[..]));
    connection.send_with_body(&format!("{id} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), id);
    connection
}

/// Two open requests of one gateway: the first one runs, the second one waits for the reply to a call.
pub struct OpenRequests {
    /// Gateway that sent them, with tags 1 and 2.
    pub gateway: Gateway,
    /// Attempt id of the request that runs.
    pub running: String,
    /// Attempt id of the request that waits; its `NEED` was the engine's notice 1.
    pub calling: String,
    /// Connection to the ledger on which the call is open.
    pub call: PeerConnection,
}

/// Sends a request of `class` and a `pay` request, and makes the second one call the ledger.
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

/// Expects `BYE` as the next message.
pub fn expect_bye(gateway: &mut Gateway) {
    let bye = gateway.response();
    assert_eq!((bye.tag, bye.status.as_str()), (0, "BYE"));
}

/// Expects a response with this tag and status as the next message.
pub fn expect_status(gateway: &mut Gateway, tag: u64, status: &str) {
    let response = gateway.response();
    assert_eq!((response.tag, response.status.as_str()), (tag, status));
}

/// Sends a health check without `real` and expects `UP`.
pub fn check_health(gateway: &mut Gateway, tag: u64) {
    gateway.send(&health(tag, false));
    expect_status(gateway, tag, "UP");
}

/// Opens a gateway connection that has received a response and has no open request.
pub fn idle_gateway(fixture: &ServerFixture) -> Gateway {
    let mut gateway = fixture.gateway();
    check_health(&mut gateway, 1);
    gateway
}

/// Receives `count` responses and sorts them by tag.
pub fn responses_by_tag(gateway: &mut Gateway, count: u64) -> Vec<GatewayResponse> {
    let mut responses: Vec<GatewayResponse> = (0..count).map(|_| gateway.response()).collect();
    responses.sort_by_key(|response| response.tag);
    responses
}

pub fn tags(responses: &[GatewayResponse]) -> Vec<u64> {
    responses.iter().map(|response| response.tag).collect()
}

/// Expects one response to each of the requests 1 to `count`, in any order.
pub fn expect_each_answered_once(gateway: &mut Gateway, count: u64) {
    let responses = responses_by_tag(gateway, count);
    assert_eq!(tags(&responses), (1..=count).collect::<Vec<u64>>());
}
