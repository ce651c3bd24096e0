//! What the tests share: settings to vary, and a driver that plays batches and fires the timers asked for.
#![allow(dead_code)]

use loomflow::choice::Choice;
use loomflow::interface::*;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        aim: 2000.0,
        aim_stretch: 0.0,
        give_up: 8000.0,
        worth: 1.0,
        late_worth: 0.2,
        window: 20_000.0,
        calls: true,
        skip_worth: 0.0,
    }
}

pub fn tenant(quota_per_s: f64) -> Tenant {
    Tenant { quota_per_s }
}

/// Four cores, one class of each effect, a tier below, nothing told about waits.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        tenants: vec![],
        over_share_worth: 0.1,
        worth_by_work: true,
        servers: 10.0,
        callers: 4.0,
        tier: 0,
        cores: 4.0,
        memory_kb: 10_000.0,
        run_memory: 8.0,
        entry_kb: 10.0,
        below: Below::Tier,
        call_share: 0.0,
        call_span: 5000.0,
        call_lingers: 200.0,
        fresh: 0.0,
        stopping: Stopping::Impossible,
        signal: Signal::SendShare,
        heeded: 1000.0,
        idle: 15_000.0,
        handshake_price: 0.0,
        tells_wait: false,
        tells_gone: true,
        cold: false,
        cold_share: 0.25,
        cold_span: 15_000.0,
        answer_slack: 60.0,
        drain_grace: 2000.0,
        crowd: 5.0,
        crowd_span: 2000.0,
        longest_pause: 1000.0,
        tick: 5.0,
    }
}

pub fn arrival(id: RequestId, class: usize) -> Arrival {
    Arrival {
        id,
        class,
        tenant: 0,
        wait_left: 0.0,
        work: None,
        kb: 10.0,
        rank: 0.5,
        retry: false,
        caller: 0,
        age: 0.0,
        spent: 0.0,
        repeats: None,
    }
}

pub const IDLE: Gauges =
    Gauges { core_use: Some(0.3), on_cores: Some(1.0), memory_share: Some(0.1), connections: Some(4.0) };
pub const FULL: Gauges =
    Gauges { core_use: Some(1.0), on_cores: Some(9.0), memory_share: Some(0.1), connections: Some(4.0) };

pub struct Driver {
    pub choice: Choice,
    pub now: f64,
    pub gauges: Gauges,
    timers: Vec<f64>,
    /// Runs ended by `finish_next`.
    finished: usize,
    /// Everything that was answered, with its time.
    pub log: Vec<(f64, Action)>,
}

impl Driver {
    pub fn new(settings: Settings) -> Driver {
        let now = 1_000_000.0;
        let choice = Choice::new(settings, 7, now);
        let mut driver = Driver { choice, now, gauges: IDLE, timers: vec![], finished: 0, log: vec![] };
        driver.batch(vec![]);
        driver
    }

    /// Plays one batch now and returns what it was answered.
    pub fn batch(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = vec![];
        for event in events {
            self.choice.event(self.now, event, &mut actions);
        }
        self.choice.decide(self.now, &mut actions);
        for action in &actions {
            if let Action::WakeAt(at) = action {
                self.timers.push(*at);
            }
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    pub fn one(&mut self, event: Event) -> Vec<Action> {
        self.batch(vec![event])
    }

    pub fn arrive(&mut self, id: RequestId, class: usize) -> Vec<Action> {
        self.one(Event::Arrived(arrival(id, class)))
    }

    pub fn finish(&mut self, id: RequestId, took: f64) -> Vec<Action> {
        self.one(Event::RunEnded { id, outcome: Outcome::Ok, took })
    }

    /// Ends the run that has gone on for longest, in whatever order the hold has begun them.
    pub fn finish_next(&mut self, took: f64) -> Vec<Action> {
        let mut begun =
            self.log.iter().filter_map(|(_, a)| if let Action::Run(id) = a { Some(*id) } else { None });
        let next = begun.nth(self.finished).expect("something runs");
        self.finished += 1;
        self.finish(next, took)
    }

    /// Lets time pass, firing timers; returns what they were answered.
    pub fn pass(&mut self, ms: f64) -> Vec<Action> {
        let end = self.now + ms;
        let mut all = vec![];
        loop {
            self.timers.sort_by(f64::total_cmp);
            match self.timers.first() {
                Some(&at) if at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    all.extend(self.one(Event::TimerFired(self.gauges)));
                }
                _ => break,
            }
        }
        self.now = end;
        all
    }

    /// Every share told, in order.
    pub fn shares_told(&self) -> Vec<f64> {
        let tell = |(_, a): &(f64, Action)| if let Action::Tell(x) = a { Some(*x) } else { None };
        self.log.iter().filter_map(tell).collect()
    }

    /// The last share told, 1 where none was.
    pub fn told(&self) -> f64 {
        self.shares_told().last().copied().unwrap_or(1.0)
    }

    pub fn started(&self) -> usize {
        self.log.iter().filter(|(_, a)| matches!(a, Action::Run(_))).count()
    }
}

pub fn runs(actions: &[Action]) -> Vec<RequestId> {
    actions.iter().filter_map(|a| if let Action::Run(id) = a { Some(*id) } else { None }).collect()
}

pub fn answered(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| match a {
        Action::Fail(x) => *x == id,
        Action::Refuse { id: x, .. } => *x == id,
        _ => false,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: x, .. } if *x == id))
}
