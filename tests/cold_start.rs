//! A fleet that starts cold: twenty and thirty servers start within the same second under the load of many callers, and none
//! runs more requests than it survives.
//!
//! Each server is a controller of its own on a modelled machine at the lowest speed that the settings allow; they share nothing.
//! The bound and its proof are in `docs/design/cold-start.md`: with N = cores x (1 + (`core_concurrency` - 1) x speed), the mean
//! of the requests on the cores over `concurrency_window` stays within N, whatever callers do, and so within the allowance
//! N + 2 x root of N + 2.

mod common;
use std::collections::{BTreeMap, VecDeque};

use common::*;
use loomflow::controller::Controller;
use loomflow::interface::*;

/// Step of the model and least time between two batches, ms.
const STEP: f64 = 5.0;
const CORES: f64 = 6.0;
/// Mean work of a request, ms on one core of a warm server.
const MEAN_WORK: f64 = 150.0;
/// Servers that a caller tries for one request.
const TRIES: usize = 3;
/// How long a call below takes, ms: all that are made within one of these come back together.
const CALLS_RETURN_EVERY: f64 = 400.0;

/// The share of its full speed that a cold server has at the least, so long after its start.
fn speed_share(set: &Settings, age: f64) -> f64 {
    if !set.is_slow_start {
        return 1.0;
    }
    set.slow_start_share + (1.0 - set.slow_start_share) * (age / set.slow_start_duration).clamp(0.0, 1.0)
}

/// N: the requests on the cores that a server survives in the mean.
fn survived(set: &Settings, age: f64) -> f64 {
    set.cores * (1.0 + (set.core_concurrency - 1.0) * speed_share(set, age))
}

/// What the operators put down to chance beyond N.
fn allowance(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// Random numbers that are the same every time.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }

    fn below(&mut self, end: usize) -> usize {
        ((self.next() * end as f64) as usize).min(end - 1)
    }

    /// From an exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.next()).ln()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptStage {
    Held,
    OnCores,
    /// Waits to be told about its call.
    BeforeCall,
    /// Its call ends then.
    Calling(f64),
}

/// One try of a request at one server.
struct Attempt {
    caller: usize,
    /// Servers tried for the request, this one included.
    tries: usize,
    /// Work that is left, ms, and how much is left when it comes to its call.
    left: f64,
    call_at: Option<f64>,
    stage: AttemptStage,
    begun: f64,
}

/// One server: the module, and the machine that it decides for.
struct Server {
    controller: Controller,
    set: Settings,
    born: f64,
    timers: Vec<f64>,
    next_id: RequestId,
    attempts: BTreeMap<RequestId, Attempt>,
    events: Vec<Event>,
    /// The share that each answer carries.
    told: Option<f64>,
    /// Requests on the cores after each batch of the last span, and their sum.
    on_cores: VecDeque<f64>,
    on_cores_sum: f64,
    /// The largest mean over the span as a part of N and of the allowance.
    worst_of_n: f64,
    worst_of_allowance: f64,
    served: usize,
    answers_without_share: usize,
}

/// What a caller remembers of one server.
#[derive(Clone, Copy, Default)]
struct Heard {
    share: Option<(f64, f64)>,
    away_until: f64,
}

struct Caller {
    heeds: bool,
    heard: BTreeMap<usize, Heard>,
}

/// An answer on its way to a caller; `again`: the caller may try the next server.
struct Answer {
    server: usize,
    caller: usize,
    tries: usize,
    pause: f64,
    again: bool,
}

struct Fleet {
    now: f64,
    random: Random,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Requests of all callers in a step, in the mean.
    rate: f64,
}

/// What a day is like.
#[derive(Clone, Copy, Debug)]
struct Day {
    cold: usize,
    warm: usize,
    callers: usize,
    /// Part of the callers that heed what they are told.
    heed: f64,
    /// Work that is asked for over what all servers do when warm.
    load: f64,
    calls: bool,
    seed: u64,
}

fn settings_of(day: &Day, cold: bool) -> Settings {
    let mut set = settings();
    (set.cores, set.is_slow_start, set.slow_start_share, set.slow_start_duration) =
        (CORES, cold, 0.2, 15_000.0);
    set.memory_kb = 100_000.0;
    (set.server_count, set.caller_count) = ((day.cold + day.warm) as f64, day.callers as f64);
    set.downstream = if day.calls { Downstream::Tier } else { Downstream::None };
    set.classes.iter_mut().for_each(|class| class.makes_calls = day.calls);
    set
}

impl Server {
    fn new(set: Settings, seed: u64, born: f64) -> Server {
        Server {
            controller: Controller::new(set.clone(), seed, born),
            set,
            born,
            timers: vec![],
            next_id: 1,
            attempts: BTreeMap::new(),
            events: vec![],
            told: None,
            on_cores: VecDeque::new(),
            on_cores_sum: 0.0,
            worst_of_n: 0.0,
            worst_of_allowance: 0.0,
            served: 0,
            answers_without_share: 0,
        }
    }

    fn count(&self, stage: AttemptStage) -> f64 {
        self.attempts.values().filter(|attempt| attempt.stage == stage).count() as f64
    }

    fn arrive(&mut self, now: f64, caller: usize, tries: usize, work: f64) {
        let id = self.next_id;
        self.next_id += 1;
        let call_at = self.set.classes[SAFE].makes_calls.then_some(work / 2.0);
        let attempt = Attempt { caller, tries, left: work, call_at, stage: AttemptStage::Held, begun: now };
        self.attempts.insert(id, attempt);
        let mut arrival = arrival(id, SAFE);
        (arrival.attributes.estimated_work, arrival.attributes.caller) = (Some(work), caller as u64);
        self.events.push(Event::RequestArrived(arrival));
    }

    /// The machine goes on for one step: all that is on the cores shares them.
    fn work(&mut self, now: f64) {
        let on_cores = self.count(AttemptStage::OnCores);
        let part = (self.set.cores / on_cores.max(1.0)).min(1.0);
        let done = STEP * part * speed_share(&self.set, now - self.born);
        for (id, attempt) in &mut self.attempts {
            match attempt.stage {
                AttemptStage::OnCores => {
                    attempt.left -= done;
                    if attempt.call_at.is_some_and(|at| attempt.left <= at) {
                        (attempt.call_at, attempt.stage) = (None, AttemptStage::BeforeCall);
                        self.events.push(Event::CallNeeded(*id));
                    } else if attempt.left <= 0.0 {
                        let took = now - attempt.begun;
                        self.events.push(Event::RunEnded {
                            id: *id,
                            outcome: AttemptOutcome::Ok,
                            duration: took,
                        });
                    }
                }
                AttemptStage::Calling(until) if until <= now => {
                    attempt.stage = AttemptStage::OnCores;
                    let took = CALLS_RETURN_EVERY;
                    self.events.push(Event::CallEnded {
                        id: *id,
                        outcome: AttemptOutcome::Ok,
                        duration: took,
                    });
                }
                _ => {}
            }
        }
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        if due > 0 {
            let core_use = Some(part.recip().recip().min(on_cores / self.set.cores).min(1.0));
            let gauges = Gauges { core_utilization: core_use, runnable: Some(on_cores), ..IDLE };
            self.events.push(Event::TimerFired(gauges));
        }
    }

    /// One batch; the answers that it gave.
    fn decide(&mut self, number: usize, now: f64) -> Vec<Answer> {
        let (mut actions, mut answers) = (vec![], vec![]);
        for event in std::mem::take(&mut self.events) {
            if let Event::RunEnded { id, .. } = &event
                && let Some(over) = self.attempts.remove(id)
            {
                self.served += 1;
                answers.push((over, 0.0, false));
            }
            self.controller.event(now, event, &mut actions);
        }
        self.controller.decide(now, &mut actions);
        for action in actions {
            self.act(action, now, &mut answers);
        }
        self.sample(now);
        if self.told.is_none() {
            self.answers_without_share += answers.len();
        }
        let answer = |(attempt, pause, again): (Attempt, f64, bool)| Answer {
            server: number,
            caller: attempt.caller,
            tries: attempt.tries,
            pause,
            again,
        };
        answers.into_iter().map(answer).collect()
    }

    fn act(&mut self, action: Action, now: f64, answers: &mut Vec<(Attempt, f64, bool)>) {
        match action {
            Action::Run(id) => {
                let attempt = self.attempts.get_mut(&id).expect("it is held");
                (attempt.stage, attempt.begun) = (AttemptStage::OnCores, now);
            }
            Action::Reject { id, retry_after: pause, is_final: last } => {
                // One that runs is answered and runs on: nothing here can be stopped.
                let held = self.attempts.get(&id).is_some_and(|attempt| attempt.stage == AttemptStage::Held);
                if let Some(over) = held.then(|| self.attempts.remove(&id)).flatten() {
                    answers.push((over, pause, !last));
                }
            }
            Action::Call { id, .. } => {
                let attempt = self.attempts.get_mut(&id).expect("it runs");
                attempt.stage =
                    AttemptStage::Calling(((now / CALLS_RETURN_EVERY).floor() + 1.0) * CALLS_RETURN_EVERY);
            }
            Action::SkipCall(id) => {
                self.attempts.get_mut(&id).expect("it runs").stage = AttemptStage::OnCores;
            }
            Action::SetSignal(share) => self.told = Some(share),
            Action::SetTimer(at) => self.timers.push(at),
            _ => {}
        }
    }

    fn sample(&mut self, now: f64) {
        let on_cores = self.count(AttemptStage::OnCores);
        self.on_cores.push_back(on_cores);
        self.on_cores_sum += on_cores;
        if self.on_cores.len() as f64 > self.set.concurrency_window / STEP {
            self.on_cores_sum -= self.on_cores.pop_front().expect("it holds some");
        }
        let mean = self.on_cores_sum / (self.set.concurrency_window / STEP);
        let n = survived(&self.set, now - self.born);
        self.worst_of_n = self.worst_of_n.max(mean / n);
        self.worst_of_allowance = self.worst_of_allowance.max(mean / allowance(n));
    }
}

impl Fleet {
    fn new(day: &Day) -> Fleet {
        let mut random = Random(day.seed);
        let now = 1_000_000.0;
        let servers = (0..day.cold + day.warm).map(|number| {
            let cold = number < day.cold;
            // All of them within the same second.
            let born = if cold { now + (random.next() * 1000.0 / STEP).floor() * STEP } else { now };
            Server::new(settings_of(day, cold), number as u64, born)
        });
        let servers: Vec<Server> = servers.collect();
        let caller = |number| Caller {
            heeds: (number as f64) < day.heed * day.callers as f64,
            heard: BTreeMap::new(),
        };
        let capacity = servers.len() as f64 * CORES / MEAN_WORK;
        let callers = (0..day.callers).map(caller).collect();
        Fleet { now, random, servers, callers, rate: day.load * capacity * STEP }
    }

    /// The first server that a caller does not pass by, in an order of its own each time.
    fn choose(&mut self, caller: usize) -> Option<usize> {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        for at in (1..order.len()).rev() {
            order.swap(at, self.random.below(at + 1));
        }
        for server in order {
            if self.servers[server].born > self.now {
                continue;
            }
            let heard = self.callers[caller].heard.get(&server).copied().unwrap_or_default();
            if !self.callers[caller].heeds {
                return Some(server);
            }
            let remembered =
                heard.share.filter(|(_, at)| self.now - at <= self.servers[server].set.signal_ttl);
            let share = remembered.map_or(1.0, |(share, _)| share);
            if heard.away_until <= self.now && self.random.next() < share {
                return Some(server);
            }
        }
        None
    }

    fn send(&mut self, caller: usize, tries: usize) {
        if let Some(server) = self.choose(caller) {
            let work = MEAN_WORK * self.random.exponential().clamp(0.1, 4.0);
            self.servers[server].arrive(self.now, caller, tries, work);
        }
    }

    fn hear(&mut self, answer: Answer) {
        let heard = self.callers[answer.caller].heard.entry(answer.server).or_default();
        if let Some(share) = self.servers[answer.server].told {
            heard.share = Some((share, self.now));
        }
        heard.away_until = heard.away_until.max(self.now + answer.pause);
        if answer.again && answer.tries < TRIES {
            self.send(answer.caller, answer.tries + 1);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let mut asked = self.rate;
        while asked > self.random.next() {
            asked -= 1.0;
            let caller = self.random.below(self.callers.len());
            self.send(caller, 1);
        }
        let now = self.now;
        let mut answers = vec![];
        for (number, server) in self.servers.iter_mut().enumerate() {
            if server.born <= now {
                server.work(now);
                answers.extend(server.decide(number, now));
            }
        }
        for answer in answers {
            self.hear(answer);
        }
    }

    fn play(day: &Day, span: f64) -> Fleet {
        let mut fleet = Fleet::new(day);
        let until = fleet.now + span;
        while fleet.now < until {
            fleet.step();
        }
        fleet
    }

    fn worst(&self, of: impl Fn(&Server) -> f64) -> f64 {
        self.servers.iter().map(of).fold(0.0, f64::max)
    }
}

/// Every kind of day: twenty and thirty starts, callers that heed and that don't, with calls and without, alone and among
/// as many warm servers.
fn days() -> impl Iterator<Item = Day> {
    [20, 30].into_iter().flat_map(|cold| {
        [(1.0, 0.9), (1.0, 1.5), (0.0, 0.9), (0.0, 1.5), (0.5, 1.2)].into_iter().flat_map(
            move |(heed, load)| {
                [(true, 0), (false, cold)].into_iter().map(move |(calls, warm)| {
                    let seed = 51_070_003 + cold as u64;
                    Day { cold, warm, callers: 150, heed, load, calls, seed }
                })
            },
        )
    })
}

#[test]
fn no_slow_start_exceeds_its_budget_whether_callers_honour_the_share_or_not() {
    for day in days() {
        let fleet = Fleet::play(&day, 8_000.0);
        let served: usize = fleet.servers.iter().map(|server| server.served).sum();
        let (of_n, of_allowance) =
            (fleet.worst(|server| server.worst_of_n), fleet.worst(|server| server.worst_of_allowance));
        println!("{day:?}: {of_n:.3} of N, {of_allowance:.3} of the allowance, {served} served");
        assert!(of_allowance <= 1.0, "{day:?}: {of_allowance:.3} of the allowance");
        assert!(of_n <= 1.0, "{day:?}: {of_n:.3} of N");
        assert!(served > 0, "{day:?}: nothing is served");
    }
}

/// The first answer of all already tells it: callers that have heard nothing act as if it were warm.
#[test]
fn the_first_batch_in_slow_start_signals_the_reduced_speed() {
    let mut set = settings();
    (set.is_slow_start, set.slow_start_share) = (true, 0.2);
    let driver = Driver::new(set);
    assert_eq!(driver.signals(), [0.2]);
}

/// What waits for its call is not on the cores, and comes back unasked: all that was begun is survived together.
#[test]
fn calls_that_return_together_stay_within_the_concurrency_of_slow_start() {
    let mut set = settings();
    (set.cores, set.is_slow_start, set.slow_start_share) = (CORES, true, 0.2);
    let n = survived(&set, 0.0);
    let mut driver = Driver::new(set);
    driver.gauges.runnable = Some(0.0);
    driver.batch((1..=60).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    // Each run comes to its call as soon as it is begun; then all calls end, over and over, and no run does.
    let mut seen = 0;
    while seen < driver.log.len() {
        let id = if let Action::Run(id) = driver.log[seen].1 { Some(id) } else { None };
        seen += 1;
        if let Some(id) = id {
            driver.one(Event::CallNeeded(id));
        }
    }
    let begun = driver.started() as f64;
    assert!(begun >= CORES, "its cores are used: {begun}");
    assert!(begun <= n, "{begun} may be on the cores at once, {n} survive");
}
