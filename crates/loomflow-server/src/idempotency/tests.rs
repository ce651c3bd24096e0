mod generated;

use super::*;

const MAX_RESULT_BYTES: usize = 1024 * 1024;
/// How long a request may be unread and still be run, ms.
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

/// Registers a request with an effect, read as it arrives.
fn receive(cache: &mut IdempotencyCache, id: RequestId, text: &str, now: f64) -> Registration {
    cache.register(id, request(text, false, b"x", now), now)
}

/// A cache with request 1, which was served and whose window ends at 100.
fn cache_with_served_request() -> IdempotencyCache {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    cache.complete(1, Completion::Served(b"r"));
    cache
}

#[test]
fn a_duplicate_finds_its_original_until_the_window_ends() {
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
fn a_duplicate_that_arrives_within_the_window_may_be_read_after_it() {
    let mut cache = cache_with_served_request();
    cache.expire(99.0 + MAX_READ_DELAY);
    assert_eq!(
        cache.register(2, request("a", false, b"x", 99.0), 99.0 + MAX_READ_DELAY),
        Registration::Duplicate(1)
    );
    assert_eq!(cache.register(2, request("a", false, b"x", 101.0), 101.0), Registration::New);
}

#[test]
fn a_duplicate_in_time_finds_its_original_behind_later_requests_with_the_key() {
    let mut cache = cache_with_served_request();
    // Two requests after the window, with other bodies; the first of them never ran.
    assert_eq!(cache.register(2, request("a", false, b"y", 101.0), 101.0), Registration::New);
    cache.retain(2, 102.0);
    assert_eq!(
        cache.register(3, request("a", false, b"z", 103.0), 103.0),
        Registration::BodyMismatch,
        "the second is in progress"
    );
    cache.complete(2, Completion::Failed);
    assert_eq!(cache.register(3, request("a", false, b"z", 103.0), 103.0), Registration::New);
    cache.retain(3, 203.0);
    let late = |cache: &mut IdempotencyCache| cache.register(4, request("a", false, b"x", 99.0), 110.0);
    assert_eq!(late(&mut cache), Registration::Duplicate(1));
    cache.remove(2);
    assert_eq!(late(&mut cache), Registration::Duplicate(1));
    cache.complete(3, Completion::NotRun);
    assert_eq!(late(&mut cache), Registration::Duplicate(1));
    assert_eq!(cache.join(4, Some(1)), CachedResult::Served(b"r".into()));
}

#[test]
fn a_request_in_progress_outlives_its_window_and_serves_its_waiters() {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    receive(&mut cache, 2, "a", 50.0);
    cache.join(2, Some(1));
    cache.expire(200.0);
    // A request in progress is not run a second time, whatever its window.
    assert_eq!(receive(&mut cache, 3, "a", 200.0), Registration::Duplicate(1));
    assert_eq!(cache.complete(1, Completion::Served(b"r")), [2]);
    cache.expire(200.0);
    assert!(cache.entries.is_empty());
}

#[test]
fn after_a_failure_an_idempotent_request_may_run_again_and_another_may_not() {
    for (safe, found) in [(true, Registration::New), (false, Registration::Duplicate(1))] {
        let mut cache = cache();
        cache.register(1, request("a", safe, b"x", 0.0), 0.0);
        cache.retain(1, 100.0);
        cache.complete(1, Completion::Failed);
        assert_eq!(cache.register(2, request("a", safe, b"x", 1.0), 1.0), found);
    }
}

#[test]
fn a_request_that_did_not_run_leaves_no_entry() {
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
fn the_same_text_under_another_tenant_or_class_is_another_key() {
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
fn another_body_under_the_same_key_is_a_mismatch() {
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
    // Reads are identified by their subject, whatever their body.
    cache.register(3, request("b", true, b"x", 1.0), 1.0);
    assert_eq!(cache.register(4, request("b", true, b"y", 1.0), 1.0), Registration::Duplicate(3));
}

#[test]
fn results_are_bounded_and_the_oldest_are_discarded_first() {
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
fn a_full_cache_evicts_reads_and_rejects_requests_rather_than_forget_an_effect() {
    let mut cache = IdempotencyCache::new(MAX_RESULT_BYTES, 3);
    cache.register(1, request("read", true, b"x", 0.0), 0.0);
    for (id, text) in [(2, "open"), (3, "over")] {
        receive(&mut cache, id, text, 0.0);
    }
    for id in 1..=3 {
        cache.retain(id, 100.0);
    }
    cache.complete(3, Completion::Served(b"r"));
    receive(&mut cache, 4, "open", 0.0);
    assert_eq!(cache.join(4, Some(2)), CachedResult::InProgress);
    // The read is in progress, so it is not evicted.
    assert_eq!(receive(&mut cache, 5, "new", 0.0), Registration::CacheFull);
    cache.complete(1, Completion::Served(b"r"));
    assert_eq!(receive(&mut cache, 5, "new", 0.0), Registration::New);
    assert_eq!(receive(&mut cache, 6, "newer", 0.0), Registration::CacheFull);
    assert_eq!(receive(&mut cache, 7, "over", 0.0), Registration::Duplicate(3));
    assert_eq!(cache.complete(2, Completion::Served(b"r")), [4]);
    cache.complete(5, Completion::Failed);
    assert_eq!(receive(&mut cache, 6, "newer", 0.0), Registration::New);
    assert!(cache.entries.len() <= 3);
}
