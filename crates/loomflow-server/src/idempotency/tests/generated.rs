//! Generated orders of requests, duplicates and ends of runs, checked against what a cache may answer.

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

const WINDOW_MS: f64 = 100.0;
const MAX_ENTRIES: usize = 12;
/// Room for a few results only, so that some are discarded.
const RESULT_BYTES: usize = 24;
const START_MS: f64 = 1_000.0;

/// A request with an effect.
#[derive(Clone, Debug)]
struct IncomingRequest {
    tenant: usize,
    text: u8,
    body: u8,
    /// How long after its arrival it is read, in ms.
    read_delay: f64,
}

/// A step of a generated order; the choices are taken modulo what there is.
#[derive(Clone, Debug)]
enum CacheStep {
    Receive(IncomingRequest),
    /// One of the requests in progress finishes.
    Finish {
        choice: usize,
        completion: u8,
    },
    /// Time passes, in ms.
    Wait(f64),
}

fn cache_step() -> impl Strategy<Value = CacheStep> {
    let request = (0..2_usize, 0..3_u8, 0..2_u8, 0.0..MAX_READ_DELAY)
        .prop_map(|(tenant, text, body, read_delay)| IncomingRequest { tenant, text, body, read_delay });
    prop_oneof![
        4 => request.prop_map(CacheStep::Receive),
        3 => (0..8_usize, 0..4_u8).prop_map(|(choice, completion)| CacheStep::Finish { choice, completion }),
        2 => (0.0..WINDOW_MS).prop_map(CacheStep::Wait),
    ]
}

/// How far the run of an original has come.
#[derive(Debug, PartialEq)]
enum RunState {
    InProgress,
    WithoutResult,
    Finished(Vec<u8>),
}

/// A request that was registered as new.
struct Original {
    id: RequestId,
    request: IncomingRequest,
    window_end: f64,
    /// Duplicates that wait for its result.
    waiters: BTreeSet<RequestId>,
    state: RunState,
}

impl Original {
    fn result(&self) -> Vec<u8> {
        vec![self.request.tenant as u8, self.request.text, self.request.body, self.id as u8]
    }

    /// Whether a request with its key that arrived then is its duplicate.
    fn covers(&self, request: &IncomingRequest, arrived_at: f64) -> bool {
        let has_same_key = (self.request.tenant, self.request.text) == (request.tenant, request.text);
        has_same_key && (self.state == RunState::InProgress || self.window_end >= arrived_at)
    }
}

/// The cache, and all originals that may have run.
struct CacheModel {
    cache: IdempotencyCache,
    originals: Vec<Original>,
    now: f64,
}

impl CacheModel {
    fn new() -> CacheModel {
        let cache = IdempotencyCache::new(RESULT_BYTES, MAX_ENTRIES);
        CacheModel { cache, originals: Vec::new(), now: START_MS }
    }

    fn apply(&mut self, id: RequestId, step: CacheStep) -> Result<(), TestCaseError> {
        match step {
            CacheStep::Receive(request) => self.receive(id, request)?,
            CacheStep::Finish { choice, completion } => self.finish(choice, completion)?,
            CacheStep::Wait(duration) => self.now += duration,
        }
        self.cache.expire(self.now);
        prop_assert!(self.cache.entries.len() <= MAX_ENTRIES && self.cache.results.bytes() <= RESULT_BYTES);
        Ok(())
    }

    fn receive(&mut self, id: RequestId, request: IncomingRequest) -> Result<(), TestCaseError> {
        let arrived_at = self.now - request.read_delay;
        let registration = self.register(id, &request, arrived_at);
        let mut covering = self.originals.iter_mut().filter(|original| original.covers(&request, arrived_at));
        match registration {
            Registration::New => {
                prop_assert!(covering.next().is_none(), "it is in progress, or has run within its window");
                self.start(id, request, arrived_at + WINDOW_MS);
            }
            Registration::Duplicate(of) => {
                let original = covering.find(|original| original.id == of).expect("one of its key");
                prop_assert_eq!(original.request.body, request.body);
                join(&mut self.cache, id, original)?;
            }
            Registration::BodyMismatch => {
                prop_assert!(covering.any(|original| original.request.body != request.body));
            }
            Registration::CacheFull => {
                prop_assert!(self.cache.entries.len() >= MAX_ENTRIES && covering.next().is_none());
            }
        }
        Ok(())
    }

    fn register(&mut self, id: RequestId, request: &IncomingRequest, arrived_at: f64) -> Registration {
        let key = IdempotencyKey { class: 0, tenant: request.tenant, text: request.text.to_string() };
        let body = [request.body];
        let max_read_delay = MAX_READ_DELAY;
        let keyed = KeyedRequest { key, is_idempotent: false, body: &body, arrived_at, max_read_delay };
        self.cache.register(id, keyed, self.now)
    }

    fn start(&mut self, id: RequestId, request: IncomingRequest, window_end: f64) {
        self.cache.retain(id, window_end);
        let (waiters, state) = (BTreeSet::new(), RunState::InProgress);
        self.originals.push(Original { id, request, window_end, waiters, state });
    }

    fn finish(&mut self, choice: usize, completion: u8) -> Result<(), TestCaseError> {
        let is_running = |at: &usize| self.originals[*at].state == RunState::InProgress;
        let running: Vec<usize> = (0..self.originals.len()).filter(is_running).collect();
        let Some(at) = running.get(choice % running.len().max(1)).copied() else { return Ok(()) };
        let original = &mut self.originals[at];
        let result = original.result();
        let completion = match completion {
            0 | 1 => Completion::Served(&result),
            2 => Completion::Failed,
            _ => Completion::NotRun,
        };
        let released: BTreeSet<RequestId> =
            self.cache.complete(original.id, completion).into_iter().collect();
        prop_assert_eq!(&released, &std::mem::take(&mut original.waiters));
        match completion {
            Completion::NotRun => drop(self.originals.remove(at)),
            Completion::Failed => original.state = RunState::WithoutResult,
            Completion::Served(_) => original.state = RunState::Finished(result),
        }
        Ok(())
    }
}

/// A duplicate joins its original, and gets its result if there is one.
fn join(cache: &mut IdempotencyCache, id: RequestId, original: &mut Original) -> Result<(), TestCaseError> {
    match (cache.join(id, Some(original.id)), &original.state) {
        (CachedResult::InProgress, RunState::InProgress) => drop(original.waiters.insert(id)),
        (CachedResult::Served(found), RunState::Finished(result)) => prop_assert_eq!(&found, result),
        // Its result may have been discarded for later ones.
        (CachedResult::Unavailable, RunState::WithoutResult | RunState::Finished(_)) => {}
        (found, state) => prop_assert!(false, "{found:?} of {state:?}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// In whatever order requests, duplicates and ends come: no effect twice within its window, no result for another
    /// tenant or body, no waiter forgotten, and no more entries and bytes than the bounds.
    #[test]
    fn no_order_runs_an_effect_twice_or_returns_the_result_of_another_request(
        steps in proptest::collection::vec(cache_step(), 1..60),
    ) {
        let mut model = CacheModel::new();
        for (id, step) in (1..).zip(steps) {
            model.apply(id, step)?;
        }
    }
}
