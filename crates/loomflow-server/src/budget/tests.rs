use super::*;

fn config(sockets: u64, memory_mb: u64) -> Config {
    let text = serde_json::json!({"name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "seed": "1",
        "stop_ms": 1, "limits": {"sockets": sockets, "memory_mb": memory_mb}, "settings": {
            "Classes": [{"Effect": "safe", "HardLimit": 9, "OnTime": 3, "Points": 1}],
            "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8}, "Rules": {"FallMultiple": 5}}});
    Config::parse(&text.to_string()).unwrap()
}

#[test]
fn parts_stay_within_the_limits() {
    for (sockets, memory_mb) in [(384, 32), (512, 48), (1024, 192)] {
        let budget = Budget::new(&config(sockets, memory_mb), None, false);
        assert!(
            budget.max_gateway_connections + budget.max_ledger_connections + RESERVED_DESCRIPTORS
                <= sockets as usize
        );
        assert!(budget.gateway_connections_near_capacity >= sockets as usize / 2);
        let server_bytes = budget.max_unwritten_bytes
            + budget.max_result_bytes
            + budget.max_idempotency_entries * IDEMPOTENCY_ENTRY_BYTES
            + budget.max_requests * REQUEST_BYTES
            + budget.max_started_attempts * STARTED_ATTEMPT_BYTES;
        assert!(budget.max_started_attempts > budget.max_requests);
        assert!(server_bytes <= memory_mb as usize * 1024 * 1024 / 2);
        let broker = budget.for_broker(64 * 1024);
        let broker_bytes = broker.max_in_flight * 3 * 64 * 1024
            + broker.max_records * IDEMPOTENCY_ENTRY_BYTES
            + broker.max_reply_bytes
            + broker.max_retired_keys * RETIRED_KEY_BYTES;
        let max_bytes = memory_mb as usize * 1024 * 1024 / 4 * 3;
        assert!(broker.max_in_flight > 1 && server_bytes + broker_bytes <= max_bytes);
    }
}

#[test]
fn lower_limit_on_descriptors_applies() {
    let config = config(1024, 192);
    let limited = Budget::new(&config, Some(128), false);
    assert!(
        limited.max_gateway_connections + limited.max_ledger_connections + RESERVED_DESCRIPTORS <= 128,
        "{limited:?}"
    );
    assert_eq!(Budget::new(&config, Some(1024), false), Budget::new(&config, None, false));
    assert_eq!(Budget::new(&config, Some(4096), false), Budget::new(&config, None, false));
}

#[test]
fn a_fleet_has_descriptors_of_its_own() {
    let config = config(1024, 192);
    let (alone, member) = (Budget::new(&config, None, false), Budget::new(&config, None, true));
    assert_eq!(alone.max_gateway_connections - member.max_gateway_connections, FLEET_DESCRIPTORS);
    assert!(member.max_gateway_connections >= 512);
}
