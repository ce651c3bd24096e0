//! Reports of a server process to a control plane that is down, slow or closes its connections, that rejects reports, or
//! whose response never ends.

mod common;

use common::*;
use loomflow_test_servers::*;

#[test]
fn reports_continue_when_the_control_plane_is_slow_disconnects_or_rejects() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let report = "PUT /v2/endpoints/n3 HTTP/1.1 {\"condition\":\"Ready\"}";
    assert_eq!(fixture.control.report(), report);
    for answer in
        ["", "HTTP/1.1 20", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "no HTTP at all\r\n\r\n"]
    {
        fixture.control.set_response(answer);
        fixture.control.discard_reports();
        assert_eq!(fixture.control.report(), report);
        assert_eq!(fixture.control.report(), report);
    }
    fixture.control.set_response("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(fixture.control.report(), report);
    assert!(fixture.is_running());
}

#[test]
fn a_control_plane_that_was_down_is_reconnected_without_affecting_service() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    // An address that refuses connections.
    let down = fixture.ledger.address;
    fixture.config["control"] = down.to_string().into();
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    std::thread::sleep(QUIET_PERIOD);
    let mut gateway = fixture.gateway();
    serve_request(&mut gateway, &engine, 1, "read", 1);
    let control = Control::at(std::net::TcpListener::bind(down).expect("its address"));
    expect_ready_report(&control);
}

/// Each read brings a part of the response, which never ends: the timeout is that of the whole exchange.
#[test]
fn an_endless_response_of_the_control_plane_blocks_neither_reload_nor_shutdown() {
    for endless_response in ["HTTP/1.1 102 Processing\r\n\r\n", "H"] {
        let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
        let endless = Control::start_endless(endless_response);
        fixture.config["control"] = endless.address.to_string().into();
        fixture.start(SERVE);
        let _engine = attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        endless.report();
        // The next report is sent on another connection.
        endless.report();
        let _former_peers = fixture.move_peers();
        fixture.signal("HUP");
        expect_ready_report(&fixture.control);
        fixture.terminate();
        assert_eq!(fixture.exit_code(), Some(0));
    }
}
