//! Set-up and steps that several tests share.

#![allow(dead_code, reason = "each test file uses a part of them")]

use loomflow_test_servers::*;

/// Starts a server with a scripted engine after a change of its configuration; returns the engine's connection.
pub fn start_configured(
    settings: serde_json::Value,
    configure: impl FnOnce(&mut ServerFixture),
) -> (ServerFixture, PeerConnection) {
    let mut fixture = ServerFixture::new(settings);
    configure(&mut fixture);
    fixture.start("exec \"$0\" serve");
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    (fixture, engine)
}

/// Accepts the server's next link to the engine, which has to begin with this line.
pub fn attach(fixture: &ServerFixture, line: &str) -> PeerConnection {
    let engine = fixture.engine.link();
    engine.accept_attach(line);
    engine
}

/// Sends a request, which has to be run next; returns its attempt id.
pub fn start_run(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, class: &str) -> String {
    let id = gateway.call(tag, class, b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
    id
}

/// Ends a run with the engine's notice of this number; its result has to be the next response.
pub fn finish_run(gateway: &mut Gateway, engine: &PeerConnection, number: u64, id: &str) {
    engine.send_done(number, id, b"y");
    let answer = gateway.response();
    assert_eq!((answer.status.as_str(), answer.body.as_slice()), ("OK", &b"y"[..]));
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

/// Expects a goodbye as the next message.
pub fn expect_goodbye(gateway: &mut Gateway) {
    let goodbye = gateway.response();
    assert_eq!((goodbye.tag, goodbye.status.as_str()), (0, "BYE"));
}

/// A gateway that has had a response and is idle.
pub fn idle_gateway(fixture: &ServerFixture) -> Gateway {
    let mut gateway = fixture.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
    gateway
}
