//! The one owner of the module and the request table. Drivers put what they read into its mailbox; it hands all
//! that has arrived to the module as one batch, carries the actions out and gives the drivers what to write.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use loomflow::choice::Choice;
use loomflow::interface::{Action, Effect, Event, Outcome, RequestId};
use loomflow_protocol::engine::{Command, End, Notice};
use loomflow_protocol::gateway::{Advice, Call, Request, Word};
use loomflow_protocol::ledger::Reply;
use loomflow_settings::{Config, Site};

use crate::accept::{Accepting, ConnectionId};
use crate::answer::Gateways;
use crate::budget::Budget;
use crate::call::{Ended, Ledger, NewCall};
use crate::clock::{Clock, Now};
use crate::ending::Ending;
use crate::intake;
use crate::keys::{Found, Key, Keys};
use crate::link::Outbox;
use crate::run::{self, Engine, Fate, LinkNumber, Pending, Sent};
use crate::signal::Signals;
use crate::table::{Entry, Table, Work};
use crate::{control, log};

/// Stack of a connection's coroutine, in words of 8 bytes.
const STACK_WORDS: usize = 4096;
/// Gauges are asked for so long before the timer that carries them, ms.
const GAUGES_AHEAD: f64 = 8.0;
/// A wake that is so late follows a pause of the machine: what came meanwhile is read first, ms.
const LATE: f64 = 20.0;
const CATCH_UP: f64 = 2.0;
/// A deep check that the engine has not answered by then has failed, ms.
const TEST_LIMIT: f64 = 1000.0;
/// Longest sleep; idle connections and time limits are looked at as often, ms.
const SWEEP: f64 = 100.0;

/// Least time between two looks at all connections of gateways, ms.
const SWEEP_GATEWAYS: f64 = 20.0;

/// What drivers tell the owner.
pub enum Input {
    Opened(ConnectionId, Arc<Outbox>),
    Request(ConnectionId, Request),
    /// The peer has made an end to reading; what is open is to be settled.
    Stopped(ConnectionId, Ending),
    Ended(ConnectionId, Ending),
    Notice(LinkNumber, Notice),
    EngineEnded(LinkNumber, Ending),
    Reply(LinkNumber, Reply),
    LedgerEnded(LinkNumber, Ending, u64),
    Leave,
    /// The configuration was read again, or could not be.
    Reload(Result<Box<Config>, String>),
}

#[derive(Default)]
pub struct Mailbox {
    inputs: Mutex<Vec<Input>>,
    filled: Condvar,
}

impl Mailbox {
    pub fn put(&self, input: Input) {
        self.inputs.lock().unwrap_or_else(|e| e.into_inner()).push(input);
        self.filled.notify_one();
    }

    /// All that has arrived; waits for it at most so long.
    fn take(&self, wait: Duration) -> Vec<Input> {
        let inputs = self.inputs.lock().unwrap_or_else(|e| e.into_inner());
        let empty = |inputs: &mut Vec<Input>| inputs.is_empty();
        let waited = self.filled.wait_timeout_while(inputs, wait, empty);
        let mut inputs = waited.unwrap_or_else(|e| e.into_inner()).0;
        std::mem::take(&mut inputs)
    }
}

struct Test {
    connection: ConnectionId,
    tag: u64,
    until: f64,
}

struct Owner {
    config: Config,
    site: Site,
    clock: Clock,
    now: Now,
    accepting: Accepting,
    ready: Arc<AtomicBool>,
    control: control::Moves,
    /// There is none before the engine is up.
    choice: Option<Choice>,
    touched: bool,
    /// What follows from actions, for the module's next batch.
    events: VecDeque<Event>,
    table: Table,
    /// What each repeat in the table repeats.
    repeats: BTreeMap<RequestId, RequestId>,
    keys: Keys,
    gateways: Gateways,
    engine: Engine,
    ledger: Ledger,
    good: bool,
    stored: bool,
    tests: BTreeMap<u64, Test>,
    /// Times at which the module wants to be woken, us.
    wakes: BTreeSet<i64>,
    gauges_at: f64,
    sweep_at: f64,
    /// Requests in hand at the most: a bound on memory, far beyond what the module holds.
    most_requests: usize,
    leaving: bool,
    /// When it is over with new requests after the notice to leave; whether it is.
    closes_at: f64,
    closed: bool,
}

/// Serves until told to leave and nothing is owed any more.
pub fn serve(config: Config, file: PathBuf, signals: Signals) -> Result<(), String> {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let mailbox = Arc::new(Mailbox::default());
    signals.watch(file, mailbox.clone())?;
    let budget = Budget::of(&config);
    let accepting = Accepting::start(config.listen, budget.gateways, mailbox.clone())?;
    let ready = Arc::new(AtomicBool::new(true));
    let control = control::start(config.control, config.name.clone(), ready.clone());
    let clock = Clock::start();
    let mut owner = Owner {
        site: config.site.clone(),
        clock,
        now: clock.now(),
        accepting,
        ready,
        control,
        choice: None,
        touched: false,
        events: VecDeque::new(),
        table: Table::default(),
        repeats: BTreeMap::new(),
        keys: Keys::new(budget.results, budget.entries),
        gateways: Gateways::new(config.site.settings.idle, budget.crowded, budget.unwritten),
        engine: Engine::start(config.engine, mailbox.clone()),
        ledger: Ledger::new(config.ledger, budget.ledger, mailbox.clone()),
        good: true,
        stored: false,
        tests: BTreeMap::new(),
        wakes: BTreeSet::new(),
        gauges_at: f64::INFINITY,
        sweep_at: 0.0,
        most_requests: budget.requests,
        leaving: false,
        closes_at: f64::INFINITY,
        closed: false,
        config,
    };
    while !owner.over() {
        let wake = owner.next_wake();
        let wait = (wake - clock.now().ms).max(0.0);
        let mut inputs = mailbox.take(Duration::from_micros((wait * 1000.0).ceil() as u64));
        let more = gather_for(clock.now().ms, wake, owner.now.ms + owner.site.settings.tick);
        if more > 0.0 {
            std::thread::sleep(Duration::from_micros((more * 1000.0) as u64));
            inputs.extend(mailbox.take(Duration::ZERO));
        }
        owner.batch(inputs);
    }
    Ok(())
}

/// How long input is gathered before it is handed over, ms: until the stated time between batches has passed,
/// and after a pause of the machine until what came meanwhile is read.
fn gather_for(now: f64, wake: f64, next_batch: f64) -> f64 {
    let catch_up = if now - wake > LATE { CATCH_UP } else { 0.0 };
    (next_batch - now).max(catch_up)
}

fn us(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

impl Owner {
    fn over(&self) -> bool {
        self.closed && self.table.unanswered() == 0 && self.gateways.settled(self.now.ms)
    }

    fn next_wake(&self) -> f64 {
        let timer = self.wakes.first().map_or(f64::INFINITY, |at| *at as f64 / 1000.0);
        let limit = self.ledger.next_limit().unwrap_or(f64::INFINITY);
        timer.min(self.gauges_at).min(limit).min(self.closes_at).min(self.now.ms + SWEEP)
    }

    fn batch(&mut self, inputs: Vec<Input>) {
        self.now = self.clock.now();
        for input in inputs {
            self.input(input);
            self.follow_up();
        }
        self.limits();
        self.timers();
        self.follow_up();
        while std::mem::take(&mut self.touched) {
            let now = self.now.ms;
            let mut actions = Vec::new();
            if let Some(choice) = &mut self.choice {
                choice.decide(now, &mut actions);
            }
            self.carry_out(actions);
            self.follow_up();
        }
    }

    /// Tells the module what has followed from what it did.
    fn follow_up(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            if let Some(choice) = &mut self.choice {
                choice.event(self.now.ms, event, &mut actions);
                self.touched = true;
            }
            self.carry_out(actions);
        }
    }

    fn limits(&mut self) {
        let now = self.now.ms;
        for ended in self.ledger.sweep(now) {
            self.call_ended(ended);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_GATEWAYS;
            for stuck in self.gateways.sweep(now) {
                self.connection_over(stuck, Ending::Malformed("the rest of a message does not come"));
            }
        }
        self.keys.expire(now);
        for id in self.table.abandoned(now) {
            log!("engine: a run was never heard of again");
            self.events.push_back(Event::RunEnded { id, outcome: Outcome::Cancelled, took: 0.0 });
            self.remove(id, None);
        }
        if self.engine.overdue(now) {
            self.say_again(false);
        }
        while let Some(test) = self.tests.first_entry().filter(|t| now >= t.get().until) {
            let test = test.remove();
            self.checked(&test, false);
        }
    }

    fn timers(&mut self) {
        let now = self.now.ms;
        if now >= self.closes_at {
            self.close();
        }
        if now >= self.gauges_at {
            self.gauges_at = f64::INFINITY;
            self.engine.ask_gauges();
        }
        while self.wakes.first().is_some_and(|at| *at <= us(now)) {
            self.wakes.pop_first();
            let values = self.engine.gauges(now).iter().copied();
            self.events.push_back(Event::TimerFired(Site::gauges(&self.site.gauges, values)));
        }
    }

    fn input(&mut self, input: Input) {
        let now = self.now.ms;
        match input {
            Input::Opened(id, outbox) => self.gateways.opened(id, outbox, now),
            Input::Request(id, request) => self.request(id, request),
            Input::Stopped(id, ending) => self.connection_over(id, ending),
            Input::Ended(id, ending) => {
                self.connection_over(id, ending);
                self.gateways.ended(id);
            }
            Input::Notice(link, notice) => {
                if self.engine.fresh(link, &notice) {
                    self.notice(notice);
                }
            }
            Input::EngineEnded(link, ending) => {
                if let Some(written) = self.engine.ended(link, ending, now) {
                    self.link_over(link, written);
                }
            }
            Input::Reply(link, reply) => {
                let id = self.table.find(reply.id);
                if let Some(ended) = self.ledger.replied(link, id, reply.answer, now) {
                    self.call_ended(ended);
                }
            }
            Input::LedgerEnded(link, ending, written) => {
                for ended in self.ledger.ended(link, ending, written, now) {
                    self.call_ended(ended);
                }
            }
            Input::Leave => self.leave(),
            Input::Reload(Ok(config)) => self.reload(*config),
            Input::Reload(Err(why)) => log!("told to read the configuration again, which stays: {why}"),
        }
    }

    // ---- Gateways ----

    fn request(&mut self, connection: ConnectionId, request: Request) {
        let tag = request.tag();
        match self.gateways.opens(connection, tag) {
            Ok(true) => {}
            Ok(false) => return,
            Err(ending) => return self.connection_over(connection, ending),
        }
        match request {
            Request::Health { real, .. } => self.check(connection, tag, real),
            Request::Unreadable { why, .. } => self.turn_down(connection, tag, Word::Failed, why),
            Request::Call(call) => self.arrived(connection, call),
        }
    }

    /// Settles what is open on a connection that ends: it has failed, where somebody may hear so, and its caller is
    /// gone in any case.
    fn connection_over(&mut self, connection: ConnectionId, ending: Ending) {
        if let (Ending::Malformed(why), false) = (ending, self.gateways.is_stopped(connection)) {
            log!("a gateway's connection ends: {why}");
        }
        let open = self.gateways.stop(connection, ending, self.now.ms);
        if open.is_empty() {
            return;
        }
        let left = self.table.iter_mut().filter(|(_, e)| e.connection == connection && !e.answered);
        let left: Vec<RequestId> = left.map(|(id, _)| id).collect();
        for id in left {
            self.table.answer(id, self.now.ms);
            self.events.push_back(Event::CallerGone(id));
            self.settle(id);
        }
        for tag in open {
            if ending.is_answered() {
                self.gateways.answer(connection, tag, Word::Failed, Advice::default(), &[], self.now.ms);
            } else {
                self.gateways.drop_tag(connection, tag);
            }
        }
    }

    /// Answers what cannot become a request of the module's.
    fn turn_down(&mut self, connection: ConnectionId, tag: u64, word: Word, why: &str) {
        log!("a request was not taken: {why}");
        if word == Word::Failed {
            self.gateways.strike(connection);
        }
        self.gateways.answer(connection, tag, word, Advice::default(), &[], self.now.ms);
    }

    fn arrived(&mut self, connection: ConnectionId, call: Call) {
        let tag = call.tag;
        if self.choice.is_none() {
            self.turn_down(connection, tag, Word::Busy, "the engine is not up");
            return;
        }
        if self.table.len() >= self.most_requests {
            self.turn_down(connection, tag, Word::Busy, "too many are in hand");
            return;
        }
        let place = match intake::place(&self.site, &call, self.now) {
            Ok(place) => place,
            Err(why) => return self.turn_down(connection, tag, Word::Failed, why),
        };
        if self.table.find(call.id).is_some() {
            return self.turn_down(connection, tag, Word::Failed, "its req is in use");
        }
        let id = self.table.next_id();
        let effect = self.site.settings.classes[place.class].effect;
        let key = Key::of(&call, place.class, effect);
        let repeats = key.and_then(|key| self.keys.arrived(id, key, effect == Effect::Safe, self.now.ms));
        if let Some(original) = repeats {
            self.repeats.insert(id, original);
        }
        let arrival = intake::arrival(&call, place, id, repeats, self.now);
        let entry = Entry::held(connection, tag, call.id, place.class, effect, call.body);
        self.table.add(id, entry);
        self.events.push_back(Event::Arrived(arrival));
    }

    fn check(&mut self, connection: ConnectionId, tag: u64, real: bool) {
        let test = Test { connection, tag, until: self.now.ms + TEST_LIMIT };
        if !real || self.stored || !self.site.deep_checks {
            self.checked(&test, true);
        } else if let Some(number) = self.engine.test() {
            self.tests.insert(number, test);
        } else {
            self.checked(&test, false);
        }
    }

    fn checked(&mut self, test: &Test, fine: bool) {
        let word = if fine && self.good { Word::Up } else { Word::Down };
        self.gateways.answer(test.connection, test.tag, word, Advice::default(), &[], self.now.ms);
    }

    /// The final answer, and an end to what is done for the request.
    fn answer(&mut self, id: RequestId, word: Word, advice: Advice, body: &[u8]) {
        let Some(entry) = self.table.answer(id, self.now.ms) else { return };
        let (connection, tag) = (entry.connection, entry.tag);
        self.gateways.answer(connection, tag, word, advice, body, self.now.ms);
        self.settle(id);
    }

    /// Nothing more is owed to a request: an end to what is done for it.
    fn settle(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let work = entry.work;
        entry.body = Vec::new();
        // A run whose command never arrived, or is not known to, would be waited for in vain.
        let lost = match &entry.pending {
            Some(Pending { fate: Fate::Unsent, what: Sent::Run, .. }) => Some(Outcome::Moot),
            Some(Pending { fate: Fate::Unsent | Fate::Unknown, .. }) => Some(Outcome::Cancelled),
            _ => None,
        };
        match work {
            Work::Held | Work::Reusing => self.remove(id, None),
            Work::Running | Work::AtCall => {
                self.ledger.give_up(id, self.now.ms);
                if let Some(outcome) = lost {
                    self.events.push_back(Event::RunEnded { id, outcome, took: 0.0 });
                    self.remove(id, None);
                }
            }
        }
    }

    /// Takes a request out of the table. Those that waited for its result get it, or fail with it.
    fn remove(&mut self, id: RequestId, result: Option<&[u8]>) {
        self.table.remove(id);
        if let Some(original) = self.repeats.remove(&id) {
            self.keys.gone(id, Some(original));
        }
        for waiting in self.keys.over(id, result) {
            self.reused(waiting, result);
        }
    }

    fn reused(&mut self, id: RequestId, result: Option<&[u8]>) {
        let (word, outcome) = match result {
            Some(_) => (Word::Ok, Outcome::Ok),
            None => (Word::Failed, Outcome::Error),
        };
        self.answer(id, word, Advice::default(), result.unwrap_or_default());
        self.events.push_back(Event::RunEnded { id, outcome, took: 0.0 });
    }

    // ---- The engine ----

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { starting, age } => {
                if self.choice.is_none() {
                    let settings = run::warmed(&self.site.settings, starting, age);
                    self.choice = Some(Choice::new(settings, self.config.seed, self.now.ms));
                    self.touched = true;
                }
                self.engine.attached(self.now.ms);
            }
            Notice::Stats { tag, values } => {
                if self.engine.stats(&tag, values, self.now.ms) {
                    self.say_again(true);
                }
            }
            Notice::Tested { tag, fine } => {
                if let Some(test) = tag.parse().ok().and_then(|tag: u64| self.tests.remove(&tag)) {
                    self.checked(&test, fine);
                }
            }
            Notice::Need { id, body, .. } => {
                let Some(id) = self.table.find(id) else { return };
                let Some(entry) = self.table.get(id) else { return };
                (entry.pending, entry.work, entry.call_body) = (None, Work::AtCall, body);
                entry.body = Vec::new();
                if entry.said_twice.take().is_some_and(|fence| !self.engine.has_read(fence)) {
                    return self.second_need(id);
                }
                self.events.push_back(Event::NeedsCall(id));
            }
            Notice::Done { id, end, took, result, .. } => {
                if let Some(id) = self.table.find(id) {
                    self.run_ended(id, end, took, &result);
                }
            }
            Notice::No { command, id } => {
                log!("engine: {command} was not carried out");
                let id = id.and_then(|id| self.table.find(id)).filter(|_| command == "RUN");
                if let Some(id) = id {
                    self.run_ended(id, End::Late, 0.0, &[]);
                }
            }
            Notice::Note { .. } => {}
        }
    }

    /// What was said on a link that is over may have arrived or not.
    fn link_over(&mut self, link: LinkNumber, written: u64) {
        let now = self.now.ms;
        for (_, entry) in self.table.iter_mut() {
            if let Some(pending) = &mut entry.pending {
                pending.fate = pending.after(link, written, now);
            }
        }
    }

    fn run_ended(&mut self, id: RequestId, end: End, took: f64, result: &[u8]) {
        self.ledger.give_up(id, self.now.ms);
        let outcome = match end {
            End::Fine => Outcome::Ok,
            End::Fault => Outcome::Error,
            End::BrokenOff => Outcome::Cancelled,
            End::Late => Outcome::Moot,
        };
        let Some(entry) = self.table.get(id) else { return };
        // Over: the answer needs no end to it.
        (entry.work, entry.pending) = (Work::Running, None);
        let word = if end == End::Fine { Word::Ok } else { Word::Failed };
        self.answer(id, word, Advice::default(), result);
        self.events.push_back(Event::RunEnded { id, outcome, took });
        self.remove(id, (end == End::Fine).then_some(result));
    }

    /// A new link is ready, and all notices from before it are read. What cannot have arrived is said now. What
    /// may have: a run is asked for again, whatever its effect, for one that runs or is over is not begun twice.
    /// A reply is said again only where no effect hangs on it, and after a replay that is known to be whole: what
    /// came of the first would have been read by then. A question just before it tells whether the run has gone on
    /// to another call meanwhile, which would get that reply (`second_need`). Where the answer has been given
    /// meanwhile, no further word of the run is waited for.
    fn say_again(&mut self, whole: bool) {
        let (engine, classes, now) = (&mut self.engine, &self.site.classes, self.now.ms);
        let mut over = Vec::new();
        for (id, entry) in self.table.iter_mut() {
            let Some(pending) = &mut entry.pending else { continue };
            match (pending.fate, &pending.what) {
                (Fate::Under(..), _) => continue,
                (Fate::Arrived, _) => {
                    (entry.pending, entry.body) = (None, Vec::new());
                    continue;
                }
                _ if entry.answered => {
                    over.push(id);
                    continue;
                }
                (Fate::Unsent, _) | (Fate::Unknown, Sent::Run) => {}
                (Fate::Unknown, _) if whole && entry.effect == Effect::Safe => {
                    entry.said_twice = Some(engine.fence());
                }
                (Fate::Unknown, _) => continue,
            }
            let id = entry.try_id;
            pending.said_at = now;
            pending.fate = match &pending.what {
                Sent::Run => engine.say(Command::Run { id, class: &classes[entry.class], body: &entry.body }),
                Sent::Feed(reply) => engine.say(Command::Feed { id, reply }),
                Sent::Skip => engine.say(Command::Skip { id }),
            };
        }
        for id in over {
            self.events.push_back(Event::RunEnded { id, outcome: Outcome::Cancelled, took: 0.0 });
            self.remove(id, None);
        }
    }

    /// A run is at its next call, and whether that has got the reply that was said again is not known: it fails, for
    /// its result might be wrong.
    fn second_need(&mut self, id: RequestId) {
        log!("a reply that was said again may have met another call: its request fails");
        self.events.push_back(Event::CallerGone(id));
        self.answer(id, Word::Failed, Advice::default(), &[]);
    }

    fn call_ended(&mut self, ended: Ended) {
        let Ended { id, outcome, took, reply } = ended;
        if let Some(entry) = self.table.get(id).filter(|_| outcome == Outcome::Ok) {
            let fate = self.engine.say(Command::Feed { id: entry.try_id, reply: &reply });
            entry.pending = Some(Pending { what: Sent::Feed(reply), fate, said_at: self.now.ms });
            entry.work = Work::Running;
        }
        self.events.push_back(Event::CallEnded { id, outcome, took });
    }

    // ---- The module's actions ----

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.now.ms;
        match action {
            Action::Run(id) => {
                let Some(entry) = self.table.get(id).filter(|e| !e.answered) else {
                    self.events.push_back(Event::RunEnded { id, outcome: Outcome::Moot, took: 0.0 });
                    return;
                };
                let class = &self.site.classes[entry.class];
                let run = Command::Run { id: entry.try_id, class, body: &entry.body };
                let fate = self.engine.say(run);
                entry.pending = Some(Pending { what: Sent::Run, fate, said_at: now });
                entry.work = Work::Running;
            }
            Action::Reuse(id) => {
                let Some(entry) = self.table.get(id) else { return };
                entry.work = Work::Reusing;
                match self.keys.reuse(id, self.repeats.get(&id).copied()) {
                    Found::Open => {}
                    Found::Served(result) => self.reused(id, Some(&result)),
                    Found::Failed => self.reused(id, None),
                }
            }
            Action::Refuse { id, pause, last } => {
                self.answer(id, Word::Busy, Advice { stay_away: pause, last, ..Advice::default() }, &[]);
            }
            Action::Fail(id) => self.answer(id, Word::Failed, Advice::default(), &[]),
            Action::Stop(id) => {
                if let Some(entry) = self.table.get(id) {
                    self.engine.say(Command::Halt { id: entry.try_id });
                }
            }
            Action::Call { id, abandon_at } => {
                let Some(entry) = self.table.get(id) else { return };
                let call = NewCall {
                    id,
                    try_id: entry.try_id,
                    effect: entry.effect != Effect::Safe,
                    body: &entry.call_body,
                    until: abandon_at,
                };
                if !self.ledger.call(call, now) {
                    let outcome = Outcome::Unreachable;
                    self.events.push_back(Event::CallEnded { id, outcome, took: 0.0 });
                }
            }
            Action::SkipCall(id) => {
                if let Some(entry) = self.table.get(id) {
                    let fate = self.engine.say(Command::Skip { id: entry.try_id });
                    entry.pending = Some(Pending { what: Sent::Skip, fate, said_at: now });
                    entry.work = Work::Running;
                }
            }
            Action::Remember { id, span } => self.keys.remember(id, now + span),
            Action::Forget(id) => {
                for waiting in self.keys.forget(id) {
                    self.reused(waiting, None);
                }
            }
            Action::Health { good, stored } => {
                (self.good, self.stored) = (good, stored);
                self.ready.store(good, Ordering::Release);
            }
            Action::Tell(signal) => self.gateways.signal = Some(signal),
            Action::CloseIdleAfter(span) => self.gateways.close_idle_after = Some(span),
            Action::WakeAt(at) => {
                self.wakes.insert(us(at));
                self.gauges_at = self.gauges_at.min((at - GAUGES_AHEAD).max(now));
            }
            Action::Note(text) => log!("{text}"),
        }
    }

    // ---- A new configuration, and leaving ----

    /// New addresses count from now on; what cannot change while serving stays as it was at the start.
    fn reload(&mut self, new: Config) {
        let fixed = self.config.fixed_in(&new);
        if !fixed.is_empty() {
            log!("these keys count from the next start on: {}", fixed.join(", "));
        }
        if let Some((link, written)) = self.engine.moved(new.engine) {
            self.link_over(link, written);
        }
        self.ledger.moved(new.ledger, self.now.ms);
        if new.control != self.config.control && self.control.send(new.control).is_err() {
            log!("reports have ended");
        }
        log!("the configuration was read again");
        (self.config.engine, self.config.ledger, self.config.control) = (new.engine, new.ledger, new.control);
    }

    fn leave(&mut self) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        log!("told to leave");
        let grace = self.site.settings.drain_grace.min(self.config.stop_ms / 2.0);
        self.closes_at = self.now.ms + grace;
        self.events.push_back(Event::Leaving { left: self.config.stop_ms });
        self.follow_up();
    }

    /// From here on nothing that comes is run: no connection is taken, and no request is asked for.
    fn close(&mut self) {
        self.closes_at = f64::INFINITY;
        self.closed = true;
        self.accepting.stop();
        self.gateways.leave(self.now.ms);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn batches_keep_their_stated_distance_and_a_late_wake_reads_first() {
        assert_eq!(gather_for(100.0, 150.0, 105.0), 5.0);
        assert_eq!(gather_for(106.0, 106.0, 105.0), 0.0);
        assert_eq!(gather_for(500.0, 150.0, 105.0), CATCH_UP);
        assert_eq!(gather_for(500.0, 150.0, 504.0), 4.0);
    }
}
