//! Repeats of requests, at the moments at which they could be taken for something else.

use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

/// A keyed request of a tenant, with its key.
fn keyed(owner: &str, key: &str) -> String {
    format!("{},opkey={key}", fields(&next_attempt_id()).replace("owner=acme", &format!("owner={owner}")))
}

fn refused_as_unfit(gateway: &mut Gateway, tag: u64) {
    let answer = gateway.response();
    assert_eq!((answer.tag, answer.status.as_str()), (tag, "FAILED"));
}

#[test]
fn a_key_with_a_different_body_is_rejected() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let (mut honest, mut other) = (fixture.gateway(), fixture.gateway());
    honest.send(&call(1, "book", &keyed("acme", "k"), b"one"));
    let id = engine.expect("RUN").word(1).to_owned();
    other.send(&call(1, "book", &keyed("acme", "k"), b"two"));
    refused_as_unfit(&mut other, 1);
    engine.send_done(1, &id, b"booked");
    assert_eq!(honest.response().body, b"booked");
    other.send(&call(2, "book", &keyed("acme", "k"), b"two"));
    refused_as_unfit(&mut other, 2);
    // The same once more is the same still.
    other.send(&call(3, "book", &keyed("acme", "k"), b"one"));
    assert_eq!(other.response().body, b"booked");
    engine.expect_quiet();
}

#[test]
fn the_same_key_of_another_tenant_is_distinct() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    for (tag, owner) in [(1, "acme"), (2, "other")] {
        gateway.send(&call(tag, "book", &keyed(owner, "k"), b"x"));
        let id = engine.expect("RUN").word(1).to_owned();
        engine.send_done(tag, &id, owner.as_bytes());
        assert_eq!(gateway.response().body, owner.as_bytes());
    }
    for (tag, owner) in [(3, "acme"), (4, "other")] {
        gateway.send(&call(tag, "book", &keyed(owner, "k"), b"x"));
        assert_eq!(gateway.response().body, owner.as_bytes());
    }
    engine.expect_quiet();
}

#[test]
fn a_repeat_of_a_request_that_never_ran_may_run() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    gateway.send(&call(1, "book", &keyed("acme", "k"), b"x"));
    let id = engine.expect("RUN").word(1).to_owned();
    gateway.send(&call(2, "book", &keyed("acme", "k"), b"x"));
    gateway.expect_quiet();
    engine.send_with_body(&format!("DONE 1 {id} late 0"), b"");
    let mut answers = [gateway.response(), gateway.response()];
    answers.sort_by_key(|answer| answer.tag);
    assert_eq!(answers.map(|answer| answer.status), ["FAILED", "BUSY"]);
    gateway.send(&call(3, "book", &keyed("acme", "k"), b"x"));
    let id = engine.expect("RUN").word(1).to_owned();
    engine.send_done(2, &id, b"booked");
    assert_eq!(gateway.response().body, b"booked");
}
