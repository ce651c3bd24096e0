//! One server: the decision module, the cores it decides over, and the requests that wait to be read.
//!
//! A state machine: it is told what reaches it, when a moment it asked for has come, and says what is to follow.

use std::collections::{BTreeMap, VecDeque};

use loomflow::choice::Controller;
use loomflow::interface::{Action, Arrival, Event, Gauges, Load, Outcome, Settings};

use crate::clock::{MILLISECOND, Micros, SECOND, from_millis, to_millis};
use crate::cores::{AttemptId, Cores, Job};
use crate::settings::TICK;
use crate::setup::ServerSetup;

/// The span over which the busy share of the cores is measured.
const GAUGE_SPAN: Micros = SECOND / 2;
/// After this long without a request on it a connection is closed at once, where that is the policy.
const AT_ONCE: Micros = 50 * MILLISECOND;
/// The part of the table that may stay in use where room is made.
const ROOM_KEPT: f64 = 0.75;
/// What a request takes in memory, in kilobytes; memory is never short in this model.
const REQUEST_KB: f64 = 10.0;

/// Who decides when idle connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The decision module.
    Module,
    /// Baseline: they are kept as long as callers keep them, whatever the module says.
    Kept,
    /// Baseline: they are kept while the table has room; above that the longest idle are closed.
    KeptWithRoom,
    /// Baseline: they are closed at once, whatever the module says.
    Closed,
}

/// A request as it reaches a server.
#[derive(Clone, Copy, Debug)]
pub struct Incoming {
    /// The caller's attempt.
    pub attempt: AttemptId,
    /// The caller.
    pub caller: usize,
    /// It came over a new connection.
    pub new_connection: bool,
    /// Its caller or its client tried before.
    pub retry: bool,
    /// Milliseconds of one core that it needs.
    pub work: f64,
    /// The same as its caller estimates it.
    pub estimate: f64,
}

/// A server's final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served,
    /// Turned away: never ran.
    Refused {
        /// How long the caller is asked to stay away.
        pause: Micros,
        /// No other server is to be tried.
        last: bool,
    },
    /// Failed.
    Failed,
}

/// What a server wants to happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// An answer goes out, with the share of usual traffic that the server wants.
    Answer {
        /// To which attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
        /// The told share, 0 to 1.
        share: f64,
    },
    /// `cores_due` is to be called then, with this version.
    CoresAt(Micros, u64),
    /// `batch_due` is to be called then.
    BatchAt(Micros),
    /// `wake_due` is to be called then.
    WakeAt(Micros),
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Unread,
    Reading,
    /// Known to the module.
    Taken,
}

struct InHand {
    incoming: Incoming,
    reached: Micros,
    stage: Stage,
    answered: bool,
    began: Micros,
}

/// One server, from its start to its death.
pub struct Server {
    module: Controller,
    setup: ServerSetup,
    cores: Cores,
    cores_version: u64,
    unread: VecDeque<AttemptId>,
    reading: usize,
    in_hand: BTreeMap<AttemptId, InHand>,
    inbox: Vec<Event>,
    batch_at: Option<Micros>,
    last_batch: Micros,
    share: f64,
    closes_idle_after: Micros,
    started: Micros,
    cold: bool,
    /// Speed left by a fault, 0 to 1.
    health: f64,
    speed: f64,
    /// Busy time of the cores at the last beats.
    busy: VecDeque<(Micros, f64)>,
}

impl Server {
    /// Starts a server.
    pub fn start(setup: &ServerSetup, settings: Settings, seed: u64, now: Micros) -> Server {
        let closes_idle_after = match setup.idle_policy {
            IdlePolicy::Closed => AT_ONCE,
            IdlePolicy::Module | IdlePolicy::Kept | IdlePolicy::KeptWithRoom => {
                from_millis(settings.idle_timeout)
            }
        };
        let cold = settings.is_slow_start;
        Server {
            module: Controller::new(settings, seed, to_millis(now)),
            setup: setup.clone(),
            cores: Cores::new(setup.cores, now),
            cores_version: 0,
            unread: VecDeque::new(),
            reading: 0,
            in_hand: BTreeMap::new(),
            inbox: Vec::new(),
            batch_at: None,
            last_batch: now,
            share: 1.0,
            closes_idle_after,
            started: now,
            cold,
            health: 1.0,
            speed: 1.0,
            busy: VecDeque::new(),
        }
    }

    /// After how long idle connections are closed from now on.
    pub fn closes_idle_after(&self) -> Micros {
        self.closes_idle_after
    }

    /// The part of its table above which it closes the longest idle connections.
    pub fn table_kept(&self) -> f64 {
        if self.setup.idle_policy == IdlePolicy::KeptWithRoom { ROOM_KEPT } else { 1.0 }
    }

    /// The load as the module sees it.
    pub fn load(&self) -> Load {
        self.module.load()
    }

    /// The busy share of the cores over the last half second that was measured; 0 before there is one.
    pub fn busy(&self) -> f64 {
        let (Some((from, before)), Some((to, after))) = (self.busy.front(), self.busy.back()) else {
            return 0.0;
        };
        if to > from { (after - before) / to_millis(to - from) } else { 0.0 }
    }

    /// Requests that wait to be read.
    pub fn unread(&self) -> usize {
        self.unread.len()
    }

    /// Changes the speed that a fault leaves, 0 to 1.
    pub fn set_health(&mut self, health: f64) {
        self.health = health;
    }

    /// A request reaches the machine.
    pub fn reached(&mut self, now: Micros, incoming: Incoming, out: &mut Vec<Output>) {
        let in_hand = InHand { incoming, reached: now, stage: Stage::Unread, answered: false, began: now };
        self.in_hand.insert(incoming.attempt, in_hand);
        self.unread.push_back(incoming.attempt);
        if self.read_next(now) {
            self.schedule_cores(out);
        }
    }

    /// The caller of an attempt closed its connection.
    pub fn caller_gone(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Output>) {
        match self.in_hand.get(&attempt).map(|request| request.stage) {
            // What is being read is read to its end: only then can it be seen that nobody waits.
            Some(Stage::Unread | Stage::Reading) => {
                self.in_hand.remove(&attempt);
            }
            Some(Stage::Taken) => {
                self.unanswerable(attempt);
                self.inbox.push(Event::RequestCancelled(attempt));
                self.schedule_batch(now, out);
            }
            None => {}
        }
    }

    /// Work on the cores may be done.
    pub fn cores_due(&mut self, now: Micros, version: u64, out: &mut Vec<Output>) {
        if version != self.cores_version {
            return;
        }
        while let Some(job) = self.cores.take_done(now) {
            match job {
                Job::Read(attempt) => self.was_read(now, attempt, out),
                Job::Run(attempt) => self.run_done(now, attempt, Outcome::Ok, out),
            }
        }
        self.read_next(now);
        self.schedule_cores(out);
    }

    /// The moment for the next batch has come.
    pub fn batch_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.batch_at.is_some_and(|at| at <= now) {
            self.batch(now, out);
        }
    }

    /// The moment that the module asked for has come.
    pub fn wake_due(&mut self, now: Micros, table_fill: f64, connections: usize, out: &mut Vec<Output>) {
        self.update_speed(now, table_fill, out);
        self.measure(now);
        let gauges = Gauges {
            core_utilization: Some(self.busy()),
            runnable: Some(self.cores.jobs() as f64),
            memory_utilization: None,
            connections: Some(connections as f64),
        };
        self.inbox.push(Event::TimerFired(gauges));
        self.batch(now, out);
    }

    fn was_read(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Output>) {
        self.reading -= 1;
        let Some(request) = self.in_hand.get_mut(&attempt) else { return };
        request.stage = Stage::Taken;
        let arrival = arrival(&request.incoming, to_millis(now - request.reached));
        self.inbox.push(Event::RequestArrived(arrival));
        self.schedule_batch(now, out);
    }

    fn run_done(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(request) = self.in_hand.remove(&attempt) else { return };
        if outcome == Outcome::Ok && !request.answered {
            out.push(Output::Answer { attempt, answer: Answer::Served, share: self.share });
        }
        let took = to_millis(now - request.began);
        self.inbox.push(Event::RunEnded { id: attempt, outcome, duration: took });
        self.schedule_batch(now, out);
    }

    /// Puts waiting requests on the cores to be read, one a core; true if any was put there.
    fn read_next(&mut self, now: Micros) -> bool {
        let mut any = false;
        while (self.reading as f64) < self.setup.cores {
            let Some(attempt) = self.unread.pop_front() else { break };
            let Some(request) = self.in_hand.get_mut(&attempt) else { continue };
            request.stage = Stage::Reading;
            let handshake = if request.incoming.new_connection { self.setup.handshake_work } else { 0.0 };
            self.cores.add(now, Job::Read(attempt), self.setup.read_work + handshake);
            self.reading += 1;
            any = true;
        }
        any
    }

    fn schedule_cores(&mut self, out: &mut Vec<Output>) {
        self.cores_version += 1;
        if let Some(at) = self.cores.next_done() {
            out.push(Output::CoresAt(at, self.cores_version));
        }
    }

    fn schedule_batch(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.batch_at.is_none() {
            let at = now.max(self.last_batch + TICK);
            self.batch_at = Some(at);
            out.push(Output::BatchAt(at));
        }
    }

    /// Feeds the module what has come since the last batch, and carries out what it answers.
    fn batch(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.batch_at = None;
        self.last_batch = now;
        let mut actions = Vec::new();
        for event in std::mem::take(&mut self.inbox) {
            self.module.event(to_millis(now), event, &mut actions);
        }
        self.module.decide(to_millis(now), &mut actions);
        let jobs = self.cores.jobs();
        let mut cores_changed = false;
        for action in actions {
            cores_changed |= self.carry_out(now, action, out);
        }
        if cores_changed || self.cores.jobs() != jobs {
            self.schedule_cores(out);
        }
    }

    /// Carries out one action; true where it changed what is on the cores.
    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Output>) -> bool {
        match action {
            Action::Run(id) => return self.run(now, id),
            Action::Preempt(id) => return self.stop(now, id, out),
            Action::Reject { id, retry_after: pause, is_final: last } => {
                self.answer(id, Answer::Refused { pause: from_millis(pause), last }, out);
            }
            Action::Fail(id) => self.answer(id, Answer::Failed, out),
            Action::SetSignal(share) => self.share = share,
            Action::SetIdleTimeout(span) if self.setup.idle_policy == IdlePolicy::Module => {
                self.closes_idle_after = from_millis(span);
            }
            Action::SetTimer(at) => out.push(Output::WakeAt(from_millis(at))),
            // A baseline passes over what the module says of idle connections; nothing here calls below, remembers
            // results or asks for health.
            _ => {}
        }
        false
    }

    fn run(&mut self, now: Micros, id: AttemptId) -> bool {
        let Some(request) = self.in_hand.get_mut(&id) else { return false };
        request.began = now;
        self.cores.add(now, Job::Run(id), request.incoming.work);
        true
    }

    fn stop(&mut self, now: Micros, id: AttemptId, out: &mut Vec<Output>) -> bool {
        let was_running = self.cores.remove(now, Job::Run(id));
        if was_running {
            self.run_done(now, id, Outcome::Cancelled, out);
        }
        was_running
    }

    /// Sends the module's final answer.
    fn answer(&mut self, attempt: AttemptId, answer: Answer, out: &mut Vec<Output>) {
        out.push(Output::Answer { attempt, answer, share: self.share });
        self.unanswerable(attempt);
    }

    /// No answer is owed any more. A request still on the cores stays in hand until its run ends.
    fn unanswerable(&mut self, attempt: AttemptId) {
        if self.cores.has(Job::Run(attempt)) {
            self.in_hand.entry(attempt).and_modify(|request| request.answered = true);
        } else {
            self.in_hand.remove(&attempt);
        }
    }

    fn update_speed(&mut self, now: Micros, table_fill: f64, out: &mut Vec<Output>) {
        let over = (table_fill - self.setup.taxed_from) / (1.0 - self.setup.taxed_from);
        let table = 1.0 - self.setup.table_tax * over.clamp(0.0, 1.0);
        let speed = self.warmth(now) * self.health * table;
        if speed != self.speed {
            self.speed = speed;
            self.cores.set_speed(now, speed);
            self.schedule_cores(out);
        }
    }

    fn warmth(&self, now: Micros) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let warmed = (now - self.started) as f64 / self.setup.warm_up.max(1) as f64;
        self.setup.cold_speed + (1.0 - self.setup.cold_speed) * warmed.min(1.0)
    }

    /// Measures how busy the cores are now.
    fn measure(&mut self, now: Micros) {
        let busy = self.cores.busy_time(now);
        self.busy.push_back((now, busy));
        while self.busy.len() > 2 && self.busy[1].0 + GAUGE_SPAN <= now {
            self.busy.pop_front();
        }
    }
}

fn arrival(incoming: &Incoming, age: f64) -> Arrival {
    Arrival {
        id: incoming.attempt,
        class: 0,
        tenant: 0,
        remaining_wait: 0.0,
        estimated_work: Some(incoming.estimate),
        memory_kb: REQUEST_KB,
        rank: 0.5,
        is_retry: incoming.retry,
        caller: incoming.caller as u64,
        age,
        upstream_time: 0.0,
        original: None,
    }
}
