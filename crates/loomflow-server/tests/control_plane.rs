//! Reports to a control plane that is down, slow, breaks off, says no, or never comes to an end.

mod common;

use common::{attach, finish_run, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

#[test]
fn reports_continue_when_the_control_plane_is_slow_disconnects_or_rejects() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG));
    let good = "PUT /v2/endpoints/n3 HTTP/1.1 {\"condition\":\"Ready\"}";
    assert_eq!(fixture.control.report(), good);
    for answer in
        ["", "HTTP/1.1 20", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "no HTTP at all\r\n\r\n"]
    {
        fixture.control.answers(answer);
        fixture.control.forget();
        assert_eq!(fixture.control.report(), good);
        assert_eq!(fixture.control.report(), good);
    }
    fixture.control.answers("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(fixture.control.report(), good);
    assert!(fixture.is_running());
}

#[test]
fn a_control_plane_that_was_down_is_reconnected_without_affecting_service() {
    let mut fixture = ServerFixture::new(site(LONG));
    let closed = fixture.ledger.address;
    fixture.config["control"] = closed.to_string().into();
    fixture.start("exec \"$0\" serve");
    let engine = attach(&fixture, "ATTACH 0");
    std::thread::sleep(QUIET_PERIOD);
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    finish_run(&mut gateway, &engine, 1, &id);
    let control = Control::at(std::net::TcpListener::bind(closed).expect("its address"));
    assert!(control.report().ends_with("{\"condition\":\"Ready\"}"));
}

/// Each read of the answer brings something, and the answer never ends: the limit is on the whole exchange.
#[test]
fn an_endless_response_of_the_control_plane_blocks_neither_reload_nor_shutdown() {
    for forever in ["HTTP/1.1 102 Processing\r\n\r\n", "H"] {
        let mut fixture = ServerFixture::new(site(LONG));
        let endless = Control::endless(forever);
        fixture.config["control"] = endless.address.to_string().into();
        fixture.start("exec \"$0\" serve");
        let _engine = attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        endless.report();
        // Reports go on there, on connections of their own.
        endless.report();
        let _old = fixture.move_peers();
        fixture.signal("HUP");
        assert!(fixture.control.report().ends_with("{\"condition\":\"Ready\"}"));
        fixture.terminate();
        assert_eq!(fixture.exit_code(), Some(0));
    }
}
