//! Shared parts of the test servers: timeouts, loopback addresses and the settings of a small site.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

/// How long a test server waits for something that must happen. Only failures take this long.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test server waits to see that something does not happen.
pub const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// A free loopback address.
pub fn loopback_address() -> SocketAddr {
    let listener = loopback_listener();
    let address = listener.local_addr().expect("an address");
    release(listener);
    address
}

/// Ends a listener: from here on nobody can connect to it.
///
/// Closing it does not suffice. A child process that another thread is just starting has copies of all descriptors until it
/// executes its program, and until then the system accepts connections, which are reset when the last copy is closed.
pub fn release(listener: TcpListener) {
    socket2::SockRef::from(&listener).shutdown(Shutdown::Read).expect("it listens no longer");
    drop(listener);
}

/// A listener on a free loopback address.
pub fn loopback_listener() -> TcpListener {
    // Each test process and each server in it has its own address, so that tests do not interfere.
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = [127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8];
    TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("an address")
}

/// Settings of a class with a timeout of `limit` ms.
pub fn class(name: &str, effect: &str, limit: f64) -> Value {
    json!({"Name": name, "Effect": effect, "HardLimit": limit, "OnTime": limit / 2.0, "Points": 1.0,
        "Window": 5000.0})
}

/// A site with one class of each idempotency, all with downstream calls.
pub fn site(limit: f64) -> Value {
    json!({
        "Classes": [class("read", "safe", limit), class("pay", "unsafe", limit), class("book", "keyed", limit)],
        "Orgs": [{"Name": "acme", "QuotaPerS": 1000.0}, {"Name": "other", "QuotaPerS": 1000.0}],
        "Domain": {"Cpus": 4, "HeapKb": 200_000.0, "RunMemFactor": 8.0, "KeyKb": 1.0, "Downstream": "tier",
            "CallsByClass": [true, true, true], "Halt": "off", "Say": "weight", "Heeded": 1000.0, "Idle": 15000.0,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"], "DeepChecks": true, "Fresh": 0.0},
        "Rules": {"FallMultiple": 5.0, "TipAfter": 2000.0, "DrainGrace": 1000.0, "AnswerSlack": 60.0,
            "Cold": 1000.0, "ColdShare": 0.5},
        "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000.0}, "Servers": 1, "Stage": 0, "Period": 5.0})
}
