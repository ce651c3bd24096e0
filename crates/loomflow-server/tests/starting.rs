//! Startup of a server process before its engine, ledger or control plane: its responses until they are available, and
//! that they may become available in any order.

mod common;

use std::net::TcpListener;

use common::*;
use loomflow_test_servers::*;

/// A request is run as soon as the engine is connected, and its call is made as soon as the ledger listens.
#[test]
fn peers_may_start_in_any_order() {
    for first in ["engine", "ledger", "control"] {
        let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
        let control_address = loopback_address();
        fixture.config["control"] = control_address.to_string().into();
        let mut ledger = (first == "ledger").then(|| fixture.ledger.open());
        let start_control = |address| Control::at(TcpListener::bind(address).expect("the address is free"));
        let mut control = (first == "control").then(|| start_control(control_address));
        fixture.start(SERVE);
        let engine = fixture.engine.link();
        // Health checks are answered before the engine is connected; requests are rejected.
        let mut gateway = fixture.gateway();
        check_health(&mut gateway, 1);
        if first != "engine" {
            gateway.call(2, "pay", b"x");
            expect_status(&mut gateway, 2, "BUSY");
        }
        engine.accept_attach("ATTACH 0");
        fixture.wait_for_service();
        let id = gateway.call(3, "read", b"x");
        engine.expect("RUN");
        let ledger = ledger.take().unwrap_or_else(|| fixture.ledger.open());
        engine.send_need(1, &id, b"call");
        ledger.link().send_with_body(&format!("{id} posted"), b"ok");
        assert_eq!(engine.expect("FEED").word(1), id);
        finish_run(&mut gateway, &engine, 2, &id);
        let control = control.take().unwrap_or_else(|| start_control(control_address));
        expect_ready_report(&control);
    }
}
