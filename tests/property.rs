//! The four rules under random valid sequences of events, checked by what knows only the rules.

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
    is_answered: bool,
    has_run: bool,
    /// The outcome of its last call leaves open whether that call ran.
    call_may_have_run: bool,
    original: Option<RequestId>,
    abandoned_at: f64,
}

/// Observes events and actions, and collects violations of the rules.
struct Checker {
    settings: Settings,
    now: f64,
    started_at: f64,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Keyed requests that ran: when they arrived.
    runs: BTreeMap<RequestId, f64>,
    retained_keys: BTreeMap<RequestId, f64>,
    lingering: Vec<f64>,
    concurrency: Vec<(f64, f64)>,
    calls_in_flight: Vec<(f64, f64)>,
    /// When a shutdown was requested, and when the process is killed.
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

    fn record_violation(&mut self, text: String) {
        self.violations.push(format!("at {:.0}: {text}", self.now - self.started_at));
    }

    fn ids(&self, stage: RequestStage) -> Vec<RequestId> {
        self.open.iter().filter(|(_, request)| request.stage == stage).map(|(id, _)| *id).collect()
    }

    fn observe_arrival(&mut self, a: &Arrival) {
        let class = &self.settings.classes[a.attributes.class];
        let arrived_at = self.now - a.attributes.age;
        let deadline = if self.settings.has_caller_deadlines {
            self.now + a.attributes.remaining_wait
        } else {
            arrived_at + class.timeout
        };
        let request = OpenRequest {
            class: a.attributes.class,
            arrived_at,
            deadline: deadline.max(self.now),
            memory_kb: a.attributes.memory_kb,
            stage: RequestStage::Queued,
            is_answered: false,
            has_run: false,
            call_may_have_run: false,
            original: a.original,
            abandoned_at: f64::MAX,
        };
        self.open.insert(a.id, request);
    }

    /// A final response, by an action or by the end of a run.
    fn respond(&mut self, id: RequestId, is_rejection: bool) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let (was_answered, idempotency) =
            (request.is_answered, self.settings.classes[request.class].idempotency);
        let has_run = request.has_run || request.original.is_some_and(|r| self.runs.contains_key(&r));
        request.is_answered = true;
        if matches!(request.stage, RequestStage::Queued | RequestStage::AwaitingResult) {
            self.open.remove(&id);
        }
        if was_answered {
            self.record_violation(format!("{id} answered twice"));
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
            self.record_violation(format!("{id} run twice"));
        }
        if class.idempotency == Idempotency::ByKey {
            if !self.retained_keys.contains_key(&id) {
                self.record_violation(format!("{id} run without a retained key"));
            }
            let ran_at = original.and_then(|original| self.runs.get(&original));
            if ran_at.is_some_and(|at| arrived_at <= at + class.idempotency_window) {
                self.record_violation(format!("{id} repeats a run within the window"));
            }
            self.runs.insert(id, arrived_at);
        }
        if self.shutdown.is_some_and(|(at, _)| arrived_at > at + self.settings.drain_grace) {
            self.record_violation(format!("{id} run though it arrived after the grace period"));
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

    /// After the actions of a batch: memory, concurrency, calls in flight.
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
        let used = self.open.values().map(memory_kb).sum::<f64>()
            + self.retained_keys.len() as f64 * self.settings.key_kb;
        if used > self.settings.memory_kb {
            self.record_violation(format!("{used:.0} kB in use"));
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
        if let Some(mean) =
            mean_over(&self.concurrency, now, self.settings.concurrency_window).filter(|m| *m > survivable)
        {
            self.record_violation(format!("{mean:.2} on the cores, {survivable:.2} are survivable"));
        }
        if self.settings.downstream == Downstream::Shared
            && let Some(mean) = mean_over(&self.calls_in_flight, now, self.settings.call_quota_window)
            && mean > self.settings.call_quota
        {
            self.record_violation(format!("{mean:.3} calls in flight"));
        }
    }

    /// As time passes: each request must have its response by its deadline.
    fn check_deadlines(&mut self) {
        let is_late = |request: &OpenRequest| {
            !request.is_answered && self.now > request.deadline + self.settings.response_slack
        };
        let late: Vec<RequestId> =
            self.open.iter().filter(|(_, request)| is_late(request)).map(|(id, _)| *id).collect();
        for id in late {
            self.record_violation(format!("{id} not answered by its deadline"));
            self.open.get_mut(&id).unwrap().is_answered = true;
        }
        if let Some((_, killed_at)) = self.shutdown
            && self.now >= killed_at
            && !self.is_killed
        {
            self.is_killed = true;
            if let Some(id) = self.open.iter().find(|(_, request)| !request.is_answered).map(|(id, _)| *id) {
                self.record_violation(format!("{id} not answered before the kill"));
            }
        }
    }
}

/// Mean of a step function over the last `span`, once so much time was seen.
fn mean_over(steps: &[(f64, f64)], now: f64, span: f64) -> Option<f64> {
    let from = now - span;
    steps.first().filter(|(at, _)| *at <= from)?;
    let mut sum = 0.0;
    for (at, step) in steps.iter().enumerate() {
        let end = steps.get(at + 1).map_or(now, |next| next.0);
        sum += (end - step.0.max(from)).max(0.0) * step.1;
    }
    Some(sum / span)
}

/// A change of the controller's actions before they take effect: none, or a fault to detect.
type Fault = fn(&mut Vec<Action>, &Checker);

struct Simulation {
    controller: Controller,
    checker: Checker,
    next_id: RequestId,
    fault: Fault,
}

/// One step: what happens, to which request, and how long after the step before.
type EventStep = (u8, u16, u16);

/// How calls end.
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
            if let Event::RequestArrived(a) = &event {
                self.checker.observe_arrival(a);
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

    /// Ends the calls that are abandoned by then.
    fn abandon_calls(&mut self, by: f64) {
        loop {
            let calling =
                self.checker.open.iter().filter(|(_, request)| {
                    request.stage == RequestStage::Calling && request.abandoned_at <= by
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

    fn end_call(&mut self, id: RequestId, outcome: AttemptOutcome, by: u16) -> Event {
        let lingers = self.checker.now + self.checker.settings.call_linger;
        let request = self.checker.open.get_mut(&id).unwrap();
        if request.is_answered {
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
        Event::CallEnded { id, outcome, duration: f64::from(by % 700) }
    }

    fn pass(&mut self, ms: f64) {
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

    fn pick(&self, stage: RequestStage, by: u16) -> Option<RequestId> {
        let ids = self.checker.ids(stage);
        if ids.is_empty() { None } else { Some(ids[by as usize % ids.len()]) }
    }

    fn arrival(&mut self, by: u16) -> Event {
        let id = self.next_id;
        self.next_id += 1;
        let mut a = arrival(id, by as usize % 3);
        a.attributes.memory_kb = f64::from(5 + by % 40);
        a.attributes.age = f64::from(by % 7) * 30.0;
        a.attributes.remaining_wait = f64::from(100 + by % 6000);
        a.attributes.estimated_work = if by.is_multiple_of(2) { Some(f64::from(1 + by % 500)) } else { None };
        Event::RequestArrived(a)
    }

    /// A duplicate of a keyed request whose key is retained, as the server finds its original.
    fn duplicate(&mut self, by: u16) -> Option<Event> {
        let known: Vec<RequestId> = self.checker.retained_keys.keys().copied().collect();
        let original = *known.get(by as usize % known.len().max(1))?;
        let is_queued = self
            .checker
            .open
            .get(&original)
            .is_some_and(|request| request.stage == RequestStage::Queued && !request.is_answered);
        if !is_queued && !self.checker.runs.contains_key(&original) {
            return None;
        }
        let Event::RequestArrived(mut a) = self.arrival(by) else { return None };
        (a.attributes.class, a.original, a.attributes.age) = (KEYED, Some(original), 0.0);
        Some(Event::RequestArrived(a))
    }

    fn step(&mut self, (what, by, wait): EventStep) {
        self.pass(f64::from(wait % 400));
        if self.checker.is_killed {
            return;
        }
        let event = match what % 16 {
            0..=3 => Some(self.arrival(by)),
            4 => {
                self.arrive_together(by);
                None
            }
            5 => self.duplicate(by),
            6..=8 => self.pick(RequestStage::Running, by).map(|id| self.end_run(id, by)),
            9..=10 => self.need_call(by),
            11..=13 => {
                let outcome = CALL_OUTCOMES[by as usize % CALL_OUTCOMES.len()];
                self.pick(RequestStage::Calling, by).map(|id| self.end_call(id, outcome, by))
            }
            14 => self.cancel(by),
            _ if by.is_multiple_of(20) => self.request_shutdown(by),
            _ => None,
        };
        self.end_answered_calls();
        if let Some(event) = event {
            self.batch(vec![event]);
        }
    }

    /// Up to eleven requests in one batch.
    fn arrive_together(&mut self, by: u16) {
        let batch = (0..by % 12).map(|n| self.arrival(by.wrapping_add(n * 37))).collect();
        self.batch(batch);
    }

    fn end_run(&mut self, id: RequestId, by: u16) -> Event {
        let outcome = if by.is_multiple_of(9) { AttemptOutcome::Error } else { AttemptOutcome::Ok };
        if !self.checker.open[&id].is_answered {
            self.checker.respond(id, false);
        }
        self.checker.open.remove(&id);
        Event::RunEnded { id, outcome, duration: f64::from(by % 3000) }
    }

    fn need_call(&mut self, by: u16) -> Option<Event> {
        let id = self.pick(RequestStage::Running, by).filter(|id| !self.checker.open[id].is_answered)?;
        let request = self.checker.open.get_mut(&id).unwrap();
        (request.stage, request.call_may_have_run) = (RequestStage::AwaitingCall, false);
        Some(Event::CallNeeded(id))
    }

    fn cancel(&mut self, by: u16) -> Option<Event> {
        let ids: Vec<RequestId> = self.checker.open.keys().copied().collect();
        let id = ids.get(by as usize % ids.len().max(1)).copied()?;
        let request = self.checker.open.get_mut(&id).filter(|request| !request.is_answered)?;
        request.is_answered = true;
        if matches!(request.stage, RequestStage::Queued | RequestStage::AwaitingResult) {
            self.checker.open.remove(&id);
        }
        Some(Event::RequestCancelled(id))
    }

    fn request_shutdown(&mut self, by: u16) -> Option<Event> {
        if self.checker.shutdown.is_some() {
            return None;
        }
        let time_left = f64::from(1000 + by % 4000);
        self.checker.shutdown = Some((self.checker.now, self.checker.now + time_left));
        Some(Event::ShutdownRequested { time_left })
    }

    /// A request that is answered already ends by itself where it waits for a call.
    fn end_answered_calls(&mut self) {
        for id in self.checker.ids(RequestStage::AwaitingCall) {
            if self.checker.open[&id].is_answered {
                self.checker.open.remove(&id);
                self.batch(vec![Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 10.0 }]);
            }
        }
    }

    fn play(settings: Settings, steps: &[EventStep], fault: Fault) -> Vec<String> {
        let mut simulation = Simulation::new(settings, fault);
        for step in steps {
            simulation.step(*step);
        }
        simulation.pass(9000.0);
        simulation.checker.violations
    }
}

/// Settings that test every rule: small memory, with and without slow start and caller deadlines, each kind of dependency.
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
    let played = runner(400).run(&steps(), |(kind, steps)| {
        let violations = Simulation::play(settings_of_kind(kind), &steps, |_, _| {});
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    if let Err(e) = played {
        panic!("{e}");
    }
}

/// Faults of a broken controller, which change its actions.
mod faults {
    use super::*;

    pub fn forgets_failures(actions: &mut Vec<Action>, _: &Checker) {
        actions.retain(|action| !matches!(action, Action::Fail(_)));
    }

    pub fn answers_twice(actions: &mut Vec<Action>, _: &Checker) {
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

    pub fn rejects_what_ran(actions: &mut Vec<Action>, _: &Checker) {
        for action in actions {
            if let Action::Fail(id) = *action {
                *action = Action::Reject { id, retry_after: 0.0, is_final: false };
            }
        }
    }

    pub fn runs_all(actions: &mut Vec<Action>, checker: &Checker) {
        actions.extend(checker.ids(RequestStage::Queued).into_iter().map(Action::Run));
    }

    pub fn repeats_every_call(actions: &mut Vec<Action>, checker: &Checker) {
        let call = |id| Action::Call { id, deadline: 0.0 };
        actions.extend(checker.ids(RequestStage::AwaitingCall).into_iter().map(call));
    }
}

/// The checker shows something only if it detects controllers that are broken on purpose.
#[test]
fn the_checker_detects_broken_controllers() {
    let faults: [(&str, Fault, &str); 6] = [
        ("forgets failures", faults::forgets_failures, "not answered"),
        ("answers twice", faults::answers_twice, "answered twice"),
        ("runs duplicates", faults::runs_duplicates, "within the window"),
        ("rejects what ran", faults::rejects_what_ran, "rejected though it ran"),
        ("runs all", faults::runs_all, "on the cores"),
        ("repeats every call", faults::repeats_every_call, "repeats a call"),
    ];
    for (name, fault, expected) in faults {
        let detected = std::cell::RefCell::new(BTreeSet::new());
        let _ = runner(150).run(&steps(), |(kind, steps)| {
            let violations = Simulation::play(settings_of_kind(kind), &steps, fault);
            for text in violations.iter().filter(|t| t.contains(expected)) {
                detected.borrow_mut().insert(text.clone());
            }
            Ok(())
        });
        assert!(!detected.borrow().is_empty(), "a controller that {name} passed the checker");
    }
}
