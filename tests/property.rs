//! The controller under random legal sequences of events, checked against the four rules by a checker that knows only the
//! rules. The checker itself is checked with controllers that break them.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use loomflow::controller::Controller;
use loomflow::interface::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Held,
    Reusing,
    Running,
    Blocked,
    Calling,
}

#[derive(Clone, Debug)]
struct Seen {
    class: usize,
    reached: f64,
    due: f64,
    kb: f64,
    at: At,
    answered: bool,
    ran: bool,
    /// The outcome of its last call leaves open whether that call ran.
    call_may_have_run: bool,
    root: Option<RequestId>,
    abandon_at: f64,
}

/// Sees events and actions, keeps what the rules need, and collects what breaks them.
struct Checker {
    set: Settings,
    now: f64,
    born: f64,
    open: BTreeMap<RequestId, Seen>,
    /// Keyed requests that ran: when they arrived.
    ran: BTreeMap<RequestId, f64>,
    entries: BTreeMap<RequestId, f64>,
    lingering: Vec<f64>,
    crowd: Vec<(f64, f64)>,
    calls: Vec<(f64, f64)>,
    notice: Option<(f64, f64)>,
    stopped: bool,
    timers: Vec<f64>,
    broken: Vec<String>,
}

impl Checker {
    fn new(set: Settings, now: f64) -> Checker {
        Checker {
            set,
            now,
            born: now,
            open: BTreeMap::new(),
            ran: BTreeMap::new(),
            entries: BTreeMap::new(),
            lingering: vec![],
            crowd: vec![],
            calls: vec![],
            notice: None,
            stopped: false,
            timers: vec![],
            broken: vec![],
        }
    }

    fn break_rule(&mut self, text: String) {
        self.broken.push(format!("at {:.0}: {text}", self.now - self.born));
    }

    fn ids(&self, at: At) -> Vec<RequestId> {
        self.open.iter().filter(|(_, s)| s.at == at).map(|(id, _)| *id).collect()
    }

    fn read(&mut self, a: &Arrival) {
        let class = &self.set.classes[a.attributes.class];
        let reached = self.now - a.attributes.age;
        let due = if self.set.has_caller_deadlines {
            self.now + a.attributes.remaining_wait
        } else {
            reached + class.timeout
        };
        let seen = Seen {
            class: a.attributes.class,
            reached,
            due: due.max(self.now),
            kb: a.attributes.memory_kb,
            at: At::Held,
            answered: false,
            ran: false,
            call_may_have_run: false,
            root: a.original,
            abandon_at: f64::MAX,
        };
        self.open.insert(a.id, seen);
    }

    /// A final answer, by an action or by the end of a run.
    fn answer(&mut self, id: RequestId, refusal: bool) {
        let Some(s) = self.open.get_mut(&id) else { return };
        let (again, effect) = (s.answered, self.set.classes[s.class].idempotency);
        let ran = s.ran || s.root.is_some_and(|r| self.ran.contains_key(&r));
        s.answered = true;
        if matches!(s.at, At::Held | At::Reusing) {
            self.open.remove(&id);
        }
        if again {
            self.break_rule(format!("{id} answered twice"));
        }
        if refusal && ran && effect != Idempotency::Always {
            self.break_rule(format!("{id} refused though it ran"));
        }
    }

    fn acted(&mut self, action: &Action) {
        match action {
            Action::Run(id) => self.run_started(*id),
            Action::ReuseResult(id) => self.set_phase(*id, At::Reusing),
            Action::Reject { id, .. } => self.answer(*id, true),
            Action::Fail(id) => self.answer(*id, false),
            Action::Call { id, deadline } => self.call_started(*id, *deadline),
            Action::SkipCall(id) => self.set_phase(*id, At::Running),
            Action::RetainKey { id, ttl } => {
                self.entries.insert(*id, self.now + ttl);
            }
            Action::ReleaseKey(id) => {
                self.entries.remove(id);
            }
            Action::SetTimer(at) => self.timers.push(*at),
            _ => {}
        }
    }

    fn set_phase(&mut self, id: RequestId, at: At) {
        if let Some(request) = self.open.get_mut(&id) {
            request.at = at;
        }
    }

    fn run_started(&mut self, id: RequestId) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let (class, reached) = (self.set.classes[request.class].clone(), request.reached);
        let is_second_run = request.ran || request.at == At::Reusing;
        let root = request.root;
        (request.at, request.ran) = (At::Running, true);
        if class.idempotency != Idempotency::Always && is_second_run {
            self.break_rule(format!("{id} run twice"));
        }
        if class.idempotency == Idempotency::ByKey {
            self.keyed_run_started(id, root, reached, class.idempotency_window);
        }
        if self.notice.is_some_and(|(at, _)| reached > at + self.set.drain_grace) {
            self.break_rule(format!("{id} run though it came past the grace"));
        }
    }

    fn keyed_run_started(&mut self, id: RequestId, root: Option<RequestId>, reached: f64, window: f64) {
        if !self.entries.contains_key(&id) {
            self.break_rule(format!("{id} run without an entry"));
        }
        let is_repeat = root.and_then(|root| self.ran.get(&root)).is_some_and(|at| reached <= at + window);
        if is_repeat {
            self.break_rule(format!("{id} repeats a run within the window"));
        }
        self.ran.insert(id, reached);
    }

    fn call_started(&mut self, id: RequestId, deadline: f64) {
        let Some(request) = self.open.get_mut(&id).filter(|request| request.at == At::Blocked) else {
            return;
        };
        request.at = At::Calling;
        request.abandon_at = if deadline > 0.0 { deadline } else { f64::MAX };
        let is_idempotent = self.set.classes[request.class].idempotency == Idempotency::Always;
        if request.call_may_have_run && !is_idempotent {
            self.break_rule(format!("{id} repeats a call that may have run"));
        }
    }

    /// After the actions of a batch: memory, crowd, calls in hand.
    fn settle(&mut self) {
        let now = self.now;
        self.entries.retain(|_, until| *until > now);
        self.lingering.retain(|until| *until > now);
        let weight = |s: &Seen| {
            if matches!(s.at, At::Held | At::Reusing) { s.kb } else { s.kb * self.set.run_memory_factor }
        };
        let used = self.open.values().map(weight).sum::<f64>() + self.entries.len() as f64 * self.set.key_kb;
        if used > self.set.memory_kb {
            self.break_rule(format!("{used:.0} kB in use"));
        }
        self.crowd.push((now, self.ids(At::Running).len() as f64));
        self.calls.push((now, (self.ids(At::Calling).len() + self.lingering.len()) as f64));
        let warmed = if self.set.is_slow_start {
            ((now - self.born) / self.set.slow_start_duration).min(1.0)
        } else {
            1.0
        };
        let speed = self.set.slow_start_share + (1.0 - self.set.slow_start_share) * warmed;
        let survives = self.set.cores * (1.0 + (self.set.core_concurrency - 1.0) * speed);
        if let Some(mean) = mean_over(&self.crowd, now, self.set.concurrency_window).filter(|m| *m > survives)
        {
            self.break_rule(format!("{mean:.2} on the cores, {survives:.2} survive"));
        }
        if self.set.downstream == Downstream::Shared
            && let Some(mean) = mean_over(&self.calls, now, self.set.call_quota_window)
            && mean > self.set.call_quota
        {
            self.break_rule(format!("{mean:.3} calls in hand"));
        }
    }

    /// As time passes: what is due must have been answered.
    fn check_due(&mut self) {
        let late = |s: &Seen| !s.answered && self.now > s.due + self.set.response_slack;
        let lost: Vec<RequestId> = self.open.iter().filter(|(_, s)| late(s)).map(|(id, _)| *id).collect();
        for id in lost {
            self.break_rule(format!("{id} not answered by its due time"));
            self.open.get_mut(&id).unwrap().answered = true;
        }
        if let Some((_, stop)) = self.notice
            && self.now >= stop
            && !self.stopped
        {
            self.stopped = true;
            if let Some(id) = self.open.iter().find(|(_, s)| !s.answered).map(|(id, _)| *id) {
                self.break_rule(format!("{id} not answered before the stop"));
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

/// What the module's actions go through before they take effect: nothing, or a fault on purpose.
type Fault = fn(&mut Vec<Action>, &Checker);

struct World {
    controller: Controller,
    checker: Checker,
    next: RequestId,
    fault: Fault,
}

/// One step: what happens, to which request, and how long after the step before.
type Step = (u8, u16, u16);

/// How calls end.
const CALL_OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
];

impl World {
    fn new(set: Settings, fault: Fault) -> World {
        let now = 50_000.0;
        let controller = Controller::new(set.clone(), 11, now);
        let mut fixture = World { controller, checker: Checker::new(set, now), next: 1, fault };
        fixture.batch(vec![]);
        fixture
    }

    fn batch(&mut self, events: Vec<Event>) {
        let mut actions = vec![];
        let now = self.checker.now;
        for event in events {
            if let Event::RequestArrived(a) = &event {
                self.checker.read(a);
            }
            self.controller.event(now, event, &mut actions);
        }
        self.controller.decide(now, &mut actions);
        (self.fault)(&mut actions, &self.checker);
        for action in &actions {
            self.checker.acted(action);
        }
        self.checker.settle();
    }

    /// Ends the calls that are abandoned by then.
    fn abandon(&mut self, by: f64) {
        loop {
            let calling = self.checker.open.iter().filter(|(_, s)| s.at == At::Calling && s.abandon_at <= by);
            let Some((at, id)) =
                calling.map(|(id, s)| (s.abandon_at, *id)).min_by(|a, b| a.0.total_cmp(&b.0))
            else {
                return;
            };
            self.checker.now = self.checker.now.max(at);
            let event = self.end_call(id, AttemptOutcome::TimedOut, 500);
            self.batch(vec![event]);
        }
    }

    fn end_call(&mut self, id: RequestId, outcome: AttemptOutcome, by: u16) -> Event {
        let lingers = self.checker.now + self.checker.set.call_linger;
        let s = self.checker.open.get_mut(&id).unwrap();
        if s.answered {
            self.checker.open.remove(&id);
            self.checker.lingering.push(lingers);
            return Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 10.0 };
        }
        s.at = if outcome == AttemptOutcome::Ok { At::Running } else { At::Blocked };
        s.call_may_have_run = matches!(outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut);
        if outcome == AttemptOutcome::TimedOut {
            self.checker.lingering.push(lingers);
        }
        Event::CallEnded { id, outcome, duration: f64::from(by % 700) }
    }

    fn pass(&mut self, ms: f64) {
        let end = self.checker.now + ms;
        loop {
            let next = self.checker.timers.iter().copied().fold(end, f64::min);
            self.abandon(next);
            self.checker.timers.sort_by(f64::total_cmp);
            match self.checker.timers.first().copied() {
                Some(at) if at <= end => {
                    self.checker.timers.remove(0);
                    self.checker.now = self.checker.now.max(at);
                    if !self.checker.stopped {
                        let busy = self.checker.ids(At::Running).len() as f64;
                        let core_use = Some((busy / self.checker.set.cores).min(1.0));
                        let gauges =
                            Gauges { core_utilization: core_use, runnable: Some(busy), ..Gauges::default() };
                        self.batch(vec![Event::TimerFired(gauges)]);
                    }
                    self.checker.check_due();
                }
                _ => break,
            }
        }
        self.checker.now = end;
        self.checker.check_due();
    }

    fn pick(&self, at: At, by: u16) -> Option<RequestId> {
        let ids = self.checker.ids(at);
        if ids.is_empty() { None } else { Some(ids[by as usize % ids.len()]) }
    }

    fn arrival(&mut self, by: u16) -> Event {
        let id = self.next;
        self.next += 1;
        let mut a = arrival(id, by as usize % 3);
        a.attributes.memory_kb = f64::from(5 + by % 40);
        a.attributes.age = f64::from(by % 7) * 30.0;
        a.attributes.remaining_wait = f64::from(100 + by % 6000);
        a.attributes.estimated_work = if by.is_multiple_of(2) { Some(f64::from(1 + by % 500)) } else { None };
        Event::RequestArrived(a)
    }

    /// A repeat of a keyed request whose entry lives, as the server would connect the two.
    fn repeat(&mut self, by: u16) -> Option<Event> {
        let known: Vec<RequestId> = self.checker.entries.keys().copied().collect();
        let of = *known.get(by as usize % known.len().max(1))?;
        let held = self.checker.open.get(&of).is_some_and(|s| s.at == At::Held && !s.answered);
        if !held && !self.checker.ran.contains_key(&of) {
            return None;
        }
        let Event::RequestArrived(mut a) = self.arrival(by) else { return None };
        (a.attributes.class, a.original, a.attributes.age) = (KEYED, Some(of), 0.0);
        Some(Event::RequestArrived(a))
    }

    fn step(&mut self, (what, by, wait): Step) {
        self.pass(f64::from(wait % 400));
        if self.checker.stopped {
            return;
        }
        let event = match what % 16 {
            0..=3 => Some(self.arrival(by)),
            4 => {
                self.arrive_together(by);
                None
            }
            5 => self.repeat(by),
            6..=8 => self.pick(At::Running, by).map(|id| self.end_run(id, by)),
            9..=10 => self.need_call(by),
            11..=13 => {
                let outcome = CALL_OUTCOMES[by as usize % CALL_OUTCOMES.len()];
                self.pick(At::Calling, by).map(|id| self.end_call(id, outcome, by))
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
        if !self.checker.open[&id].answered {
            self.checker.answer(id, false);
        }
        self.checker.open.remove(&id);
        Event::RunEnded { id, outcome, duration: f64::from(by % 3000) }
    }

    fn need_call(&mut self, by: u16) -> Option<Event> {
        let id = self.pick(At::Running, by).filter(|id| !self.checker.open[id].answered)?;
        let request = self.checker.open.get_mut(&id).unwrap();
        (request.at, request.call_may_have_run) = (At::Blocked, false);
        Some(Event::CallNeeded(id))
    }

    fn cancel(&mut self, by: u16) -> Option<Event> {
        let ids: Vec<RequestId> = self.checker.open.keys().copied().collect();
        let id = ids.get(by as usize % ids.len().max(1)).copied()?;
        let request = self.checker.open.get_mut(&id).filter(|request| !request.answered)?;
        request.answered = true;
        if matches!(request.at, At::Held | At::Reusing) {
            self.checker.open.remove(&id);
        }
        Some(Event::RequestCancelled(id))
    }

    fn request_shutdown(&mut self, by: u16) -> Option<Event> {
        if self.checker.notice.is_some() {
            return None;
        }
        let time_left = f64::from(1000 + by % 4000);
        self.checker.notice = Some((self.checker.now, self.checker.now + time_left));
        Some(Event::ShutdownRequested { time_left })
    }

    /// A request that is answered already ends by itself where it waits for a call.
    fn end_answered_calls(&mut self) {
        for id in self.checker.ids(At::Blocked) {
            if self.checker.open[&id].answered {
                self.checker.open.remove(&id);
                self.batch(vec![Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 10.0 }]);
            }
        }
    }

    fn play(set: Settings, steps: &[Step], fault: Fault) -> Vec<String> {
        let mut fixture = World::new(set, fault);
        for step in steps {
            fixture.step(*step);
        }
        fixture.pass(9000.0);
        fixture.checker.broken
    }
}

/// Settings that press on every rule: small memory, cold or not, told waits or not, each kind of dependency.
fn pressing(kind: u8) -> Settings {
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

fn steps() -> impl Strategy<Value = (u8, Vec<Step>)> {
    (any::<u8>(), vec(any::<Step>(), 1..250))
}

#[test]
fn random_histories_violate_no_rule() {
    let played = runner(400).run(&steps(), |(kind, steps)| {
        let broken = World::play(pressing(kind), &steps, |_, _| {});
        prop_assert!(broken.is_empty(), "{broken:?}");
        Ok(())
    });
    if let Err(e) = played {
        panic!("{e}");
    }
}

fn forget_failures(actions: &mut Vec<Action>, _: &Checker) {
    actions.retain(|action| !matches!(action, Action::Fail(_)));
}

fn answer_twice(actions: &mut Vec<Action>, _: &Checker) {
    let failures: Vec<Action> =
        actions.iter().filter(|action| matches!(action, Action::Fail(_))).cloned().collect();
    actions.extend(failures);
}

fn run_repeats(actions: &mut [Action]) {
    for action in actions {
        if let Action::ReuseResult(id) = *action {
            *action = Action::Run(id);
        }
    }
}

fn reject_what_ran(actions: &mut [Action]) {
    for action in actions {
        if let Action::Fail(id) = *action {
            *action = Action::Reject { id, retry_after: 0.0, is_final: false };
        }
    }
}

fn run_all(actions: &mut Vec<Action>, checker: &Checker) {
    actions.extend(checker.ids(At::Held).into_iter().map(Action::Run));
}

fn repeat_every_call(actions: &mut Vec<Action>, checker: &Checker) {
    let blocked = checker.ids(At::Blocked).into_iter();
    actions.extend(blocked.map(|id| Action::Call { id, deadline: 0.0 }));
}

/// Faults of a controller, and a part of what the checker has to say about them.
const FAULTS: [(&str, Fault, &str); 6] = [
    ("forgets failures", forget_failures, "not answered"),
    ("answers twice", answer_twice, "answered twice"),
    ("runs repeats", |actions, _| run_repeats(actions), "within the window"),
    ("rejects what ran", |actions, _| reject_what_ran(actions), "refused though it ran"),
    ("runs all", run_all, "on the cores"),
    ("repeats every call", repeat_every_call, "repeats a call"),
];

/// The number of different violations with this text that the checker finds.
fn count_violations(fault: Fault, expected: &str) -> usize {
    let violations = std::cell::RefCell::new(BTreeSet::new());
    let _ = runner(150).run(&steps(), |(kind, steps)| {
        let broken = World::play(pressing(kind), &steps, fault);
        violations.borrow_mut().extend(broken.into_iter().filter(|text| text.contains(expected)));
        Ok(())
    });
    violations.into_inner().len()
}

#[test]
fn the_checker_detects_broken_controllers() {
    for (name, fault, expected) in FAULTS {
        assert!(count_violations(fault, expected) > 0, "a controller that {name} passes the checker");
    }
}
