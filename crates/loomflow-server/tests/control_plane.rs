//! Reports of a server process to a control plane that is down, is slow, closes connections, rejects reports, or sends a
//! response without an end.

mod common;

use common::*;
use loomflow_test_servers::*;

#[test]
fn reports_continue_after_control_plane_faults() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let report = "PUT /v2/endpoints/n3 HTTP/1.1 {\"condition\":\"Ready\"}";
    assert_eq!(fixture.control.report(), report);
    for response in
        ["", "HTTP/1.1 20", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "no HTTP at all\r\n\r\n"]
    {
        fixture.control.set_response(response);
        fixture.control.discard_reports();
        assert_eq!(fixture.control.report(), report);
        assert_eq!(fixture.control.report(), report);
    }
    fixture.control.set_response("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(fixture.control.report(), report);
    assert!(fixture.is_running());
}

#[test]
fn a_control_plane_outage_does_not_affect_service() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    // Nobody listens at this address, so connections are refused.
    let address = fixture.ledger.address;
    fixture.config["control"] = address.to_string().into();
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    std::thread::sleep(QUIET_PERIOD);
    let mut gateway = fixture.gateway();
    serve_request(&mut gateway, &engine, 1, "read", 1);
    let control = Control::at(std::net::TcpListener::bind(address).expect("the address is free"));
    expect_ready_report(&control);
}

/// Every read returns more of a response that never ends, so the timeout must apply to the whole exchange, not to a read.
#[test]
fn an_endless_report_response_does_not_block_reload_or_shutdown() {
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
