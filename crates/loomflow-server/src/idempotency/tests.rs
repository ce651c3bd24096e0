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
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    cache.complete(1, Completion::Served(b"r"));
    cache.expire(99.0 + MAX_READ_DELAY);
    assert_eq!(
        cache.register(2, request("a", false, b"x", 99.0), 99.0 + MAX_READ_DELAY),
        Registration::Duplicate(1)
    );
    assert_eq!(cache.register(2, request("a", false, b"x", 101.0), 101.0), Registration::New);
}

#[test]
fn a_duplicate_in_time_finds_its_original_behind_later_requests_with_the_key() {
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    cache.complete(1, Completion::Served(b"r"));
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
    let mut cache = cache();
    receive(&mut cache, 1, "a", 0.0);
    cache.retain(1, 100.0);
    cache.complete(1, Completion::Served(b"r"));
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

mod generated {
    use std::collections::BTreeSet;

    use proptest::prelude::*;

    use super::*;

    const WINDOW: f64 = 100.0;
    const ENTRIES: usize = 12;
    const BYTES: usize = 24;

    #[derive(Clone, Debug)]
    enum Step {
        /// A request with an effect is read so long after it arrived, ms.
        Receive {
            tenant: usize,
            text: u8,
            body: u8,
            read_delay: f64,
        },
        /// One of the requests in progress finishes.
        Finish {
            which: usize,
            how: u8,
        },
        Pass(f64),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            4 => (0..2_usize, 0..3_u8, 0..2_u8, 0.0..MAX_READ_DELAY)
                .prop_map(|(tenant, text, body, read_delay)| Step::Receive { tenant, text, body, read_delay }),
            3 => (0..8_usize, 0..4_u8).prop_map(|(which, how)| Step::Finish { which, how }),
            2 => (0.0..WINDOW).prop_map(Step::Pass),
        ]
    }

    /// A request that was registered as new.
    #[derive(Debug, PartialEq)]
    enum RunState {
        InProgress,
        WithoutResult,
        Finished(Vec<u8>),
    }

    struct Registered {
        id: RequestId,
        tenant: usize,
        text: u8,
        body: u8,
        /// The end of its window.
        window_end: f64,
        waiters: BTreeSet<RequestId>,
        state: RunState,
    }

    fn result(request: &Registered) -> Vec<u8> {
        vec![request.tenant as u8, request.text, request.body, request.id as u8]
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]

        /// In whatever order requests, duplicates and ends come: no effect twice within its window, no result for another
        /// tenant or body, no waiter forgotten, and no more entries and bytes than the bounds.
        #[test]
        fn no_order_runs_an_effect_twice_or_returns_the_result_of_another_request(steps in proptest::collection::vec(step(), 1..60)) {
            let mut cache = IdempotencyCache::new(BYTES, ENTRIES);
            let (mut all, mut now): (Vec<Registered>, f64) = (Vec::new(), 1_000.0);
            for (id, step) in (1..).zip(steps) {
                match step {
                    Step::Pass(span) => now += span,
                    Step::Receive { tenant, text, body, read_delay } => {
                        let (arrived_at, bytes) = (now - read_delay, [body]);
                        let key = IdempotencyKey { class: 0, tenant, text: text.to_string() };
                        let request = KeyedRequest { key, is_idempotent: false, body: &bytes, arrived_at, max_read_delay: MAX_READ_DELAY };
                        let registration = cache.register(id, request, now);
                        let mut same = all.iter_mut().filter(|t| {
                            (t.tenant, t.text) == (tenant, text) && (t.state == RunState::InProgress || t.window_end >= arrived_at)
                        });
                        match registration {
                            Registration::New => {
                                prop_assert!(same.next().is_none(), "it is in progress, or has run within its window");
                                let window_end = arrived_at + WINDOW;
                                cache.retain(id, window_end);
                                let (waiters, state) = (BTreeSet::new(), RunState::InProgress);
                                all.push(Registered { id, tenant, text, body, window_end, waiters, state });
                            }
                            Registration::Duplicate(original) => {
                                let original = same.find(|t| t.id == original).expect("one of its key");
                                prop_assert_eq!(original.body, body);
                                match (cache.join(id, Some(original.id)), &original.state) {
                                    (CachedResult::InProgress, RunState::InProgress) => drop(original.waiters.insert(id)),
                                    (CachedResult::Served(found), RunState::Finished(result)) => prop_assert_eq!(&found, result),
                                    // Its result may have been discarded for later ones.
                                    (CachedResult::Unavailable, RunState::WithoutResult | RunState::Finished(_)) => {}
                                    (found, state) => prop_assert!(false, "{found:?} of {state:?}"),
                                }
                            }
                            Registration::BodyMismatch => prop_assert!(same.any(|t| t.body != body)),
                            Registration::CacheFull => prop_assert!(cache.entries.len() >= ENTRIES && same.next().is_none()),
                        }
                    }
                    Step::Finish { which, how } => {
                        let running: Vec<usize> = (0..all.len()).filter(|at| all[*at].state == RunState::InProgress).collect();
                        let Some(at) = running.get(which % running.len().max(1)).copied() else { continue };
                        let served = result(&all[at]);
                        let completion = match how {
                            0 | 1 => Completion::Served(&served),
                            2 => Completion::Failed,
                            _ => Completion::NotRun,
                        };
                        let released: BTreeSet<RequestId> = cache.complete(all[at].id, completion).into_iter().collect();
                        prop_assert_eq!(&released, &std::mem::take(&mut all[at].waiters));
                        match completion {
                            Completion::NotRun => drop(all.remove(at)),
                            Completion::Failed => all[at].state = RunState::WithoutResult,
                            Completion::Served(_) => all[at].state = RunState::Finished(served),
                        }
                    }
                }
                cache.expire(now);
                prop_assert!(cache.entries.len() <= ENTRIES && cache.results.bytes() <= BYTES);
            }
        }
    }
}
