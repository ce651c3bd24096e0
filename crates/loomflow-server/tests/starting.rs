//! The start: what a server does before everything it speaks with is there.

use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

/// In whatever order they come up: a request is run once the engine is there, and its call made once the ledger is.
#[test]
fn engine_ledger_and_control_plane_may_start_in_any_order() {
    for first in ["engine", "ledger", "control"] {
        let mut fixture = ServerFixture::new(site(LONG));
        let down = loopback_address();
        fixture.config["control"] = down.to_string().into();
        let mut ledger = (first == "ledger").then(|| fixture.ledger.open());
        let control = |down| Control::at(std::net::TcpListener::bind(down).expect("its address"));
        let mut reports = (first == "control").then(|| control(down));
        fixture.start("exec \"$0\" serve");
        let engine = fixture.engine.link();
        // Health is answered before anything is up; what cannot be decided on is given back.
        let mut gateway = fixture.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
        if first != "engine" {
            gateway.call(2, "pay", b"x");
            assert_eq!(gateway.response().status, "BUSY");
        }
        engine.accept_attach("ATTACH 0");
        fixture.wait_for_service();
        let id = gateway.call(3, "read", b"x");
        engine.expect("RUN");
        let ledger = ledger.take().unwrap_or_else(|| fixture.ledger.open());
        engine.send_need(1, &id, b"call");
        ledger.link().send_with_body(&format!("{id} posted"), b"ok");
        assert_eq!(engine.expect("FEED").word(1), id);
        engine.send_done(2, &id, b"y");
        assert_eq!(gateway.response().body, b"y");
        let reports = reports.take().unwrap_or_else(|| control(down));
        assert!(reports.report().ends_with("{\"condition\":\"Ready\"}"));
    }
}
