//! Starts a server with a given number of connections and tenants among test servers.

use std::path::Path;
use std::time::Duration;

use loomflow_test_servers::{AutonomousEngine, Gateway, ServerFixture, health, site};
use serde_json::{Value, json};

/// Timeout of a request, ms: far longer than any request of these measurements takes.
const HARD_LIMIT_MS: f64 = 20_000.0;
/// Idle timeout of connections, ms: longer than a measurement takes.
const IDLE_MS: f64 = 3_600_000.0;
/// Number of cores of the test engine.
const ENGINE_CORES: usize = 4;
/// Duration of one run of the test engine.
const RUN: Duration = Duration::from_millis(2);

/// Size for which a server is configured.
#[derive(Clone, Copy)]
pub struct Size {
    pub connections: usize,
    pub tenants: usize,
    /// Time between two batches, ms (`settings.Period`).
    pub period_ms: f64,
}

/// A server that is in service, and its engine.
pub struct Server {
    pub fixture: ServerFixture,
    _engine: AutonomousEngine,
}

/// Starts a test engine; every server of these measurements has its own.
pub fn engine() -> AutonomousEngine {
    AutonomousEngine::start(ENGINE_CORES, RUN)
}

/// Starts a server that is configured for `size`.
pub fn start(program: &Path, size: Size) -> Server {
    let engine = engine();
    let mut fixture = ServerFixture::new(site(HARD_LIMIT_MS));
    program.clone_into(&mut fixture.program);
    fixture.config["limits"]["sockets"] = sockets_for(size.connections).into();
    fixture.config["settings"]["Domain"]["Idle"] = IDLE_MS.into();
    fixture.config["settings"]["Period"] = size.period_ms.into();
    fixture.config["settings"]["Orgs"] = tenants(size.tenants);
    fixture.serve_with(&engine);
    Server { fixture, _engine: engine }
}

/// Settings of `count` tenants. The first one is the tenant of the test servers' requests.
pub fn tenants(count: usize) -> Value {
    (0..count).map(|at| json!({"Name": tenant_name(at), "QuotaPerS": 4.0})).collect()
}

pub fn tenant_name(at: usize) -> String {
    if at == 0 { "acme".into() } else { format!("tenant-{at:05}") }
}

/// Value of `limits.sockets` with which a server keeps `connections` idle connections open. An eighth of the sockets is
/// for the ledger, and 24 are for the server itself. The server closes idle connections that exceed three quarters of
/// the rest.
pub fn sockets_for(connections: usize) -> usize {
    let spare = 64;
    let gateways = (connections + spare) * 4 / 3;
    (gateways + 24) * 8 / 7 + 8
}

/// Opens connections and sends one health check on each, so that the server keeps them open.
pub fn open_idle(fixture: &ServerFixture, count: usize) -> Vec<Gateway> {
    let open = |_| {
        let mut gateway = fixture.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
        gateway
    };
    (0..count).map(open).collect()
}
