//! Generated sequences of requests, duplicates and completions, checked against a model of the cache.

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

const WINDOW_MS: f64 = 100.0;
const MAX_ENTRIES: usize = 12;
/// Enough for six results of four bytes, so that some are evicted.
const RESULT_BYTES: usize = 24;
const START_MS: f64 = 1_000.0;

/// A request with an effect.
#[derive(Clone, Debug)]
struct IncomingRequest {
    tenant: usize,
    text: u8,
    body: u8,
    /// Time from its arrival until it is read, in ms.
    read_delay: f64,
}

/// A step of a generated sequence.
#[derive(Clone, Debug)]
enum CacheStep {
    Receive(IncomingRequest),
    /// A request in progress finishes: the one at index `choice`, modulo their number.
    Finish {
        choice: usize,
        /// 0 and 1 stand for served, 2 for failed, all others for not run.
        completion: u8,
    },
    /// Advances the time by this many ms.
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

/// The state of an original's run.
#[derive(Debug, PartialEq)]
enum RunState {
    InProgress,
    WithoutResult,
    Finished(Vec<u8>),
}

/// A request that was registered as new, as the model has it.
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

    /// Whether a request that arrived at `arrived_at` has the same key and is a duplicate if the bodies are equal, too.
    fn is_original_of(&self, request: &IncomingRequest, arrived_at: f64) -> bool {
        let has_same_key = (self.request.tenant, self.request.text) == (request.tenant, request.text);
        has_same_key && (self.state == RunState::InProgress || self.window_end >= arrived_at)
    }
}

/// The cache under test, and all originals that may have run.
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
        let mut candidates =
            self.originals.iter_mut().filter(|original| original.is_original_of(&request, arrived_at));
        match registration {
            Registration::New => {
                prop_assert!(candidates.next().is_none(), "an original is in progress or within its window");
                self.start(id, request, arrived_at + WINDOW_MS);
            }
            Registration::Duplicate(original_id) => {
                let original = candidates
                    .find(|original| original.id == original_id)
                    .expect("the model has the original that the cache returned");
                prop_assert_eq!(original.request.body, request.body);
                join(&mut self.cache, id, original)?;
            }
            Registration::BodyMismatch => {
                prop_assert!(candidates.any(|original| original.request.body != request.body));
            }
            Registration::CacheFull => {
                prop_assert!(self.cache.entries.len() >= MAX_ENTRIES && candidates.next().is_none());
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

/// Joins a duplicate with its original, and checks the result against the original's state.
fn join(cache: &mut IdempotencyCache, id: RequestId, original: &mut Original) -> Result<(), TestCaseError> {
    match (cache.join(id, Some(original.id)), &original.state) {
        (CachedResult::InProgress, RunState::InProgress) => drop(original.waiters.insert(id)),
        (CachedResult::Served(cached), RunState::Finished(result)) => prop_assert_eq!(&cached, result),
        // The result may have been evicted for newer ones.
        (CachedResult::Unavailable, RunState::WithoutResult | RunState::Finished(_)) => {}
        (cached, state) => prop_assert!(false, "result {cached:?} of an original in state {state:?}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// In any order of requests, duplicates and completions: no effect runs twice within its window, no result reaches another
    /// tenant or body, every waiter is returned, and entries and bytes stay within the bounds.
    #[test]
    fn effects_run_once_and_results_match_their_requests(
        steps in proptest::collection::vec(cache_step(), 1..60),
    ) {
        let mut model = CacheModel::new();
        for (id, step) in (1..).zip(steps) {
            model.apply(id, step)?;
        }
    }
}
