use super::MemoryAccount;
use crate::interface::Settings;

fn account() -> MemoryAccount {
    MemoryAccount::new(&Settings {
        memory_kb: 1000.0,
        key_kb: 10.0,
        run_memory_factor: 8.0,
        cores: 2.0,
        ..Settings::default()
    })
}

#[test]
fn reserve_of_two_largest_requests_per_core_is_left_free() {
    let mut memory = account();
    memory.record_size(50.0);
    assert!(!memory.would_exceed(800.0, 0));
    assert!(memory.would_exceed(801.0, 0));
}

#[test]
fn queued_requests_runs_and_keys_are_counted() {
    let mut memory = account();
    memory.add_queued(20.0);
    memory.add_queued(30.0);
    memory.start_run(30.0);
    // In KB: 20 queued, 8 * 30 running and 4 keys of 10, out of 1000.
    assert!(!memory.would_exceed(700.0, 4));
    assert!(memory.would_exceed(701.0, 4));
    memory.remove_running(30.0);
    memory.remove_queued(20.0);
    assert!(!memory.would_exceed_with_key(99));
    assert!(memory.would_exceed_with_key(100));
    assert_eq!(memory.needed_for_run(10.0), 70.0);
}
