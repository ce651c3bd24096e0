//! The one owner of the module and the request table. Drivers put what they read into its mailbox; it hands all
//! that has arrived to the module as one batch, carries the actions out and gives the drivers what to write.

mod actions;
mod requests;
mod runs;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use loomflow::choice::Choice;
use loomflow::interface::{Event, Outcome, RequestId};
use loomflow_fleet::member::Phase;
use loomflow_settings::guard::{self, Fault, Pair, When};
use loomflow_settings::{Config, Options, Site};

use crate::budget::Budget;
use crate::call::Ledger;
use crate::clock::{Clock, Now};
use crate::fleet::{self, Fleet, Meter};
use crate::front::seam::{Ask, Ticket};
use crate::front::{Fronts, Listener};
use crate::keys::{Keys, Over};
use crate::mailbox::{Input, Mailbox};
use crate::run::Engine;
use crate::signal::Signals;
use crate::table::Table;
use crate::{control, link, log};

/// Gauges are asked for so long before the timer that carries them, ms.
const GAUGES_AHEAD: f64 = 8.0;
/// A wake that is so late follows a pause of the machine: what came meanwhile is read first, ms.
const LATE: f64 = 20.0;
/// The readers have this long for what a sleep of their own tells to be over, and at the most so long in all, ms.
const CATCH_UP: f64 = 2.0;
const LONGEST_CATCH_UP: f64 = 100.0;
/// A deep check that the engine has not answered by then has failed, ms.
const TEST_LIMIT: f64 = 1000.0;
/// Longest sleep; idle connections and time limits are looked at as often, ms.
const SWEEP: f64 = 100.0;
/// What is owed to peers that do not answer is given up so long before the server is killed, ms.
const LAST_MOMENT: f64 = 300.0;

struct Test {
    ticket: Ticket,
    until: f64,
}

struct Owner {
    config: Config,
    site: Site,
    clock: Clock,
    now: Now,
    ready: Arc<AtomicBool>,
    control: control::Moves,
    /// The fleet, where the options name one, and the runs in hand that it is told.
    fleet: Option<(Fleet, Meter)>,
    /// There is none before the engine is up.
    choice: Option<Choice>,
    /// From when on caches and code are warm.
    warm_at: f64,
    touched: bool,
    /// What follows from actions, for the module's next batch.
    events: VecDeque<Event>,
    table: Table,
    /// What the fronts want; kept to be filled again.
    asks: Vec<Ask>,
    /// What each repeat in the table repeats.
    repeats: BTreeMap<RequestId, RequestId>,
    keys: Keys,
    fronts: Fronts,
    engine: Engine,
    ledger: Ledger,
    good: bool,
    stored: bool,
    tests: BTreeMap<u64, Test>,
    /// Times at which the module wants to be woken, us.
    wakes: BTreeSet<i64>,
    gauges_at: f64,
    /// Requests in hand at the most: a bound on memory, far beyond what the module holds.
    most_requests: usize,
    /// When the server will be killed, once it has been told to leave.
    killed_at: Option<f64>,
    /// When it is over with new requests after the notice to leave; whether it is.
    closes_at: f64,
    closed: bool,
}

/// Serves until told to leave and nothing is owed any more.
pub fn serve(config: Config, options: &Options, file: PathBuf, signals: Signals) -> Result<(), String> {
    link::one_thread();
    let Some(listener) = Listener::bind(config.listen, config.stop_ms, || signals.told_to_leave())? else {
        return Ok(());
    };
    let mailbox = Arc::new(Mailbox::default());
    signals.watch(file, mailbox.clone())?;
    let budget = Budget::of(&config);
    let fronts = Fronts::start(listener, &config, options, &budget, &mailbox)?;
    let ready = Arc::new(AtomicBool::new(true));
    let control = control::start(config.control, config.name.clone(), ready.clone());
    let clock = Clock::start();
    let fleet =
        options.fleet.as_ref().map(|fleet| Fleet::start(&config, fleet, mailbox.clone())).transpose()?;
    let mut owner = Owner {
        site: config.site.clone(),
        clock,
        now: clock.now(),
        ready,
        control,
        fleet: fleet.map(|fleet| (fleet, Meter::new(clock.now().ms))),
        choice: None,
        warm_at: 0.0,
        touched: false,
        events: VecDeque::new(),
        table: Table::default(),
        repeats: BTreeMap::new(),
        keys: Keys::new(budget.results, budget.entries),
        fronts,
        asks: Vec::new(),
        engine: Engine::start(config.engine, mailbox.clone()),
        ledger: Ledger::new(config.ledger, budget.ledger, mailbox.clone()),
        good: true,
        stored: false,
        tests: BTreeMap::new(),
        wakes: BTreeSet::new(),
        gauges_at: f64::INFINITY,
        most_requests: budget.requests,
        killed_at: None,
        closes_at: f64::INFINITY,
        closed: false,
        config,
    };
    while !owner.over() {
        let wake = owner.next_wake();
        let wait = (wake - clock.now().ms).max(0.0);
        let mut inputs = mailbox.take(Duration::from_micros((wait * 1000.0).ceil() as u64));
        if clock.now().ms - wake > LATE {
            catch_up(&mailbox, &mut inputs, clock);
        }
        let more = owner.now.ms + owner.site.settings.tick - clock.now().ms;
        if more > 0.0 {
            std::thread::sleep(Duration::from_micros((more * 1000.0) as u64));
            inputs.extend(mailbox.take(Duration::ZERO));
        }
        owner.batch(inputs);
    }
    if let Some((fleet, _)) = &owner.fleet {
        fleet.drained();
    }
    Ok(())
}

/// Waits until the readers have taken in what came during a pause of the machine. They share one thread, so a sleep
/// that begins and ends there now does so after what stood unread: a fixed wait here would race with them.
fn catch_up(mailbox: &Arc<Mailbox>, inputs: &mut Vec<Input>, clock: Clock) {
    let until = clock.now().ms + LONGEST_CATCH_UP;
    let readers = mailbox.clone();
    may::go!(move || {
        may::coroutine::sleep(Duration::from_micros((CATCH_UP * 1000.0) as u64));
        readers.put(Input::CaughtUp);
    });
    loop {
        let left = until - clock.now().ms;
        let came = mailbox.take(Duration::from_micros((left.max(0.0) * 1000.0) as u64));
        let over = left <= 0.0 || came.iter().any(|input| matches!(input, Input::CaughtUp));
        inputs.extend(came);
        if over {
            return;
        }
    }
}

fn us(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

impl Owner {
    fn over(&self) -> bool {
        self.closed && self.table.unanswered() == 0 && self.fronts.settled(self.now.ms)
    }

    fn next_wake(&self) -> f64 {
        let timer = self.wakes.first().map_or(f64::INFINITY, |at| *at as f64 / 1000.0);
        let limit = self.ledger.next_limit().unwrap_or(f64::INFINITY);
        timer
            .min(self.gauges_at)
            .min(self.fronts.wake())
            .min(limit)
            .min(self.closes_at)
            .min(self.now.ms + SWEEP)
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
        self.tell_fleet();
    }

    /// Tells the fleet this server's load every so often.
    fn tell_fleet(&mut self) {
        let Some((fleet, meter)) = &mut self.fleet else { return };
        let load = self.choice.as_ref().map(Choice::load).unwrap_or_default();
        let Some(mean) = meter.note(self.now.ms, load.running) else { return };
        let phase = match (&self.choice, self.killed_at.is_some()) {
            (_, true) => Phase::Draining,
            (None, _) => Phase::Cold,
            (Some(_), _) if self.now.ms < self.warm_at => Phase::Cold,
            _ => Phase::Serving,
        };
        let healthy = self.good && self.choice.is_some();
        fleet.set_load(fleet::load_report(&load, mean, self.site.settings.cores, phase, healthy));
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
        self.with_fronts(|fronts, asks| fronts.sweep(now, asks));
        self.keys.expire(now);
        for id in self.table.abandoned(now) {
            log!(part = "engine", "a run was never heard of again");
            self.events.push_back(Event::RunEnded { id, outcome: Outcome::Cancelled, took: 0.0 });
            self.remove(id, Over::Failed);
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

    /// Lets the fronts do something, and sees to what they want then.
    fn with_fronts(&mut self, does: impl FnOnce(&mut Fronts, &mut Vec<Ask>)) {
        let mut asks = std::mem::take(&mut self.asks);
        does(&mut self.fronts, &mut asks);
        self.asked(asks);
    }

    fn input(&mut self, input: Input) {
        let now = self.now.ms;
        match input {
            Input::Front(from) => {
                let now = self.now;
                self.with_fronts(|fronts, asks| fronts.take_in(from, now, asks));
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
            Input::CaughtUp => {}
            Input::Leave => self.leave(),
            Input::Reload(Ok(config)) => self.reload(*config),
            Input::Reload(Err(why)) => log!(why, "told to read the configuration again, which stays"),
        }
    }

    // ---- A new configuration, and leaving ----

    /// A later reading is taken whole, or not at all where it would break a rule. What may change while serving counts
    /// from now on: the module hears it before anything else of this batch.
    fn reload(&mut self, new: Config) {
        let in_use = |class| self.table.has_class(class) || self.keys.has_class(class);
        let changes = match guard::judge(&Pair { old: &self.config, new: &new, in_use: &in_use }) {
            Ok(changes) => changes,
            Err(faults) => {
                for Fault { key, value, rule } in faults {
                    log!(key, value, rule, "the configuration is turned down, and nothing has changed");
                }
                return;
            }
        };
        let of =
            |when| changes.iter().filter(move |c| c.when == when).map(|c| c.key.as_str()).collect::<Vec<_>>();
        let (live, later) = (of(When::Live).join(", "), of(When::NextStart).join(", "));
        if !later.is_empty() {
            log!(keys = later, "these keys count from the next start on");
        }
        if let Some((link, written)) = self.engine.moved(new.engine) {
            self.link_over(link, written);
        }
        self.ledger.moved(new.ledger, self.now.ms);
        if new.control != self.config.control && self.control.send(new.control).is_err() {
            log!("reports have ended");
        }
        if live.contains("settings.") {
            let terms = self.site.take_up(&new.site);
            self.fronts.settle(&self.site);
            self.events.push_back(Event::Settled(Box::new(terms)));
        }
        log!(live, "the configuration was read again");
        self.config = self.config.followed_by(new, self.site.clone());
    }

    fn leave(&mut self) {
        if self.killed_at.is_some() {
            return;
        }
        let killed_at = self.now.ms + self.config.stop_ms;
        self.killed_at = Some(killed_at);
        log!("told to leave");
        if let Some((fleet, _)) = &self.fleet {
            fleet.begin_drain();
        }
        let grace = self.site.settings.drain_grace.min(self.config.stop_ms / 2.0);
        self.closes_at = self.now.ms + grace;
        // Where there is no module yet, none is made any more: what comes is turned away, as it is without one.
        if self.choice.is_none() {
            self.good = false;
            self.ready.store(false, Ordering::Release);
        }
        self.events.push_back(Event::Leaving { left: self.config.stop_ms });
        let (now, by) = (self.now.ms, self.over_by(killed_at));
        self.with_fronts(|fronts, asks| fronts.leave(by, now, asks));
        self.follow_up();
    }

    /// When all must be over, so that something is left until the kill.
    fn over_by(&self, killed_at: f64) -> f64 {
        killed_at - LAST_MOMENT.min(self.config.stop_ms / 4.0)
    }

    /// From here on nothing that comes is run: no connection is taken, and no request is asked for.
    fn close(&mut self) {
        self.closes_at = f64::INFINITY;
        self.closed = true;
        let now = self.now.ms;
        let killed_at = self.killed_at.unwrap_or(now);
        let by = self.over_by(killed_at);
        self.with_fronts(|fronts, asks| fronts.close(by, killed_at, now, asks));
    }
}
