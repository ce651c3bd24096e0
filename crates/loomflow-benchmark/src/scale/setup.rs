//! Servers of a given size among test servers.

use std::path::Path;
use std::time::Duration;

use loomflow_test_servers::{AutonomousEngine, Gateway, ServerFixture, health, site};
use serde_json::{Value, json};

/// Timeout of a request, ms: far more than anything here takes.
const HARD_LIMIT_MS: f64 = 20_000.0;
/// Connections are kept for longer than a measurement takes, ms.
const IDLE_MS: f64 = 3_600_000.0;
/// The engine's cores and the time of one run.
const ENGINE_CORES: usize = 4;
const RUN: Duration = Duration::from_millis(2);

/// Size of a server's surroundings.
#[derive(Clone, Copy)]
pub struct Size {
    pub connections: usize,
    pub tenants: usize,
    /// Time between two batches, ms (`settings.Period`).
    pub period_ms: f64,
}

/// A server that serves, and the engine that it sends its runs to.
pub struct Server {
    pub fixture: ServerFixture,
    _worker: AutonomousEngine,
}

/// The test server of an engine, as every server here has one.
pub fn engine() -> AutonomousEngine {
    AutonomousEngine::start(ENGINE_CORES, RUN)
}

/// Starts a server of that size.
pub fn start(program: &Path, size: Size) -> Server {
    let worker = engine();
    let mut fixture = ServerFixture::new(site(HARD_LIMIT_MS));
    program.clone_into(&mut fixture.program);
    fixture.config["limits"]["sockets"] = sockets_for(size.connections).into();
    fixture.config["settings"]["Domain"]["Idle"] = IDLE_MS.into();
    fixture.config["settings"]["Period"] = size.period_ms.into();
    fixture.config["settings"]["Orgs"] = tenants(size.tenants);
    fixture.serve_with(&worker);
    Server { fixture, _worker: worker }
}

/// So many tenants, the first of which is the one of the test servers' requests.
pub fn tenants(count: usize) -> Value {
    (0..count).map(|at| json!({"Name": tenant_name(at), "QuotaPerS": 4.0})).collect()
}

pub fn tenant_name(at: usize) -> String {
    if at == 0 { "acme".into() } else { format!("tenant-{at:05}") }
}

/// `limits.sockets` with which a server retains so many idle connections: it closes those that exceed three quarters
/// of what is left after an eighth for the ledger and 24 for itself.
pub fn sockets_for(connections: usize) -> usize {
    let spare = 64;
    let gateways = (connections + spare) * 4 / 3;
    (gateways + 24) * 8 / 7 + 8
}

/// Opens connections that have sent one health check, so that the server retains them.
pub fn open_idle(fixture: &ServerFixture, count: usize) -> Vec<Gateway> {
    let open = |_| {
        let mut gateway = fixture.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
        gateway
    };
    (0..count).map(open).collect()
}
