//! Slow start of a fleet: twenty or thirty servers start within one second under the load of many callers,
//! and none exceeds the concurrency that it survives.
//!
//! Each server is a separate controller on a modelled machine that runs at the lowest speed that the settings
//! allow; servers share no state. The bound and its proof are in `docs/design/cold-start.md`: with N = cores
//! x (1 + (`core_concurrency` - 1) x speed), the mean number of requests on the cores over
//! `concurrency_window` stays within N whatever callers do, and so within the allowance N + 2 x sqrt(N) + 2.

mod common;
use std::collections::{BTreeMap, VecDeque};

use common::*;
use loomflow::controller::Controller;
use loomflow::interface::*;

/// Time step of the model and interval between two batches, ms.
const STEP_MS: f64 = 5.0;
const CORES: f64 = 6.0;
/// Mean work of a request, ms on one core of a warm server.
const MEAN_WORK_MS: f64 = 150.0;
/// Maximum number of servers that a caller tries for one request.
const MAX_ATTEMPTS: usize = 3;
/// Downstream calls end at multiples of this time, ms: all calls started within one interval end together.
const CALL_END_INTERVAL_MS: f64 = 400.0;

/// The speed that a server is assumed to have at least, `age` ms after its start, as a part of its full speed.
fn slow_start_speed(settings: &Settings, age: f64) -> f64 {
    if !settings.is_slow_start {
        return 1.0;
    }
    settings.slow_start_share
        + (1.0 - settings.slow_start_share) * (age / settings.slow_start_duration).clamp(0.0, 1.0)
}

/// N: the mean number of requests on the cores that a server survives.
fn survivable_concurrency(settings: &Settings, age: f64) -> f64 {
    settings.cores * (1.0 + (settings.core_concurrency - 1.0) * slow_start_speed(settings, age))
}

/// N plus the excess that the operators attribute to chance.
fn allowance(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// A linear congruential generator with a fixed seed.
struct Random(u64);

impl Random {
    /// A random number, uniform from 0 to below 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }

    fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end as f64) as usize).min(end - 1)
    }

    /// A random number from an exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptStage {
    Queued,
    OnCores,
    /// Off the cores until the controller starts or skips the call.
    AwaitingCall,
    /// In a downstream call that ends at this time.
    Calling(f64),
}

/// One attempt of a request, at one server.
struct Attempt {
    caller: usize,
    /// Number of servers tried for the request, including this one.
    servers_tried: usize,
    /// Remaining work, ms on one core of a warm server.
    work_left: f64,
    /// The remaining work at which the request needs its call; none once it has reached that point.
    call_at: Option<f64>,
    stage: AttemptStage,
    /// When the run started; before that, when the attempt arrived.
    started_at: f64,
}

/// A controller and the modelled machine that it controls.
struct Server {
    controller: Controller,
    settings: Settings,
    started_at: f64,
    timers: Vec<f64>,
    next_id: RequestId,
    attempts: BTreeMap<RequestId, Attempt>,
    events: Vec<Event>,
    /// The send share that responses carry; none before the first signal.
    signal: Option<f64>,
    /// Requests on the cores after each batch of the last `concurrency_window`.
    concurrency_samples: VecDeque<f64>,
    concurrency_sum: f64,
    /// The largest mean concurrency so far, as a part of N (see [`survivable_concurrency`]).
    max_part_of_n: f64,
    /// The largest mean concurrency so far, as a part of the [`allowance`].
    max_part_of_allowance: f64,
    served: usize,
    responses_without_share: usize,
}

/// The feedback that a caller last received from one server.
#[derive(Clone, Copy, Default)]
struct Feedback {
    /// The send share, and the time at which it was received, ms.
    share: Option<(f64, f64)>,
    retry_at: f64,
}

struct Caller {
    /// Whether the caller follows send shares and Retry-After.
    honours_feedback: bool,
    /// Last feedback from each server, by server index.
    feedback: BTreeMap<usize, Feedback>,
}

/// A response to a caller.
struct Response {
    server: usize,
    caller: usize,
    servers_tried: usize,
    retry_after: f64,
    /// Whether the caller may try another server.
    may_retry: bool,
}

struct Fleet {
    now: f64,
    random: Random,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Mean number of new requests in a step, from all callers.
    requests_per_step: f64,
}

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    cold_servers: usize,
    warm_servers: usize,
    callers: usize,
    /// Part of the callers that follow send shares and Retry-After.
    honouring_part: f64,
    /// Requested work, as a multiple of the capacity of all servers when warm.
    load: f64,
    makes_calls: bool,
    seed: u64,
}

fn server_settings(scenario: &Scenario, is_cold: bool) -> Settings {
    let mut settings = settings();
    (settings.cores, settings.is_slow_start, settings.slow_start_share, settings.slow_start_duration) =
        (CORES, is_cold, 0.2, 15_000.0);
    settings.memory_kb = 100_000.0;
    (settings.server_count, settings.caller_count) =
        ((scenario.cold_servers + scenario.warm_servers) as f64, scenario.callers as f64);
    settings.downstream = if scenario.makes_calls { Downstream::Tier } else { Downstream::None };
    settings.classes.iter_mut().for_each(|class| class.makes_calls = scenario.makes_calls);
    settings
}

impl Server {
    fn new(settings: Settings, seed: u64, started_at: f64) -> Server {
        Server {
            controller: Controller::new(settings.clone(), seed, started_at),
            settings,
            started_at,
            timers: vec![],
            next_id: 1,
            attempts: BTreeMap::new(),
            events: vec![],
            signal: None,
            concurrency_samples: VecDeque::new(),
            concurrency_sum: 0.0,
            max_part_of_n: 0.0,
            max_part_of_allowance: 0.0,
            served: 0,
            responses_without_share: 0,
        }
    }

    fn count(&self, stage: AttemptStage) -> f64 {
        self.attempts.values().filter(|attempt| attempt.stage == stage).count() as f64
    }

    fn arrive(&mut self, now: f64, caller: usize, servers_tried: usize, work: f64) {
        let id = self.next_id;
        self.next_id += 1;
        let call_at = self.settings.classes[SAFE].makes_calls.then_some(work / 2.0);
        let attempt = Attempt {
            caller,
            servers_tried,
            work_left: work,
            call_at,
            stage: AttemptStage::Queued,
            started_at: now,
        };
        self.attempts.insert(id, attempt);
        let mut arrival = arrival(id, SAFE);
        (arrival.attributes.estimated_work, arrival.attributes.caller) = (Some(work), caller as u64);
        self.events.push(Event::RequestArrived(arrival));
    }

    /// Advances the machine by one step; requests on the cores share them evenly.
    fn advance_cores(&mut self, now: f64) {
        let on_cores = self.count(AttemptStage::OnCores);
        let part = (self.settings.cores / on_cores.max(1.0)).min(1.0);
        let work_done = STEP_MS * part * slow_start_speed(&self.settings, now - self.started_at);
        for (id, attempt) in &mut self.attempts {
            match attempt.stage {
                AttemptStage::OnCores => {
                    attempt.work_left -= work_done;
                    if attempt.call_at.is_some_and(|at| attempt.work_left <= at) {
                        (attempt.call_at, attempt.stage) = (None, AttemptStage::AwaitingCall);
                        self.events.push(Event::CallNeeded(*id));
                    } else if attempt.work_left <= 0.0 {
                        let duration = now - attempt.started_at;
                        self.events.push(Event::RunEnded { id: *id, outcome: AttemptOutcome::Ok, duration });
                    }
                }
                AttemptStage::Calling(until) if until <= now => {
                    attempt.stage = AttemptStage::OnCores;
                    let duration = CALL_END_INTERVAL_MS;
                    self.events.push(Event::CallEnded { id: *id, outcome: AttemptOutcome::Ok, duration });
                }
                _ => {}
            }
        }
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        if due > 0 {
            let core_utilization = Some(part.recip().recip().min(on_cores / self.settings.cores).min(1.0));
            let gauges = Gauges { core_utilization, runnable: Some(on_cores), ..IDLE };
            self.events.push(Event::TimerFired(gauges));
        }
    }

    /// Runs one batch and returns its responses.
    fn run_batch(&mut self, number: usize, now: f64) -> Vec<Response> {
        let (mut actions, mut responses) = (vec![], vec![]);
        for event in std::mem::take(&mut self.events) {
            if let Event::RunEnded { id, .. } = &event
                && let Some(ended) = self.attempts.remove(id)
            {
                self.served += 1;
                responses.push((ended, 0.0, false));
            }
            self.controller.event(now, event, &mut actions);
        }
        self.controller.decide(now, &mut actions);
        for action in actions {
            self.apply(action, now, &mut responses);
        }
        self.sample(now);
        if self.signal.is_none() {
            self.responses_without_share += responses.len();
        }
        let response = |(attempt, retry_after, may_retry): (Attempt, f64, bool)| Response {
            server: number,
            caller: attempt.caller,
            servers_tried: attempt.servers_tried,
            retry_after,
            may_retry,
        };
        responses.into_iter().map(response).collect()
    }

    fn apply(&mut self, action: Action, now: f64, responses: &mut Vec<(Attempt, f64, bool)>) {
        match action {
            Action::Run(id) => {
                let attempt =
                    self.attempts.get_mut(&id).expect("the request that the controller runs is unknown");
                (attempt.stage, attempt.started_at) = (AttemptStage::OnCores, now);
            }
            Action::Reject { id, retry_after, is_final } => {
                // A request that runs when it gets its response keeps running: the settings support no preemption.
                let is_queued =
                    self.attempts.get(&id).is_some_and(|attempt| attempt.stage == AttemptStage::Queued);
                if let Some(ended) = is_queued.then(|| self.attempts.remove(&id)).flatten() {
                    responses.push((ended, retry_after, !is_final));
                }
            }
            Action::Call { id, .. } => {
                let attempt = self.attempts.get_mut(&id).expect("the request that starts a call is unknown");
                attempt.stage = AttemptStage::Calling(
                    ((now / CALL_END_INTERVAL_MS).floor() + 1.0) * CALL_END_INTERVAL_MS,
                );
            }
            Action::SkipCall(id) => {
                self.attempts.get_mut(&id).expect("the request that skips its call is unknown").stage =
                    AttemptStage::OnCores;
            }
            Action::SetSignal(share) => self.signal = Some(share),
            Action::SetTimer(at) => self.timers.push(at),
            _ => {}
        }
    }

    fn sample(&mut self, now: f64) {
        let on_cores = self.count(AttemptStage::OnCores);
        self.concurrency_samples.push_back(on_cores);
        self.concurrency_sum += on_cores;
        if self.concurrency_samples.len() as f64 > self.settings.concurrency_window / STEP_MS {
            self.concurrency_sum -= self.concurrency_samples.pop_front().expect("a sample was just added");
        }
        let mean = self.concurrency_sum / (self.settings.concurrency_window / STEP_MS);
        let n = survivable_concurrency(&self.settings, now - self.started_at);
        self.max_part_of_n = self.max_part_of_n.max(mean / n);
        self.max_part_of_allowance = self.max_part_of_allowance.max(mean / allowance(n));
    }
}

impl Fleet {
    fn new(scenario: &Scenario) -> Fleet {
        let mut random = Random(scenario.seed);
        let now = 1_000_000.0;
        let servers = (0..scenario.cold_servers + scenario.warm_servers).map(|number| {
            let is_cold = number < scenario.cold_servers;
            // Cold servers start within the same second, warm ones at once.
            let started_at =
                if is_cold { now + (random.unit() * 1000.0 / STEP_MS).floor() * STEP_MS } else { now };
            Server::new(server_settings(scenario, is_cold), number as u64, started_at)
        });
        let servers: Vec<Server> = servers.collect();
        let caller = |number| Caller {
            honours_feedback: (number as f64) < scenario.honouring_part * scenario.callers as f64,
            feedback: BTreeMap::new(),
        };
        let capacity = servers.len() as f64 * CORES / MEAN_WORK_MS;
        let callers = (0..scenario.callers).map(caller).collect();
        Fleet { now, random, servers, callers, requests_per_step: scenario.load * capacity * STEP_MS }
    }

    /// Chooses a server at random; callers that honour feedback skip servers by their send share and
    /// Retry-After.
    fn choose_server(&mut self, caller: usize) -> Option<usize> {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        for at in (1..order.len()).rev() {
            order.swap(at, self.random.below(at + 1));
        }
        for server in order {
            if self.servers[server].started_at > self.now {
                continue;
            }
            let feedback = self.callers[caller].feedback.get(&server).copied().unwrap_or_default();
            if !self.callers[caller].honours_feedback {
                return Some(server);
            }
            let current =
                feedback.share.filter(|(_, at)| self.now - at <= self.servers[server].settings.signal_ttl);
            let share = current.map_or(1.0, |(share, _)| share);
            if feedback.retry_at <= self.now && self.random.unit() < share {
                return Some(server);
            }
        }
        None
    }

    fn send_request(&mut self, caller: usize, servers_tried: usize) {
        if let Some(server) = self.choose_server(caller) {
            let work = MEAN_WORK_MS * self.random.exponential().clamp(0.1, 4.0);
            self.servers[server].arrive(self.now, caller, servers_tried, work);
        }
    }

    fn receive(&mut self, response: Response) {
        let feedback = self.callers[response.caller].feedback.entry(response.server).or_default();
        if let Some(share) = self.servers[response.server].signal {
            feedback.share = Some((share, self.now));
        }
        feedback.retry_at = feedback.retry_at.max(self.now + response.retry_after);
        if response.may_retry && response.servers_tried < MAX_ATTEMPTS {
            self.send_request(response.caller, response.servers_tried + 1);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let mut remaining = self.requests_per_step;
        while remaining > self.random.unit() {
            remaining -= 1.0;
            let caller = self.random.below(self.callers.len());
            self.send_request(caller, 1);
        }
        let now = self.now;
        let mut responses = vec![];
        for (number, server) in self.servers.iter_mut().enumerate() {
            if server.started_at <= now {
                server.advance_cores(now);
                responses.extend(server.run_batch(number, now));
            }
        }
        for response in responses {
            self.receive(response);
        }
    }

    fn run(scenario: &Scenario, duration: f64) -> Fleet {
        let mut fleet = Fleet::new(scenario);
        let until = fleet.now + duration;
        while fleet.now < until {
            fleet.step();
        }
        fleet
    }

    fn max(&self, value: impl Fn(&Server) -> f64) -> f64 {
        self.servers.iter().map(value).fold(0.0, f64::max)
    }
}

/// Twenty and thirty cold servers, with callers that honour feedback, ignore it or are mixed, at loads below
/// and above capacity; alone with downstream calls, or without calls beside as many warm servers.
fn scenarios() -> impl Iterator<Item = Scenario> {
    [20, 30].into_iter().flat_map(|cold_servers| {
        [(1.0, 0.9), (1.0, 1.5), (0.0, 0.9), (0.0, 1.5), (0.5, 1.2)].into_iter().flat_map(
            move |(honouring_part, load)| {
                [(true, 0), (false, cold_servers)].into_iter().map(move |(makes_calls, warm_servers)| {
                    let seed = 51_070_003 + cold_servers as u64;
                    Scenario {
                        cold_servers,
                        warm_servers,
                        callers: 150,
                        honouring_part,
                        load,
                        makes_calls,
                        seed,
                    }
                })
            },
        )
    })
}

#[test]
fn slow_start_concurrency_stays_within_its_bound() {
    for scenario in scenarios() {
        let fleet = Fleet::run(&scenario, 8_000.0);
        let served: usize = fleet.servers.iter().map(|server| server.served).sum();
        let (of_n, of_allowance) =
            (fleet.max(|server| server.max_part_of_n), fleet.max(|server| server.max_part_of_allowance));
        println!("{scenario:?}: {of_n:.3} of N, {of_allowance:.3} of the allowance, {served} served");
        assert!(
            of_allowance <= 1.0,
            "{scenario:?}: {of_allowance:.3} of the allowance, at most 1 is allowed"
        );
        assert!(of_n <= 1.0, "{scenario:?}: {of_n:.3} of N, at most 1 is allowed");
        assert!(served > 0, "{scenario:?}: no request was served");
    }
}

/// Callers without feedback treat a server as warm, so its first response must carry the reduced share.
#[test]
fn the_first_batch_in_slow_start_signals_the_reduced_speed() {
    let mut settings = settings();
    (settings.is_slow_start, settings.slow_start_share) = (true, 0.2);
    let driver = Driver::new(settings);
    assert_eq!(driver.signals(), [0.2]);
}

/// Requests in calls are off the cores but return to them without a decision of the controller, so the bound
/// applies to all runs that have started.
#[test]
fn returning_calls_stay_within_slow_start_concurrency() {
    let mut settings = settings();
    (settings.cores, settings.is_slow_start, settings.slow_start_share) = (CORES, true, 0.2);
    let n = survivable_concurrency(&settings, 0.0);
    let mut driver = Driver::new(settings);
    driver.gauges.runnable = Some(0.0);
    driver.batch((1..=60).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    // Each run reaches its call as soon as it starts, and no call ends.
    let mut next = 0;
    while next < driver.log.len() {
        let id = if let Action::Run(id) = driver.log[next].1 { Some(id) } else { None };
        next += 1;
        if let Some(id) = id {
            driver.event(Event::CallNeeded(id));
        }
    }
    let started = driver.started_count() as f64;
    assert!(started >= CORES, "{started} runs started, fewer than the {CORES} cores");
    assert!(started <= n, "{started} runs may be on the cores at once, {n} are survivable");
}
