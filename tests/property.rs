//! Property tests of the four rules: random valid event sequences, and a checker that knows only the rules.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use loomflow::controller::Controller;
use loomflow::interface::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestStage {
    Queued,
    AwaitingResult,
    Running,
    AwaitingCall,
    Calling,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    class: usize,
    arrived_at: f64,
    deadline: f64,
    memory_kb: f64,
    stage: RequestStage,
    has_response: bool,
    has_run: bool,
    /// Whether the last call may have run although it did not succeed.
    call_may_have_run: bool,
    original: Option<RequestId>,
    abandoned_at: f64,
}

/// Observes events and actions, and collects rule violations.
struct Checker {
    settings: Settings,
    now: f64,
    started_at: f64,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Arrival times of the keyed requests that ran, by id.
    runs: BTreeMap<RequestId, f64>,
    retained_keys: BTreeMap<RequestId, f64>,
    lingering: Vec<f64>,
    concurrency: Vec<(f64, f64)>,
    calls_in_flight: Vec<(f64, f64)>,
    /// When a shutdown was requested and when the process is killed, ms; none before the request.
    shutdown: Option<(f64, f64)>,
    is_killed: bool,
    timers: Vec<f64>,
    violations: Vec<String>,
}

impl Checker {
    fn new(settings: Settings, now: f64) -> Checker {
        Checker {
            settings,
            now,
            started_at: now,
            open: BTreeMap::new(),
            runs: BTreeMap::new(),
            retained_keys: BTreeMap::new(),
            lingering: vec![],
            concurrency: vec![],
            calls_in_flight: vec![],
            shutdown: None,
            is_killed: false,
            timers: vec![],
            violations: vec![],
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.violations.push(format!("at {:.0}: {violation}", self.now - self.started_at));
    }

    fn ids(&self, stage: RequestStage) -> Vec<RequestId> {
        self.open.iter().filter(|(_, request)| request.stage == stage).map(|(id, _)| *id).collect()
    }

    fn observe_arrival(&mut self, arrival: &Arrival) {
        let class = &self.settings.classes[arrival.attributes.class];
        let arrived_at = self.now - arrival.attributes.age;
        let deadline = if self.settings.has_caller_deadlines {
            self.now + arrival.attributes.remaining_wait
        } else {
            arrived_at + class.timeout
        };
        let request = OpenRequest {
            class: arrival.attributes.class,
            arrived_at,
            deadline: deadline.max(self.now),
            memory_kb: arrival.attributes.memory_kb,
            stage: RequestStage::Queued,
            has_response: false,
            has_run: false,
            call_may_have_run: false,
            original: arrival.original,
            abandoned_at: f64::MAX,
        };
        self.open.insert(arrival.id, request);
    }

    /// Records a final response, from an action or the end of a run.
    fn respond(&mut self, id: RequestId, is_rejection: bool) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let (had_response, idempotency) =
            (request.has_response, self.settings.classes[request.class].idempotency);
        let has_run = request.has_run || request.original.is_some_and(|r| self.runs.contains_key(&r));
        request.has_response = true;
        if matches!(request.stage, RequestStage::Queued | RequestStage::AwaitingResult) {
            self.open.remove(&id);
        }
        if had_response {
            self.record_violation(format!("{id} has two final responses"));
        }
        if is_rejection && has_run && idempotency != Idempotency::Always {
            self.record_violation(format!("{id} rejected though it ran"));
        }
    }

    fn run_started(&mut self, id: RequestId) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let (class, arrived_at) = (self.settings.classes[request.class].clone(), request.arrived_at);
        let is_repeated = request.has_run || request.stage == RequestStage::AwaitingResult;
        let original = request.original;
        (request.stage, request.has_run) = (RequestStage::Running, true);
        if class.idempotency != Idempotency::Always && is_repeated {
            self.record_violation(format!("{id} ran twice"));
        }
        if class.idempotency == Idempotency::ByKey {
            if !self.retained_keys.contains_key(&id) {
                self.record_violation(format!("{id} runs without a retained key"));
            }
            let ran_at = original.and_then(|original| self.runs.get(&original));
            if ran_at.is_some_and(|at| arrived_at <= at + class.idempotency_window) {
                self.record_violation(format!("{id} repeats a run within the window"));
            }
            self.runs.insert(id, arrived_at);
        }
        if self.shutdown.is_some_and(|(at, _)| arrived_at > at + self.settings.drain_grace) {
            self.record_violation(format!("{id} runs though it arrived after the grace period"));
        }
    }

    fn call_started(&mut self, id: RequestId, deadline: f64) {
        let Some(request) =
            self.open.get_mut(&id).filter(|request| request.stage == RequestStage::AwaitingCall)
        else {
            return;
        };
        request.stage = RequestStage::Calling;
        request.abandoned_at = if deadline > 0.0 { deadline } else { f64::MAX };
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Always;
        if request.call_may_have_run && !is_idempotent {
            self.record_violation(format!("{id} repeats a call that may have run"));
        }
    }

    fn observe_action(&mut self, action: &Action) {
        match action {
            Action::Run(id) => self.run_started(*id),
            Action::ReuseResult(id) => {
                if let Some(request) = self.open.get_mut(id) {
                    request.stage = RequestStage::AwaitingResult;
                }
            }
            Action::Reject { id, .. } => self.respond(*id, true),
            Action::Fail(id) => self.respond(*id, false),
            Action::Call { id, deadline } => self.call_started(*id, *deadline),
            Action::SkipCall(id) => {
                if let Some(request) = self.open.get_mut(id) {
                    request.stage = RequestStage::Running;
                }
            }
            Action::RetainKey { id, ttl } => {
                self.retained_keys.insert(*id, self.now + ttl);
            }
            Action::ReleaseKey(id) => {
                self.retained_keys.remove(id);
            }
            Action::SetTimer(at) => self.timers.push(*at),
            _ => {}
        }
    }

    /// Checks memory, concurrency and calls in flight after the actions of a batch.
    fn check_batch(&mut self) {
        let now = self.now;
        self.retained_keys.retain(|_, until| *until > now);
        self.lingering.retain(|until| *until > now);
        let memory_kb = |request: &OpenRequest| {
            if matches!(request.stage, RequestStage::Queued | RequestStage::AwaitingResult) {
                request.memory_kb
            } else {
                request.memory_kb * self.settings.run_memory_factor
            }
        };
        let used_kb = self.open.values().map(memory_kb).sum::<f64>()
            + self.retained_keys.len() as f64 * self.settings.key_kb;
        if used_kb > self.settings.memory_kb {
            self.record_violation(format!(
                "{used_kb:.0} kB in use, {:.0} are available",
                self.settings.memory_kb
            ));
        }
        self.concurrency.push((now, self.ids(RequestStage::Running).len() as f64));
        self.calls_in_flight
            .push((now, (self.ids(RequestStage::Calling).len() + self.lingering.len()) as f64));
        let slow_start_part = if self.settings.is_slow_start {
            ((now - self.started_at) / self.settings.slow_start_duration).min(1.0)
        } else {
            1.0
        };
        let speed = self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * slow_start_part;
        let survivable = self.settings.cores * (1.0 + (self.settings.core_concurrency - 1.0) * speed);
        if let Some(mean) = mean_over(&self.concurrency, now, self.settings.concurrency_window)
            .filter(|mean| *mean > survivable)
        {
            self.record_violation(format!("{mean:.2} on the cores, {survivable:.2} are survivable"));
        }
        if self.settings.downstream == Downstream::Shared
            && let Some(mean) = mean_over(&self.calls_in_flight, now, self.settings.call_quota_window)
            && mean > self.settings.call_quota
        {
            self.record_violation(format!(
                "{mean:.3} calls in flight, the quota is {}",
                self.settings.call_quota
            ));
        }
    }

    /// Checks that requests have a response by their deadlines, and all of them by the kill.
    fn check_deadlines(&mut self) {
        let is_late = |request: &OpenRequest| {
            !request.has_response && self.now > request.deadline + self.settings.response_slack
        };
        let late: Vec<RequestId> =
            self.open.iter().filter(|(_, request)| is_late(request)).map(|(id, _)| *id).collect();
        for id in late {
            self.record_violation(format!("{id} has no response by its deadline"));
            self.open.get_mut(&id).unwrap().has_response = true;
        }
        if let Some((_, killed_at)) = self.shutdown
            && self.now >= killed_at
            && !self.is_killed
        {
            self.is_killed = true;
            if let Some(id) = self.open.iter().find(|(_, request)| !request.has_response).map(|(id, _)| *id) {
                self.record_violation(format!("{id} has no response before the kill"));
            }
        }
    }
}

/// Mean of a step function over the last `window` ms; none while the steps cover less.
fn mean_over(steps: &[(f64, f64)], now: f64, window: f64) -> Option<f64> {
    let from = now - window;
    steps.first().filter(|(at, _)| *at <= from)?;
    let mut sum = 0.0;
    for (at, step) in steps.iter().enumerate() {
        let end = steps.get(at + 1).map_or(now, |next| next.0);
        sum += (end - step.0.max(from)).max(0.0) * step.1;
    }
    Some(sum / window)
}

/// A deliberate fault, which changes the controller's actions before they take effect, so that a test shows
/// whether the checker detects it. A correct controller has one that changes nothing.
type Fault = fn(&mut Vec<Action>, &Checker);

struct Simulation {
    controller: Controller,
    checker: Checker,
    next_id: RequestId,
    fault: Fault,
}

/// One step of a case: the kind of event, a number that selects its request or its values, and the time since
/// the previous step.
type EventStep = (u8, u16, u16);

const CALL_OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
];

impl Simulation {
    fn new(settings: Settings, fault: Fault) -> Simulation {
        let now = 50_000.0;
        let controller = Controller::new(settings.clone(), 11, now);
        let mut simulation =
            Simulation { controller, checker: Checker::new(settings, now), next_id: 1, fault };
        simulation.batch(vec![]);
        simulation
    }

    fn batch(&mut self, events: Vec<Event>) {
        let mut actions = vec![];
        let now = self.checker.now;
        for event in events {
            if let Event::RequestArrived(arrival) = &event {
                self.checker.observe_arrival(arrival);
            }
            self.controller.event(now, event, &mut actions);
        }
        self.controller.decide(now, &mut actions);
        (self.fault)(&mut actions, &self.checker);
        for action in &actions {
            self.checker.observe_action(action);
        }
        self.checker.check_batch();
    }

    /// Ends the calls whose deadlines are not after `until`.
    fn abandon_calls(&mut self, until: f64) {
        loop {
            let calling = self.checker.open.iter().filter(|(_, request)| {
                request.stage == RequestStage::Calling && request.abandoned_at <= until
            });
            let Some((at, id)) =
                calling.map(|(id, request)| (request.abandoned_at, *id)).min_by(|a, b| a.0.total_cmp(&b.0))
            else {
                return;
            };
            self.checker.now = self.checker.now.max(at);
            let event = self.end_call(id, AttemptOutcome::TimedOut, 500);
            self.batch(vec![event]);
        }
    }

    fn end_call(&mut self, id: RequestId, outcome: AttemptOutcome, choice: u16) -> Event {
        let lingers = self.checker.now + self.checker.settings.call_linger;
        let request = self.checker.open.get_mut(&id).unwrap();
        if request.has_response {
            self.checker.open.remove(&id);
            self.checker.lingering.push(lingers);
            return Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 10.0 };
        }
        request.stage =
            if outcome == AttemptOutcome::Ok { RequestStage::Running } else { RequestStage::AwaitingCall };
        request.call_may_have_run = matches!(outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut);
        if outcome == AttemptOutcome::TimedOut {
            self.checker.lingering.push(lingers);
        }
        Event::CallEnded { id, outcome, duration: f64::from(choice % 700) }
    }

    fn advance(&mut self, ms: f64) {
        let end = self.checker.now + ms;
        loop {
            let next = self.checker.timers.iter().copied().fold(end, f64::min);
            self.abandon_calls(next);
            self.checker.timers.sort_by(f64::total_cmp);
            match self.checker.timers.first().copied() {
                Some(at) if at <= end => {
                    self.checker.timers.remove(0);
                    self.checker.now = self.checker.now.max(at);
                    if !self.checker.is_killed {
                        let busy = self.checker.ids(RequestStage::Running).len() as f64;
                        let core_utilization = Some((busy / self.checker.settings.cores).min(1.0));
                        let gauges = Gauges { core_utilization, runnable: Some(busy), ..Gauges::default() };
                        self.batch(vec![Event::TimerFired(gauges)]);
                    }
                    self.checker.check_deadlines();
                }
                _ => break,
            }
        }
        self.checker.now = end;
        self.checker.check_deadlines();
    }

    fn pick(&self, stage: RequestStage, choice: u16) -> Option<RequestId> {
        let ids = self.checker.ids(stage);
        if ids.is_empty() { None } else { Some(ids[choice as usize % ids.len()]) }
    }

    fn arrival(&mut self, choice: u16) -> Event {
        let id = self.next_id;
        self.next_id += 1;
        let mut arrival = arrival(id, choice as usize % 3);
        arrival.attributes.memory_kb = f64::from(5 + choice % 40);
        arrival.attributes.age = f64::from(choice % 7) * 30.0;
        arrival.attributes.remaining_wait = f64::from(100 + choice % 6000);
        arrival.attributes.estimated_work =
            if choice.is_multiple_of(2) { Some(f64::from(1 + choice % 500)) } else { None };
        Event::RequestArrived(arrival)
    }

    /// A duplicate of a keyed request, if a server would find its original by a retained key.
    fn duplicate(&mut self, choice: u16) -> Option<Event> {
        let known: Vec<RequestId> = self.checker.retained_keys.keys().copied().collect();
        let original = *known.get(choice as usize % known.len().max(1))?;
        let is_queued = self
            .checker
            .open
            .get(&original)
            .is_some_and(|request| request.stage == RequestStage::Queued && !request.has_response);
        if !is_queued && !self.checker.runs.contains_key(&original) {
            return None;
        }
        let Event::RequestArrived(mut arrival) = self.arrival(choice) else { return None };
        (arrival.attributes.class, arrival.original, arrival.attributes.age) = (KEYED, Some(original), 0.0);
        Some(Event::RequestArrived(arrival))
    }

    fn step(&mut self, (kind, choice, wait): EventStep) {
        self.advance(f64::from(wait % 400));
        if self.checker.is_killed {
            return;
        }
        let event = match kind % 16 {
            0..=3 => Some(self.arrival(choice)),
            4 => {
                self.arrive_together(choice);
                None
            }
            5 => self.duplicate(choice),
            6..=8 => self.pick(RequestStage::Running, choice).map(|id| self.end_run(id, choice)),
            9..=10 => self.need_call(choice),
            11..=13 => {
                let outcome = CALL_OUTCOMES[choice as usize % CALL_OUTCOMES.len()];
                self.pick(RequestStage::Calling, choice).map(|id| self.end_call(id, outcome, choice))
            }
            14 => self.cancel(choice),
            _ if choice.is_multiple_of(20) => self.request_shutdown(choice),
            _ => None,
        };
        self.end_calls_with_response();
        if let Some(event) = event {
            self.batch(vec![event]);
        }
    }

    /// Lets up to eleven requests arrive in one batch.
    fn arrive_together(&mut self, choice: u16) {
        let batch = (0..choice % 12).map(|n| self.arrival(choice.wrapping_add(n * 37))).collect();
        self.batch(batch);
    }

    fn end_run(&mut self, id: RequestId, choice: u16) -> Event {
        let outcome = if choice.is_multiple_of(9) { AttemptOutcome::Error } else { AttemptOutcome::Ok };
        if !self.checker.open[&id].has_response {
            self.checker.respond(id, false);
        }
        self.checker.open.remove(&id);
        Event::RunEnded { id, outcome, duration: f64::from(choice % 3000) }
    }

    fn need_call(&mut self, choice: u16) -> Option<Event> {
        let id = self.pick(RequestStage::Running, choice).filter(|id| !self.checker.open[id].has_response)?;
        let request = self.checker.open.get_mut(&id).unwrap();
        (request.stage, request.call_may_have_run) = (RequestStage::AwaitingCall, false);
        Some(Event::CallNeeded(id))
    }

    fn cancel(&mut self, choice: u16) -> Option<Event> {
        let ids: Vec<RequestId> = self.checker.open.keys().copied().collect();
        let id = ids.get(choice as usize % ids.len().max(1)).copied()?;
        let request = self.checker.open.get_mut(&id).filter(|request| !request.has_response)?;
        request.has_response = true;
        if matches!(request.stage, RequestStage::Queued | RequestStage::AwaitingResult) {
            self.checker.open.remove(&id);
        }
        Some(Event::RequestCancelled(id))
    }

    fn request_shutdown(&mut self, choice: u16) -> Option<Event> {
        if self.checker.shutdown.is_some() {
            return None;
        }
        let time_left = f64::from(1000 + choice % 4000);
        self.checker.shutdown = Some((self.checker.now, self.checker.now + time_left));
        Some(Event::ShutdownRequested { time_left })
    }

    /// Ends requests that wait for a call but already have a response.
    fn end_calls_with_response(&mut self) {
        for id in self.checker.ids(RequestStage::AwaitingCall) {
            if self.checker.open[&id].has_response {
                self.checker.open.remove(&id);
                self.batch(vec![Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 10.0 }]);
            }
        }
    }

    fn run(settings: Settings, steps: &[EventStep], fault: Fault) -> Vec<String> {
        let mut simulation = Simulation::new(settings, fault);
        for step in steps {
            simulation.step(*step);
        }
        simulation.advance(9000.0);
        simulation.checker.violations
    }
}

/// Settings for every rule: small memory, with and without slow start, caller deadlines and a call quota.
fn settings_of_kind(kind: u8) -> Settings {
    let mut s = settings();
    s.memory_kb = 4000.0;
    s.key_kb = 40.0;
    s.is_slow_start = kind.is_multiple_of(2);
    s.has_caller_deadlines = kind.is_multiple_of(3);
    if kind.is_multiple_of(4) {
        s.downstream = Downstream::Shared;
        s.call_quota = [0.4, 1.0, 2.7][kind as usize / 4 % 3];
    }
    s.preemption = Preemption::Unsupported;
    s
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn steps() -> impl Strategy<Value = (u8, Vec<EventStep>)> {
    (any::<u8>(), vec(any::<EventStep>(), 1..250))
}

#[test]
fn random_histories_violate_no_rule() {
    let result = runner(400).run(&steps(), |(kind, steps)| {
        let violations = Simulation::run(settings_of_kind(kind), &steps, |_, _| {});
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Faults of broken controllers, applied to their actions.
mod faults {
    use super::*;

    pub fn drops_failures(actions: &mut Vec<Action>, _: &Checker) {
        actions.retain(|action| !matches!(action, Action::Fail(_)));
    }

    pub fn responds_twice(actions: &mut Vec<Action>, _: &Checker) {
        let is_failure = |action: &&Action| matches!(action, Action::Fail(_));
        let failures: Vec<Action> = actions.iter().filter(is_failure).cloned().collect();
        actions.extend(failures);
    }

    pub fn runs_duplicates(actions: &mut Vec<Action>, _: &Checker) {
        for action in actions {
            if let Action::ReuseResult(id) = *action {
                *action = Action::Run(id);
            }
        }
    }

    pub fn rejects_requests_that_ran(actions: &mut Vec<Action>, _: &Checker) {
        for action in actions {
            if let Action::Fail(id) = *action {
                *action = Action::Reject { id, retry_after: 0.0, is_final: false };
            }
        }
    }

    pub fn runs_all_queued(actions: &mut Vec<Action>, checker: &Checker) {
        actions.extend(checker.ids(RequestStage::Queued).into_iter().map(Action::Run));
    }

    pub fn repeats_every_call(actions: &mut Vec<Action>, checker: &Checker) {
        let call = |id| Action::Call { id, deadline: 0.0 };
        actions.extend(checker.ids(RequestStage::AwaitingCall).into_iter().map(call));
    }
}

/// Guards against a checker that accepts everything: it must detect each controller with a deliberate fault.
#[test]
fn the_checker_detects_broken_controllers() {
    let faults: [(&str, Fault, &str); 6] = [
        ("drops failures", faults::drops_failures, "has no response"),
        ("responds twice", faults::responds_twice, "has two final responses"),
        ("runs duplicates", faults::runs_duplicates, "within the window"),
        ("rejects requests that ran", faults::rejects_requests_that_ran, "rejected though it ran"),
        ("runs all queued requests", faults::runs_all_queued, "on the cores"),
        ("repeats every call", faults::repeats_every_call, "repeats a call"),
    ];
    for (name, fault, expected) in faults {
        let detected = std::cell::RefCell::new(BTreeSet::new());
        let _ = runner(150).run(&steps(), |(kind, steps)| {
            let violations = Simulation::run(settings_of_kind(kind), &steps, fault);
            for violation in violations.iter().filter(|t| t.contains(expected)) {
                detected.borrow_mut().insert(violation.clone());
            }
            Ok(())
        });
        assert!(!detected.borrow().is_empty(), "a controller that {name} passed the checker");
    }
}
