mod generated;

use super::*;

const MAX_RESULT_BYTES: usize = 1024 * 1024;
/// How long after its arrival a request may be read and still run, ms.
const MAX_READ_DELAY: f64 = 30.0;

fn cache() -> IdempotencyCache {
    IdempotencyCache::new(MAX_RESULT_BYTES, 100)
}

fn request<'a>(text: &str, is_idempotent: bool, body: &'a [u8], arrived_at: f64) -> KeyedRequest<'a> {
    KeyedRequest {
        key: IdempotencyKey { class: 0, tenant: 0, text: text.into() },
        is_idempotent,
        body,
        arrived_at,
        max_read_delay: MAX_READ_DELAY,
    }
}

/// Registers a request with an effect that is read as soon as it arrives.
fn receive(cache: &mut IdempotencyCache, id: RequestId, text: &str, now: f64) -> Registration {
    cache.register(id, request(text, false, b"x", now), now)
}

/// A cache with request 1, which has key "a" and body "x", was served, and whose window ends at 100 ms.
fn cache_with_served_request() -> IdempotencyCache {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    cache.complete(1, Completion::Served(b"r"));
    cache
}

#[test]
fn duplicate_has_original_until_window_ends() {
    let mut cache = cache();
    assert_eq!(receive(&mut cache, 1, "a", 0.0), Registration::New);
    cache.retain(1, 100.0);
    assert_eq!(receive(&mut cache, 2, "a", 50.0), Registration::Duplicate(1));
    assert_eq!(cache.join(2, Some(1)), CachedResult::InProgress);
    assert_eq!(cache.complete(1, Completion::Served(b"r")), [2]);
    assert_eq!(receive(&mut cache, 3, "a", 99.0), Registration::Duplicate(1));
    assert_eq!(cache.join(3, Some(1)), CachedResult::Served(b"r".into()));
    assert_eq!(receive(&mut cache, 4, "a", 101.0), Registration::New);
    cache.expire(101.0 + MAX_READ_DELAY);
    assert_eq!((cache.results.bytes(), cache.entries.len()), (0, 1));
}

#[test]
fn duplicate_within_window_may_be_read_later() {
    let mut cache = cache_with_served_request();
    cache.expire(99.0 + MAX_READ_DELAY);
    assert_eq!(
        cache.register(2, request("a", false, b"x", 99.0), 99.0 + MAX_READ_DELAY),
        Registration::Duplicate(1)
    );
    assert_eq!(cache.register(2, request("a", false, b"x", 101.0), 101.0), Registration::New);
}

#[test]
fn late_read_duplicate_has_original_despite_newer_requests() {
    let mut cache = cache_with_served_request();
    // Requests 2 and 3 arrive after the window, with other bodies. Neither is the original of a request from within it.
    assert_eq!(cache.register(2, request("a", false, b"y", 101.0), 101.0), Registration::New);
    cache.retain(2, 102.0);
    assert_eq!(
        cache.register(3, request("a", false, b"z", 103.0), 103.0),
        Registration::BodyMismatch,
        "request 2 is in progress with another body"
    );
    cache.complete(2, Completion::Failed);
    assert_eq!(cache.register(3, request("a", false, b"z", 103.0), 103.0), Registration::New);
    cache.retain(3, 203.0);
    let register_late =
        |cache: &mut IdempotencyCache| cache.register(4, request("a", false, b"x", 99.0), 110.0);
    assert_eq!(register_late(&mut cache), Registration::Duplicate(1));
    cache.remove(2);
    assert_eq!(register_late(&mut cache), Registration::Duplicate(1));
    cache.complete(3, Completion::NotRun);
    assert_eq!(register_late(&mut cache), Registration::Duplicate(1));
    assert_eq!(cache.join(4, Some(1)), CachedResult::Served(b"r".into()));
}

#[test]
fn request_in_progress_outlives_its_window() {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    receive(&mut cache, 2, "a", 50.0);
    cache.join(2, Some(1));
    cache.expire(200.0);
    // Request 1 is in progress, so a duplicate after its window does not run either.
    assert_eq!(receive(&mut cache, 3, "a", 200.0), Registration::Duplicate(1));
    assert_eq!(cache.complete(1, Completion::Served(b"r")), [2]);
    cache.expire(200.0);
    assert!(cache.entries.is_empty());
}

#[test]
fn only_idempotent_request_runs_again_after_failure() {
    for (is_idempotent, expected) in [(true, Registration::New), (false, Registration::Duplicate(1))] {
        let mut cache = cache();
        cache.register(1, request("a", is_idempotent, b"x", 0.0), 0.0);
        cache.retain(1, 100.0);
        cache.complete(1, Completion::Failed);
        assert_eq!(cache.register(2, request("a", is_idempotent, b"x", 1.0), 1.0), expected);
    }
}

#[test]
fn request_that_did_not_run_is_removed() {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.complete(1, Completion::Failed);
    assert_eq!(receive(&mut cache, 2, "a", 1.0), Registration::New);
    cache.retain(2, 100.0);
    cache.remove(2);
    assert_eq!(receive(&mut cache, 3, "a", 1.0), Registration::New);
    cache.retain(3, 100.0);
    receive(&mut cache, 4, "a", 1.0);
    cache.join(4, Some(3));
    assert_eq!(cache.complete(3, Completion::NotRun), [4]);
    assert_eq!((cache.entries.len(), cache.expiries.len(), cache.newest_by_key.len()), (0, 0, 0));
}

#[test]
fn keys_differ_by_tenant_and_class() {
    let mut cache = cache_with_served_request();
    for (id, class, tenant) in [(2, 0, 1), (3, 1, 0)] {
        let key = IdempotencyKey { class, tenant, text: "a".into() };
        assert_eq!(
            cache.register(id, KeyedRequest { key, ..request("a", false, b"x", 1.0) }, 1.0),
            Registration::New
        );
    }
}

#[test]
fn other_body_with_same_key_is_a_mismatch() {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    for is_finished in [false, true] {
        if is_finished {
            cache.complete(1, Completion::Served(b"r"));
        }
        assert_eq!(cache.register(2, request("a", false, b"y", 1.0), 1.0), Registration::BodyMismatch);
        assert_eq!(cache.register(2, request("a", false, b"x", 1.0), 1.0), Registration::Duplicate(1));
    }
    // Reads are identified by their key alone, whatever their body.
    cache.register(3, request("b", true, b"x", 1.0), 1.0);
    assert_eq!(cache.register(4, request("b", true, b"y", 1.0), 1.0), Registration::Duplicate(3));
}

#[test]
fn oldest_results_are_evicted_beyond_the_bound() {
    let mut cache = cache();
    let large = vec![0; MAX_RESULT_BYTES / 4];
    for id in 1..=5 {
        receive(&mut cache, id, &id.to_string(), 0.0);
        cache.retain(id, 1e9);
        cache.complete(id, Completion::Served(&large));
    }
    assert!(cache.results.bytes() <= MAX_RESULT_BYTES);
    assert_eq!(cache.join(9, Some(1)), CachedResult::Unavailable);
    assert_eq!(cache.join(9, Some(5)), CachedResult::Served(large));
}

#[test]
fn full_cache_evicts_only_finished_reads() {
    let mut cache = IdempotencyCache::new(MAX_RESULT_BYTES, 3);
    cache.register(1, request("read", true, b"x", 0.0), 0.0);
    for (id, text) in [(2, "running"), (3, "finished")] {
        receive(&mut cache, id, text, 0.0);
    }
    for id in 1..=3 {
        cache.retain(id, 100.0);
    }
    cache.complete(3, Completion::Served(b"r"));
    receive(&mut cache, 4, "running", 0.0);
    assert_eq!(cache.join(4, Some(2)), CachedResult::InProgress);
    // The read is in progress, so it is not evicted.
    assert_eq!(receive(&mut cache, 5, "new", 0.0), Registration::CacheFull);
    cache.complete(1, Completion::Served(b"r"));
    assert_eq!(receive(&mut cache, 5, "new", 0.0), Registration::New);
    assert_eq!(receive(&mut cache, 6, "newer", 0.0), Registration::CacheFull);
    assert_eq!(receive(&mut cache, 7, "finished", 0.0), Registration::Duplicate(3));
    assert_eq!(cache.complete(2, Completion::Served(b"r")), [4]);
    cache.complete(5, Completion::Failed);
    assert_eq!(receive(&mut cache, 6, "newer", 0.0), Registration::New);
    assert!(cache.entries.len() <= 3);
}
