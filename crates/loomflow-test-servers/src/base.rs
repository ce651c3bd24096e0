//! Timeouts, loopback addresses and the settings of a small site, for all test servers.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

/// Timeout of waits for events that must occur. Only a failing test takes this long.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test waits before it concludes that an event does not occur.
pub const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Returns a loopback address on which nothing listens.
pub fn loopback_address() -> SocketAddr {
    let listener = loopback_listener();
    let address = listener.local_addr().expect("the listener has a local address");
    release(listener);
    address
}

/// Closes a listener so that its address refuses connections immediately.
///
/// Closing the descriptor alone does not suffice: a child process that another thread is starting holds copies of all
/// descriptors until it executes its program. Until then the kernel accepts connections, which are reset when the last copy
/// is closed.
pub fn release(listener: TcpListener) {
    socket2::SockRef::from(&listener).shutdown(Shutdown::Read).expect("the listener shuts down");
    drop(listener);
}

/// Binds a listener to a free loopback address.
pub fn loopback_listener() -> TcpListener {
    // The process id and a counter determine the host, so that each test process and each server in it has an address of
    // its own and tests do not interfere.
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = [127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8];
    TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("a free loopback port")
}

/// Returns the settings of a class with a timeout of `timeout_ms` and a latency objective of half of it.
pub fn class(name: &str, effect: &str, timeout_ms: f64) -> Value {
    json!({"Name": name, "Effect": effect, "HardLimit": timeout_ms, "OnTime": timeout_ms / 2.0,
        "Points": 1.0, "Window": 5000.0})
}

/// Returns settings with one class of each idempotency, all with a timeout of `timeout_ms` and with downstream calls, and
/// with two tenants.
pub fn site(timeout_ms: f64) -> Value {
    json!({
        "Classes": [class("read", "safe", timeout_ms), class("pay", "unsafe", timeout_ms),
            class("book", "keyed", timeout_ms)],
        "Orgs": [{"Name": "acme", "QuotaPerS": 1000.0}, {"Name": "other", "QuotaPerS": 1000.0}],
        "Domain": {"Cpus": 4, "HeapKb": 200_000.0, "RunMemFactor": 8.0, "KeyKb": 1.0, "Downstream": "tier",
            "CallsByClass": [true, true, true], "Halt": "off", "Say": "weight", "Heeded": 1000.0, "Idle": 15000.0,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"], "DeepChecks": true, "Fresh": 0.0},
        "Rules": {"FallMultiple": 5.0, "TipAfter": 2000.0, "DrainGrace": 1000.0, "AnswerSlack": 60.0,
            "Cold": 1000.0, "ColdShare": 0.5},
        "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000.0}, "Servers": 1, "Stage": 0, "Period": 5.0})
}
