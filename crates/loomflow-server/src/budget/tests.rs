use super::*;

fn config(sockets: u64, memory_mb: u64) -> Config {
    let text = serde_json::json!({"name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "seed": "1",
        "stop_ms": 1, "limits": {"sockets": sockets, "memory_mb": memory_mb}, "settings": {
            "Classes": [{"Effect": "safe", "HardLimit": 9, "OnTime": 3, "Points": 1}],
            "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8}, "Rules": {"FallMultiple": 5}}});
    Config::parse(&text.to_string()).unwrap()
}

#[test]
fn all_parts_together_stay_within_the_limits_and_half_the_descriptors_are_for_gateways() {
    for (sockets, memory_mb) in [(384, 32), (512, 48), (1024, 192)] {
        let budget = Budget::new(&config(sockets, memory_mb), None);
        assert!(budget.gateways + budget.ledger + RESERVED_DESCRIPTORS <= sockets as usize);
        assert!(budget.gateways_near_capacity >= sockets as usize / 2);
        let all = budget.unwritten_bytes
            + budget.result_bytes
            + budget.idempotency_entries * IDEMPOTENCY_ENTRY_BYTES
            + budget.requests * REQUEST_BYTES;
        assert!(all <= memory_mb as usize * 1024 * 1024 / 2);
        let broker = budget.for_broker(64 * 1024);
        let more = broker.in_flight * 3 * 64 * 1024
            + broker.records * IDEMPOTENCY_ENTRY_BYTES
            + broker.reply_bytes
            + broker.retired_keys * RETIRED_KEY_BYTES;
        assert!(broker.in_flight > 1 && all + more <= memory_mb as usize * 1024 * 1024 / 4 * 3);
    }
}

#[test]
fn the_systems_limit_on_open_files_counts_where_it_is_the_lower_one() {
    let config = config(1024, 192);
    let limited = Budget::new(&config, Some(128));
    assert!(limited.gateways + limited.ledger + RESERVED_DESCRIPTORS <= 128, "{limited:?}");
    assert_eq!(Budget::new(&config, Some(1024)), Budget::new(&config, None));
    assert_eq!(Budget::new(&config, Some(4096)), Budget::new(&config, None));
}
