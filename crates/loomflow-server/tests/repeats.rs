//! Repeated requests with an idempotency key: with another body, from another tenant, and after a request that never ran.

mod common;

use common::*;
use loomflow_test_servers::*;

/// Sends a `book` request of `tenant` with the idempotency key `k`.
fn call_keyed(gateway: &mut Gateway, tag: u64, tenant: &str, body: &[u8]) {
    let fields = fields(&next_attempt_id()).replace("owner=acme", &format!("owner={tenant}"));
    gateway.send(&call(tag, "book", &format!("{fields},opkey=k"), body));
}

#[test]
fn a_key_with_a_different_body_is_rejected() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let (mut first, mut other) = (fixture.gateway(), fixture.gateway());
    call_keyed(&mut first, 1, "acme", b"one");
    let id = expect_run(&engine);
    call_keyed(&mut other, 1, "acme", b"two");
    expect_status(&mut other, 1, "FAILED");
    engine.send_done(1, &id, b"booked");
    assert_eq!(first.response().body, b"booked");
    call_keyed(&mut other, 2, "acme", b"two");
    expect_status(&mut other, 2, "FAILED");
    // A repeat with the body of the first request gets the result of that request.
    call_keyed(&mut other, 3, "acme", b"one");
    assert_eq!(other.response().body, b"booked");
    engine.expect_quiet();
}

#[test]
fn keys_are_distinct_per_tenant() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    for (tag, tenant) in [(1, "acme"), (2, "other")] {
        call_keyed(&mut gateway, tag, tenant, b"x");
        let id = expect_run(&engine);
        engine.send_done(tag, &id, tenant.as_bytes());
        assert_eq!(gateway.response().body, tenant.as_bytes());
    }
    for (tag, tenant) in [(3, "acme"), (4, "other")] {
        call_keyed(&mut gateway, tag, tenant, b"x");
        assert_eq!(gateway.response().body, tenant.as_bytes());
    }
    engine.expect_quiet();
}

#[test]
fn a_repeat_runs_if_the_first_request_never_ran() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    call_keyed(&mut gateway, 1, "acme", b"x");
    let id = expect_run(&engine);
    call_keyed(&mut gateway, 2, "acme", b"x");
    gateway.expect_quiet();
    engine.send_with_body(&format!("DONE 1 {id} late 0"), b"");
    let responses = responses_by_tag(&mut gateway, 2);
    assert_eq!((responses[0].status.as_str(), responses[1].status.as_str()), ("FAILED", "BUSY"));
    call_keyed(&mut gateway, 3, "acme", b"x");
    let id = expect_run(&engine);
    engine.send_done(2, &id, b"booked");
    assert_eq!(gateway.response().body, b"booked");
}
