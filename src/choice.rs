//! Every decision of loomflow, top to bottom: constants, state, event dispatch, send share, running limit,
//! hold, calls, guards, leaving. Settings, events and actions are in `src/interface.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::estimate::{Mean, RunTimes};
use crate::interface::*;
use crate::key_table::KeyTable;

// ---- Constants. Shares and multiples of what a server is told or measures, never a site's figure. ----

/// The timer that answers what falls due and feeds the controller, ms.
const BEAT: f64 = 50.0;
/// Sample period of the send share and of the limit's cut, as a part of the time callers heed a share.
const PERIOD: f64 = 0.25;
/// Setpoint of the mean hold time, as a part of the shortest class aim.
const SETPOINT: f64 = 0.15;
const KP: f64 = 0.1;
/// Per second.
const KI: f64 = 0.12;
/// Seconds.
const KD: f64 = 0.05;
const SHARE_FLOOR: f64 = 0.05;
/// Largest change of the share between two outputs.
const STEP: f64 = 0.2;
/// The limit is cut to this part of itself.
const CUT: f64 = 0.8;
/// Cores busier than this are near full.
const NEAR_FULL: f64 = 0.75;
/// Part of the told share of calls that is used: the fleet dies of the mean reaching the whole.
const CALLS_USED: f64 = 0.85;
/// Part of what the told share leaves beyond whole permits that accrues; the rest bounds a single loan.
const LENT: f64 = 0.5;
/// Part of the surviving crowd that the module itself will fill; the rest is for reading and surprises.
const CROWD_USED: f64 = 0.7;
/// Weight of the newest sample in running means.
const LEARN: f64 = 0.15;
/// A repeatable call is abandoned after this multiple of the usual call, or half the time left if longer.
const PATIENCE: f64 = 4.0;
/// Calls that may be repeated are issued at most so often.
const CALL_TRIES: u32 = 4;
/// A lower share is a sign of overload.
const OVERLOADED: f64 = 0.9;
/// Advice to stay away lasts for this part of a newcomer's wait: whole traffics that stop leave cores idle.
const ADVICE: f64 = 0.5;
/// Unread wait beyond so many setpoints cuts the limit.
const STARVED: f64 = 1.5;
/// A call is left out when so many times its wait for a permit would not fit: a queue for permits grows on.
const TURNS: f64 = 4.0;
/// Part of a class aim that each tier leaves to the one below it.
const BELOW: f64 = 0.33;
/// Callers are held to come back soon if they do within this multiple of the shortest aim.
const KEEP_OPEN: f64 = 4.0;
/// On full cores connections are kept while this part of the requests is of callers that were here so
/// recently.
const REUSED: f64 = 0.5;
/// What is no run may take this part of the cores. A full table takes about a third of them, and what is read
/// beside it some more: beyond this, keeping the table full leaves more for runs.
const OVERHEAD: f64 = 0.55;
/// Then connections are kept longer while the cores are busier than this.
const BUSY: f64 = 0.85;
/// Their idle time over that before, each sample.
const KEEP_LONGER: f64 = 1.3;
const CLOSE_SOONER: f64 = 0.6;
/// A table that holds more than this part of the most that was seen in it may be full.
const ROOM: f64 = 0.9;
/// It is not while this part of the callers has a connection: the others may never come.
const FEW: f64 = 0.25;
/// So many requests tell whether callers come back.
const ENOUGH: u32 = 10;
/// Calls that take more than this multiple of their best usual time crowd what lies below.
const SLOWER: f64 = 3.0;
/// Then as little as this part of the told share is used; each call that is not slow gives back half as much.
const LEAST_CALLS: f64 = 0.4;
/// Fewer samples than this say nothing.
const SEEN: u32 = 6;
/// The cores stand still when, by what runs usually take, so many ought to have ended since the last one did.
/// Were ends random at their usual rate, a gap as long would come once in e^6 = 400.
const STALLED: f64 = 6.0;
/// Seconds of quota that a tenant may send at once and still be within its share.
const QUOTA_BURST: f64 = 10.0;
/// But so many requests at the least: with fewer, chance puts one in twenty of a tenant at 0.9 beyond it.
const QUOTA_LEAST: f64 = 6.0;

// ---- State ----

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Held,
    /// Waits for, or is served from, the result of another request.
    Reusing,
    Running,
    /// Off the cores, without its call so far.
    NeedsCall,
    Calling,
}

#[derive(Default)]
struct Request {
    class: usize,
    kb: f64,
    reached: f64,
    due: f64,
    /// Answered by then it earns in full.
    aim_at: f64,
    over_share: bool,
    retry: bool,
    /// Expected time on the cores and at the disk, and for all of it with its calls.
    run_time: f64,
    key: HoldKey,
    stage: Stage,
    answered: bool,
    held_for: f64,
    /// When it left the cores for its call; time spent off them so far; calls issued.
    off_since: f64,
    off_time: f64,
    /// When it last began to run or came back from a call, and `Choice::stalled_time` when it began.
    on_since: f64,
    stalled_before: f64,
    calls: u32,
    work: f64,
}

/// Order of the hold: most worth per unit of work first, then the nearest aim.
type HoldKey = (i64, i64, RequestId);

pub struct Choice {
    set: Settings,
    now: f64,
    born: f64,
    rng: u64,
    requests: BTreeMap<RequestId, Request>,
    hold: BTreeSet<HoldKey>,
    /// The next moment at which each request must be looked at.
    looks: BTreeSet<(i64, RequestId)>,
    /// Sum of `run_time` over the hold.
    hold_work: f64,
    running: f64,
    share: SendShare,
    limit: RunLimit,
    calls: Calls,
    table: KeyTable,
    learned: Vec<RunTimes>,
    call_time: Mean,
    waited: Mean,
    refused_age: Mean,
    quotas: Vec<(f64, f64)>,
    gauges: Gauges,
    connections: Connections,
    kb_held: f64,
    kb_running: f64,
    kb_largest: f64,
    leaving: Option<Leaving>,
    /// When a run last ended or reached a call.
    progress_at: f64,
    stalled: bool,
    /// How long the cores have stood still in all, ms: time that says nothing about runs.
    stalled_time: f64,
    next_beat: f64,
}

#[derive(Clone, Copy)]
struct Leaving {
    run_until: f64,
    answer_by: f64,
}

fn us(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

/// Brings the aims to this tier, and gives the shortest. A tier below works inside its caller's wait, which
/// goes on to something else long before the aim.
fn shortest_aim(set: &mut Settings) -> f64 {
    let inside = BELOW.powi(set.tier.min(9) as i32);
    set.classes.iter_mut().for_each(|c| c.aim *= inside);
    set.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min)
}

// ---- Event dispatch ----

impl Choice {
    pub fn new(mut set: Settings, seed: u64, now: f64) -> Choice {
        let shortest = shortest_aim(&mut set);
        let period = if set.heeded > 0.0 { set.heeded * PERIOD } else { 1000.0 * PERIOD };
        Choice {
            now,
            born: now,
            rng: seed ^ 0x9E37_79B9_7F4A_7C15,
            requests: BTreeMap::new(),
            hold: BTreeSet::new(),
            looks: BTreeSet::new(),
            hold_work: 0.0,
            running: 0.0,
            share: SendShare::new(shortest * SETPOINT, period, now),
            limit: RunLimit { value: set.cores, cut_at: now, period },
            calls: Calls::new(&set, now, period),
            table: KeyTable::default(),
            learned: vec![RunTimes::default(); set.classes.len()],
            call_time: Mean::default(),
            waited: Mean::default(),
            refused_age: Mean::default(),
            quotas: set.tenants.iter().map(|_| (f64::MAX, now)).collect(),
            gauges: Gauges::default(),
            connections: Connections {
                span: shortest * KEEP_OPEN,
                since: now,
                born: now,
                keeps: true,
                idle: set.idle,
                ..Connections::default()
            },
            kb_held: 0.0,
            kb_running: 0.0,
            kb_largest: 0.0,
            leaving: None,
            progress_at: now,
            stalled: false,
            stalled_time: 0.0,
            next_beat: f64::NEG_INFINITY,
            set,
        }
    }

    /// Takes in one event. Only what cannot wait for the end of the batch is answered here.
    pub fn event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.calls.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival, out),
            Event::CallerGone(id) => self.caller_gone(id, out),
            Event::TimerFired(gauges) => self.measured(gauges),
            Event::NeedsCall(id) => self.needs_call(id),
            Event::CallEnded { id, outcome, took } => self.call_ended(id, outcome, took, out),
            Event::RunEnded { id, outcome, took } => self.run_ended(id, outcome, took),
            Event::Settled(terms) => self.settle(*terms),
            Event::Leaving { left } => self.leave(left, out),
        }
    }

    fn measured(&mut self, gauges: Gauges) {
        self.gauges = gauges;
        if let Some(on_cores) = gauges.on_cores {
            let overhead = (on_cores - self.running).max(0.0) / on_cores.max(self.set.cores);
            self.connections.overhead_lately.add(overhead, 0.0);
        }
    }

    /// The load as this module sees it.
    pub fn load(&self) -> Load {
        let over_aim = (1.0 - self.share.error).max(0.0);
        Load { share: self.share.told, over_aim, limit: self.run_limit(), running: self.running }
    }

    /// Ends a batch: answers what is due, then fills the calls and the cores.
    pub fn decide(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        self.calls.advance(now);
        if self.next_beat == f64::NEG_INFINITY {
            // Stored answers keep checks cheap; that a process answers at all is the rest of the news.
            out.push(Action::Health { good: true, stored: true });
            // A cold server's first answer tells its part of the speed: who has heard nothing acts as at 1.
            self.tell_change(out);
        }
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            out.push(Action::WakeAt(self.next_beat));
            self.look_at_due(out);
            self.table.expire(us(now - self.set.tick));
            self.tell_share(out);
        }
        self.look_for_stall(out);
        self.trim(out);
        self.issue_calls(out);
        self.start_runs(out);
        self.make_room(0.0, None, out);
    }

    /// Takes up new terms. Requests in hand keep their due times; what they are worth counts at once.
    fn settle(&mut self, terms: Terms) {
        if terms.classes.len() != self.set.classes.len() {
            return;
        }
        self.quotas.resize(terms.tenants.len(), (f64::MAX, self.now));
        (self.set.classes, self.set.tenants) = (terms.classes, terms.tenants);
        self.set.drain_grace = terms.drain_grace;
        let shortest = shortest_aim(&mut self.set);
        (self.share.setpoint, self.connections.span) = (shortest * SETPOINT, shortest * KEEP_OPEN);
    }

    fn arrived(&mut self, a: Arrival, out: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(a.class).cloned() else {
            out.push(Action::Fail(a.id));
            return;
        };
        let reached = self.now - a.age;
        let mut due =
            if self.set.tells_wait { self.now + a.wait_left } else { reached + class.give_up - a.spent };
        if let Some(leaving) = self.leaving {
            due = due.min(leaving.answer_by);
        }
        due = due.max(self.now);
        let stretch = class.aim_stretch * a.work.unwrap_or(0.0);
        let spent = if a.retry { self.refused_age.value.max(a.spent) } else { a.spent };
        let aim = (class.aim + stretch) * self.patience() - spent;
        self.kb_largest = self.kb_largest.max(a.kb);
        self.share.read(a.age);
        self.connections.used(self.now, a.caller, self.set.callers);
        let over_share = self.over_share(a.tenant);
        let mut request = Request {
            class: a.class,
            kb: a.kb,
            reached,
            due,
            aim_at: (reached + aim).min(due),
            over_share,
            retry: a.retry,
            run_time: self.learned[a.class].expected(a.work),
            key: (0, 0, a.id),
            work: a.work.unwrap_or(0.0),
            ..Request::default()
        };
        // Rule 2. A repeat of what may have run is never run itself: it shares that run's result.
        let repeats = a.repeats.is_some() && (class.effect == Effect::Keyed || self.set.fresh > 0.0);
        if due - self.now <= self.margin() {
            out.push(if repeats { Action::Fail(a.id) } else { self.refusal(a.id, false) });
            return;
        }
        self.kb_held += a.kb;
        if repeats {
            request.stage = Stage::Reusing;
            self.looks.insert((us(due - self.margin()), a.id));
            self.requests.insert(a.id, request);
            out.push(Action::Reuse(a.id));
            return;
        }
        // Rule 3. What came past the grace is given back at once, to be tried where there is time.
        let too_late = self.leaving.is_some_and(|l| reached > l.run_until);
        // Rule 2. No run without an entry that connects later tries to it, and no entry without room for it.
        let keyed = class.effect == Effect::Keyed;
        let no_entry = keyed && self.memory_used() + self.set.entry_kb > self.memory_room();
        if too_late || no_entry {
            self.kb_held -= a.kb;
            out.push(self.refusal(a.id, false));
            return;
        }
        if keyed || (self.set.fresh > 0.0 && class.effect == Effect::Safe) {
            // It outlives what it stands for: what is still held must not run beside a later try.
            let span = if keyed { (class.window - a.age).max(due - self.now) } else { self.set.fresh };
            let span = span.max(0.0) + 2.0 * self.set.tick;
            self.table.add(a.id, us(self.now + span));
            out.push(Action::Remember { id: a.id, span });
        }
        self.requests.insert(a.id, request);
        self.enter_hold(a.id);
    }

    fn caller_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        let waited = (now - request.reached) / self.set.classes[request.class].aim.max(self.set.tick);
        if self.set.tells_gone && !request.retry && waited >= 0.5 {
            self.waited.add(waited.min(1.0), LEARN);
        }
        match request.stage {
            Stage::Held => {
                self.forget_key(id, out);
                self.forget(id);
            }
            Stage::Reusing => drop(self.forget(id)),
            // Work for nobody is stopped where that is possible.
            Stage::Running => self.stop(id, out),
            Stage::NeedsCall | Stage::Calling => self.calls.waiting_off(request.key),
        }
    }

    /// The part of an aim after which callers have been seen to leave: nobody hears an answer after that.
    /// Could harm where few callers are hasty and most are not.
    fn patience(&self) -> f64 {
        if self.waited.samples < SEEN { 1.0 } else { self.waited.value }
    }

    fn run_ended(&mut self, id: RequestId, outcome: Outcome, took: f64) {
        if !matches!(outcome, Outcome::Moot) {
            self.progress();
        }
        let Some(request) = self.forget(id) else { return };
        // Answered meanwhile: its call is abandoned with it, and may linger below.
        if request.stage == Stage::Calling {
            self.calls.lingering.push(self.now + self.set.call_lingers);
        }
        if request.stage == Stage::Reusing || !matches!(outcome, Outcome::Ok | Outcome::Error) {
            return;
        }
        let stalled = self.stalled_time - request.stalled_before;
        let own = (took - request.off_time - stalled).max(0.0);
        let learned = &mut self.learned[request.class];
        if outcome == Outcome::Ok {
            let expected = request.run_time.max(learned.run.value);
            if expected > 0.0 {
                learned.missed.add((own / expected).powi(2), LEARN);
            }
            learned.add(request.work, own, request.off_time, LEARN);
        }
        let aim = self.set.classes[request.class].aim;
        // Exception: a run that failed counts as held for its aim, so that quick failures do not read as
        // health.
        self.share.finished(if outcome == Outcome::Ok { request.held_for } else { aim });
        let held = !self.hold.is_empty();
        self.limit.finished(self.now, own > aim, held, &self.gauges, self.set.cores);
    }

    /// Frees the entry of a request that never ran.
    fn forget_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.table.remove(id) {
            out.push(Action::Forget(id));
        }
    }

    /// Takes a request out of every account.
    fn forget(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        match request.stage {
            Stage::Held => self.out_of_hold(request.key, request.run_time),
            Stage::Reusing => {}
            Stage::Running => self.running -= 1.0,
            Stage::NeedsCall => self.calls.waiting_off(request.key),
            Stage::Calling => self.calls.in_hand -= 1.0,
        }
        if matches!(request.stage, Stage::Held | Stage::Reusing) {
            self.kb_held -= request.kb;
        } else {
            self.kb_running -= request.kb;
        }
        Some(request)
    }
}

// ---- The send share: a PID loop on hold time ----

#[derive(Default)]
struct SendShare {
    setpoint: f64,
    period: f64,
    sampled_at: f64,
    hold_sum: f64,
    finished: f64,
    unread_sum: f64,
    reads: f64,
    /// How long the newest arrival had waited unread.
    unread: f64,
    integral: f64,
    error: f64,
    value: f64,
    told: f64,
    /// The last output crossed `OVERLOADED`.
    crossed: bool,
}

impl SendShare {
    fn new(setpoint: f64, period: f64, now: f64) -> SendShare {
        SendShare { setpoint, period, sampled_at: now, value: 1.0, told: 1.0, ..SendShare::default() }
    }

    fn read(&mut self, unread: f64) {
        self.unread_sum += unread;
        self.reads += 1.0;
        self.unread = unread;
    }

    fn finished(&mut self, held_for: f64) {
        self.hold_sum += held_for;
        self.finished += 1.0;
    }

    /// Exception to the design's delay: what was read this period may have waited unread for longer than
    /// what finished was held; then that is the delay. Guards against a server too slow to read or finish
    /// that would look idle, whatever slows it; could harm where reading is briefly behind.
    fn sample(&mut self, now: f64, oldest_held: f64) {
        let dt = (now - self.sampled_at) / 1000.0;
        let held = if self.finished > 0.0 { self.hold_sum / self.finished } else { oldest_held };
        let unread = if self.reads > 0.0 { self.unread_sum / self.reads } else { 0.0 };
        let error = (self.setpoint - held.max(unread)) / self.setpoint;
        // The hold's order follows overload, and its change moves the hold time at once: no derivative across
        // it, else the kick crosses back, and the order flips each period and makes what waits late.
        let slope = if self.crossed { 0.0 } else { (error - self.error) / dt };
        // Frozen at a clamp: the integral never moves past the point where it alone would reach one.
        let rest = 1.0 + KP * error + KD * slope;
        let (low, high) = ((SHARE_FLOOR - rest) / KI, (1.0 - rest) / KI);
        let moved = self.integral + error * dt;
        self.integral = moved.clamp(low.min(self.integral), high.max(self.integral));
        let wanted = (rest + KI * self.integral).clamp(self.value - STEP, self.value + STEP);
        let was = self.value < OVERLOADED;
        self.value = wanted.clamp(SHARE_FLOOR, 1.0);
        self.crossed = (self.value < OVERLOADED) != was;
        (self.error, self.sampled_at, self.hold_sum, self.finished) = (error, now, 0.0, 0.0);
        (self.unread_sum, self.reads) = (0.0, 0.0);
    }
}

impl Choice {
    fn tell_share(&mut self, out: &mut Vec<Action>) {
        if self.now - self.share.sampled_at < self.share.period {
            return;
        }
        let held = self.hold.iter().filter_map(|k| self.requests.get(&k.2));
        let oldest = held.fold(0.0, |oldest: f64, r| oldest.max(self.now - r.reached));
        // A stall is no overload: the loop stands where it was when the cores move again.
        match self.stalled {
            true => self.share.sampled_at = self.now,
            false => self.share.sample(self.now, oldest),
        }
        if let Some(idle) = self.connections.sample(self.now, &self.gauges, &self.set) {
            out.push(Action::CloseIdleAfter(idle));
        }
        if self.starved() {
            self.limit.cut(self.now, self.set.cores / 3.0);
        }
        self.tell_change(out);
    }

    /// A cold server asks for no more than its part of the speed, one that begins no more for nothing.
    fn tell_change(&mut self, out: &mut Vec<Action>) {
        let value = if self.stalled { 0.0 } else { self.share.value.min(self.speed_share()) };
        let leaves = self.leaving.is_some_and(|l| self.now >= l.run_until);
        let value = if leaves { 0.0 } else { value.max(SHARE_FLOOR) };
        if (value - self.share.told).abs() >= 0.01 || (value == 1.0 && self.share.told != 1.0) {
            self.share.told = value;
            self.tell(value, out);
        }
    }

    /// Exception: reading that starves beside a crowd cuts the limit before a run can finish past its aim,
    /// and below the cores while it lasts: what is read stale can be refused, what waits unread cannot.
    fn starved(&self) -> bool {
        self.share.unread > self.share.setpoint * STARVED
    }

    fn tell(&self, share: f64, out: &mut Vec<Action>) {
        match self.set.signal {
            Signal::Unused => {}
            Signal::SendShare => out.push(Action::Tell(share)),
            Signal::LowestRank => out.push(Action::Tell(1.0 - share)),
            Signal::Credit => {
                let room = self.set.cores * self.set.crowd / self.set.callers.max(1.0);
                out.push(Action::Tell(share * room));
            }
        }
    }

    /// The share of its full speed that a server has at least.
    fn speed_share(&self) -> f64 {
        let warmed = if self.set.cold_span > 0.0 { (self.now - self.born) / self.set.cold_span } else { 1.0 };
        if !self.set.cold || warmed >= 1.0 {
            return 1.0;
        }
        self.set.cold_share + (1.0 - self.set.cold_share) * warmed
    }
}

// ---- The running limit ----

#[derive(Default)]
struct RunLimit {
    value: f64,
    cut_at: f64,
    period: f64,
}

impl RunLimit {
    fn finished(&mut self, now: f64, past_aim: bool, work_held: bool, gauges: &Gauges, cores: f64) {
        let near_full = gauges.core_use.is_some_and(|u| u >= NEAR_FULL);
        if near_full && past_aim {
            self.cut(now, cores);
        } else if work_held && !near_full && gauges.on_cores.is_some_and(|n| n < cores) {
            self.value += 1.0;
        }
    }

    fn cut(&mut self, now: f64, floor: f64) {
        if now - self.cut_at >= self.period {
            self.cut_at = now;
            self.value = (self.value * CUT).max(floor);
        }
    }
}

impl Choice {
    /// Rule 4. Whether one more run fits into the crowd that this server survives just now. All that waits
    /// for a call or is at one may come back at once. A server without any run goes up to the bound itself.
    fn crowd_has_room(&self) -> bool {
        let may_come_back = self.calls.in_hand + (self.calls.queue.len() + self.calls.later.len()) as f64;
        let most = if self.running < 1.0 { self.crowd() / CROWD_USED } else { self.crowd() };
        self.running + may_come_back + 1.0 <= most.max(1.0)
    }

    fn crowd(&self) -> f64 {
        self.set.cores * (1.0 + (self.set.crowd - 1.0) * self.speed_share()) * CROWD_USED
    }

    fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Running;
        request.held_for = self.now - request.reached;
        request.on_since = self.now;
        request.stalled_before = self.stalled_time;
        self.kb_held -= request.kb;
        self.kb_running += request.kb;
        self.running += 1.0;
        let (key, run_time) = (request.key, request.run_time);
        self.out_of_hold(key, run_time);
        out.push(Action::Run(id));
    }

    fn run_limit(&self) -> f64 {
        if self.starved() { self.limit.value } else { self.limit.value.max(self.set.cores) }
    }

    fn may_start(&self) -> bool {
        let counted = self.running + (self.calls.queue.len() + self.calls.later.len()) as f64;
        counted < self.run_limit() && self.crowd_has_room()
    }

    fn start_runs(&mut self, out: &mut Vec<Action>) {
        self.limit.value = self.limit.value.min(self.set.cores * self.set.crowd * CROWD_USED);
        while self.may_start() {
            let Some(id) = self.next_to_run() else { return };
            if self.hopeless(id, 0.0) {
                self.give_up(id, true, out);
                continue;
            }
            let need = self.requests.get(&id).map_or(0.0, |r| r.kb) * (self.set.run_memory - 1.0);
            if !self.make_room(need, Some(id), out) {
                // It cannot be tried now either.
                if self.past_hope(id, 0.0) {
                    self.give_up(id, true, out);
                }
                return;
            }
            self.start(id, out);
        }
    }
}

// ---- Cores that stand still ----

impl Choice {
    /// Exception: cores that take work and finish none, while reading is not behind. What is held and what
    /// comes is turned away at once, while its client has time for another server, and callers are asked to
    /// stay away; the first run to end is the end of it. Covers whatever stops the work but not the reading;
    /// could harm where all runs far outlast what their class has shown.
    fn look_for_stall(&mut self, out: &mut Vec<Action>) {
        let short = self.now - self.progress_at < self.share.setpoint * STARVED;
        if self.running == 0.0 || short || self.starved() {
            return;
        }
        // All on the cores share them alike, reading and new connections too.
        let on_cores = self.gauges.on_cores.unwrap_or(0.0).max(self.running);
        let runs = self.requests.values().filter(|r| r.stage == Stage::Running);
        let ends: f64 = runs.map(|r| self.ends_since_progress(r)).sum();
        if !self.stalled && ends * (self.set.cores / on_cores).min(1.0) < STALLED {
            return;
        }
        self.stalled = true;
        while let Some(&(_, _, last)) = self.hold.last() {
            self.give_up(last, true, out);
        }
    }

    /// How often a run like this one would have ended since the last one did, on a core of its own.
    fn ends_since_progress(&self, request: &Request) -> f64 {
        let seen = &self.learned[request.class];
        let expected = request.run_time.max(seen.run.value) * seen.missed.value.max(1.0);
        if seen.run.samples < SEEN || expected <= 0.0 {
            return 0.0;
        }
        (self.now - self.progress_at.max(request.on_since)) / expected
    }

    /// A run has ended or reached its call: the cores move.
    fn progress(&mut self) {
        if std::mem::take(&mut self.stalled) {
            self.stalled_time += self.now - self.progress_at;
        }
        self.progress_at = self.now;
    }
}

// ---- The hold: order, hope and refusals ----

impl Choice {
    fn enter_hold(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut worth = self.set.classes[request.class].worth;
        if request.over_share {
            worth *= self.set.over_share_worth;
        }
        if !self.set.worth_by_work && request.run_time > 0.0 {
            worth /= request.run_time;
        }
        let level = if worth > 0.0 { (worth.log2() * 2.0).round() as i64 } else { i64::MIN + 1 };
        request.key = (-level, us(request.aim_at), id);
        self.hold.insert(request.key);
        self.hold_work += request.run_time;
        let look = request.aim_at - request.run_time - self.learned[request.class].off.value;
        self.looks.insert((us(look.min(request.due - self.margin())), id));
    }

    fn out_of_hold(&mut self, key: HoldKey, run_time: f64) {
        self.hold.remove(&key);
        self.hold_work -= run_time;
    }

    /// The most worth first; within that the nearest aim, or under overload the farthest. More work in the
    /// hold than the cores do within the setpoint is overload too: run newest first, no hold time shows it.
    fn next_to_run(&self) -> Option<RequestId> {
        let &(level, _, first) = self.hold.first()?;
        let stands = self.hold_work / self.set.cores > self.share.setpoint;
        if self.share.value >= OVERLOADED && !stands {
            return Some(first);
        }
        self.hold.range(..(level + 1, i64::MIN, 0)).next_back().map(|k| k.2)
    }

    /// Whether a held request, begun after `wait`, can no longer be answered in time to earn.
    fn hopeless(&self, id: RequestId, wait: f64) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        // With cores to spare nothing is lost by trying now, however long the estimate.
        let idle = self.gauges.on_cores.is_some_and(|n| n < self.set.cores);
        if wait == 0.0 && self.hold.len() <= 1 && idle && self.may_start() {
            return self.now >= r.aim_at;
        }
        self.past_hope(id, wait)
    }

    fn past_hope(&self, id: RequestId, wait: f64) -> bool {
        self.requests.get(&id).is_some_and(|r| self.now + wait + self.need(r) >= r.aim_at)
    }

    /// What its run is expected to take, calls included.
    fn need(&self, r: &Request) -> f64 {
        r.run_time + self.learned[r.class].off.value
    }

    /// Turns away from the low end of the hold what could not be reached in time at the present rate.
    fn trim(&mut self, out: &mut Vec<Action>) {
        while let Some(&(_, _, id)) = self.hold.last() {
            let wait = self.hold_work / self.limit.value;
            if self.hold.len() <= 1 || !self.hopeless(id, wait) {
                return;
            }
            self.give_up(id, true, out);
        }
    }

    /// The final answer to a request that is not going to be served, at once, and an end to its work.
    fn give_up(&mut self, id: RequestId, last: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let safe = self.set.classes[request.class].effect == Effect::Safe;
        request.answered = true;
        match request.stage {
            Stage::Held => {
                if !request.retry {
                    self.refused_age.add(self.now - request.reached, LEARN);
                }
                out.push(self.refusal(id, last));
                self.forget_key(id, out);
                self.forget(id);
            }
            Stage::Reusing => {
                out.push(Action::Fail(id));
                self.forget(id);
            }
            Stage::Running => {
                // A failure would be tried again elsewhere, too late.
                out.push(if safe { self.refusal(id, true) } else { Action::Fail(id) });
                self.stop(id, out);
            }
            Stage::NeedsCall | Stage::Calling => {
                self.calls.waiting_off(request.key);
                out.push(Action::Fail(id));
            }
        }
    }

    fn stop(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.set.stopping != Stopping::Impossible {
            out.push(Action::Stop(id));
        }
    }

    /// Turned away, with advice to stay away for a part of what a newcomer would wait, unread or held.
    fn refusal(&mut self, id: RequestId, last: bool) -> Action {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let spread = 0.75 + 0.5 * ((self.rng >> 40) as f64 / (1u64 << 24) as f64);
        let wait = (self.hold_work / self.limit.value).max(self.share.unread) * spread * ADVICE;
        let away = self.stalled || self.leaving.is_some_and(|l| self.now >= l.run_until);
        let pause = if away { f64::INFINITY } else { wait };
        Action::Refuse { id, pause: pause.min(self.set.longest_pause), last }
    }

    /// Whether a tenant sends beyond this server's even part of its quota.
    fn over_share(&mut self, tenant: usize) -> bool {
        let (Some(told), Some((left, at))) = (self.set.tenants.get(tenant), self.quotas.get_mut(tenant))
        else {
            return false;
        };
        let rate = told.quota_per_s / self.set.servers.max(1.0);
        if rate <= 0.0 || self.set.tier > 0 {
            return false;
        }
        *left = (*left + rate * (self.now - *at) / 1000.0).min((rate * QUOTA_BURST).max(QUOTA_LEAST));
        *at = self.now;
        let over = *left < 1.0;
        if !over {
            *left -= 1.0;
        }
        over
    }
}

// ---- Calls below ----

#[derive(Default)]
struct Calls {
    /// Requests off the cores that wait for a call, in the order of the hold, and those to be tried later.
    queue: BTreeSet<HoldKey>,
    later: BTreeMap<HoldKey, f64>,
    in_hand: f64,
    /// When abandoned calls leave the dependency's hands at the latest.
    lingering: Vec<f64>,
    /// The part of the share that is used, and the best usual call time seen, ms.
    part: RunLimit,
    best: f64,
    /// Permits always there, and the call time, ms, that one more may use now, at most, and gains a ms.
    whole: f64,
    credit: f64,
    most_credit: f64,
    gain: f64,
    at: f64,
}

impl Calls {
    fn new(set: &Settings, now: f64, period: f64) -> Calls {
        let whole = (set.call_share * CALLS_USED).floor();
        let extra = set.call_share - whole;
        // At least what a call may linger, twice, and the rest as time passes: together the extra.
        let most_credit = (extra * (1.0 - LENT)).max(2.0 * set.call_lingers / set.call_span.max(1.0));
        let most_credit = most_credit.min(extra) * set.call_span;
        Calls {
            whole,
            part: RunLimit { value: 1.0, cut_at: now, period },
            best: f64::INFINITY,
            credit: most_credit,
            most_credit,
            gain: extra - most_credit / set.call_span.max(1.0),
            at: now,
            ..Calls::default()
        }
    }

    fn waiting_off(&mut self, key: HoldKey) {
        self.queue.remove(&key);
        self.later.remove(&key);
    }

    fn all_in_hand(&self) -> f64 {
        self.in_hand + self.lingering.len() as f64
    }

    /// What the told share leaves beyond whole permits is lent for that part of the time, never for longer.
    fn advance(&mut self, now: f64) {
        let beyond = (self.all_in_hand() - self.whole).max(0.0);
        self.credit =
            (self.credit + (self.gain * self.part.value - beyond) * (now - self.at)).min(self.most_credit);
        self.at = now;
        self.lingering.retain(|until| *until > now);
        // What waited to try its call again is back in the queue.
        let queue = &mut self.queue;
        self.later.retain(|key, at| *at > now || !queue.insert(*key));
    }
}

impl Choice {
    fn needs_call(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Running || request.answered {
            return;
        }
        request.stage = Stage::NeedsCall;
        request.off_since = now;
        request.calls = 0;
        self.running -= 1.0;
        self.calls.queue.insert(request.key);
        self.progress();
    }

    /// How many calls may be in hand at once.
    fn permits(&self) -> f64 {
        match self.set.below {
            Below::Nothing => 0.0,
            // Exception to the design's cap of one call a core on a tier: a call outlasts the work it stands
            // for, so that cap idles both tiers. The crowd that may come back at once bounds them instead.
            Below::Tier => self.crowd(),
            Below::Shared => {
                // One more is lent while it can last for a long call and still be paid back: a call that is
                // abandoned half way lingers, and costs far more of the share than one that is finished.
                let usual = PATIENCE * self.call_time.value + self.set.call_lingers;
                let enough = self.calls.credit >= usual.min(self.calls.most_credit);
                let lent = enough && self.longest_loan() >= self.set.tick;
                let whole = (self.calls.whole * self.calls.part.value).ceil();
                if lent && whole >= self.calls.whole { whole + 1.0 } else { whole }
            }
        }
    }

    /// How long a call on a lent permit may last: it may linger after that, and its end is heard of late.
    fn longest_loan(&self) -> f64 {
        self.calls.credit - self.set.call_lingers - 2.0 * self.set.tick
    }

    fn issue_calls(&mut self, out: &mut Vec<Action>) {
        let permits = self.permits();
        while let Some(&key) = self.calls.queue.first() {
            if self.calls.all_in_hand() >= permits {
                break;
            }
            self.calls.queue.remove(&key);
            let mut abandon_at = self.abandon_at(key.2);
            if self.set.below == Below::Shared && self.calls.all_in_hand() >= self.calls.whole {
                abandon_at = abandon_at.min(self.now + self.longest_loan());
            }
            let Some(request) = self.requests.get_mut(&key.2) else { continue };
            request.stage = Stage::Calling;
            request.calls += 1;
            self.calls.in_hand += 1.0;
            out.push(Action::Call { id: key.2, abandon_at });
        }
        // Who could not get a permit in time goes on without its call, where that earns something.
        while let Some(&key) = self.calls.queue.last() {
            let Some(request) = self.requests.get(&key.2) else { break };
            let turns = TURNS * (self.calls.queue.len() as f64 / permits.max(1.0)).ceil() + 1.0;
            let in_time = self.now + turns * self.call_time.value + request.run_time < request.aim_at;
            if in_time || !self.skip(key.2, out) {
                break;
            }
        }
    }

    /// A call that may be repeated is abandoned while there is time for another; any other has all the time.
    fn abandon_at(&self, id: RequestId) -> f64 {
        let Some(r) = self.requests.get(&id) else { return self.now };
        let class = &self.set.classes[r.class];
        let last = r.due - self.margin();
        if class.effect != Effect::Safe || self.call_time.samples == 0 {
            return last;
        }
        let patience = (PATIENCE * self.call_time.value).max((r.aim_at - self.now) / 2.0);
        (self.now + patience).min(last).max(self.now + self.set.tick)
    }

    fn call_ended(&mut self, id: RequestId, outcome: Outcome, took: f64, out: &mut Vec<Action>) {
        let (now, margin) = (self.now, self.margin());
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Calling {
            return;
        }
        request.stage = Stage::NeedsCall;
        self.calls.in_hand -= 1.0;
        // Exception: what lies below slows down long before the told share is in use. While calls take far
        // longer than they did, fewer are made. Could harm where call times vary that much by themselves.
        if self.call_time.value > SLOWER * self.calls.best {
            self.calls.part.cut(now, LEAST_CALLS);
        } else {
            self.calls.part.value = (self.calls.part.value + LEAST_CALLS / 2.0).min(1.0);
        }
        if outcome == Outcome::Ok {
            self.call_time.add(took, LEARN);
            if self.call_time.samples > 20 {
                self.calls.best = self.calls.best.min(self.call_time.value);
            }
            request.stage = Stage::Running;
            request.off_time += now - request.off_since;
            self.running += 1.0;
            request.on_since = now;
            return;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Broken) {
            self.calls.lingering.push(now + self.set.call_lingers);
            // It would have taken longer: where only short calls end well, they alone would be learnt.
            if self.set.below == Below::Shared {
                self.call_time.add(2.0 * took, LEARN);
            }
        }
        if request.answered {
            return;
        }
        // Rule 2. Only a call that is known not to have run, or that may run twice, is made again.
        let safe = self.set.classes[request.class].effect == Effect::Safe;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::Moot);
        let pause = self.call_time.value.max(self.set.tick) * f64::from(1u32 << request.calls.min(5)) / 2.0;
        let in_time = now + pause + self.call_time.value < request.due - margin;
        if (safe || never_ran) && in_time && request.calls < CALL_TRIES {
            self.calls.later.insert(request.key, now + pause);
        } else if !self.skip(id, out) {
            self.give_up(id, false, out);
        }
    }

    fn skip(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if self.set.classes[request.class].skip_worth <= 0.0 || request.stage != Stage::NeedsCall {
            return false;
        }
        self.calls.waiting_off(request.key);
        request.stage = Stage::Running;
        request.off_time += now - request.off_since;
        self.running += 1.0;
        request.on_since = now;
        out.push(Action::SkipCall(id));
        true
    }
}

// ---- Guards: due times and memory ----

impl Choice {
    /// Answers are given so long before they are due: one beat, and room for a late timer.
    fn margin(&self) -> f64 {
        BEAT + 2.0 * self.set.tick
    }

    /// Rule 1. Looks at each request when its aim slips out of reach and before it is due.
    fn look_at_due(&mut self, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.looks.first() {
            if at > us(self.now) {
                return;
            }
            self.looks.pop_first();
            let Some(r) = self.requests.get(&id).filter(|r| !r.answered) else { continue };
            let last_look = r.due - self.margin();
            if self.now >= last_look {
                self.give_up(id, false, out);
            } else if r.stage == Stage::Held && self.hopeless(id, 0.0) {
                self.give_up(id, true, out);
            } else {
                // What calls are expected to take may have fallen since, and with it come closer to the aim.
                let hopeless_at = (r.aim_at - self.need(r)).max(self.now + BEAT);
                let next = if r.stage == Stage::Held { last_look.min(hopeless_at) } else { last_look };
                self.looks.insert((us(next), id));
            }
        }
    }

    fn memory_used(&self) -> f64 {
        self.kb_held + self.kb_running * self.set.run_memory + self.table.len() as f64 * self.set.entry_kb
    }

    /// Memory that may be filled: the rest is for what the next batch brings, one read a core.
    fn memory_room(&self) -> f64 {
        self.set.memory_kb - 2.0 * self.set.cores * self.kb_largest
    }

    /// Rule 4. Held requests of the least worth give way before memory runs out, and to runs that need room;
    /// else a full hold would keep the cores idle.
    fn make_room(&mut self, need: f64, keep: Option<RequestId>, out: &mut Vec<Action>) -> bool {
        while need > self.memory_room() - self.memory_used() {
            let held = self.hold.last().map(|key| key.2).filter(|last| Some(*last) != keep);
            match held.or_else(|| self.newest_reusing().filter(|_| need == 0.0)) {
                Some(id) => self.give_up(id, false, out),
                None => return false,
            }
        }
        true
    }

    /// The last read of those that wait for another's result: they take memory, and no run ends their stay.
    fn newest_reusing(&self) -> Option<RequestId> {
        let reusing = |(_, r): &(&RequestId, &Request)| r.stage == Stage::Reusing;
        self.requests.iter().rev().find(reusing).map(|(id, _)| *id)
    }
}

/// How long connections may stay idle. They are closed at once where callers seldom come back, which frees
/// what a full table costs, and sooner while cores idle beside a table that may be full. Where turning away
/// takes most of the cores, they are kept while the cores are busy: a full table turns newcomers away for
/// nothing, and each one let in costs its connection, a read and a refusal. Guards against retries that live
/// on what they cost. Could harm where newcomers are worth much more than those that have a connection.
#[derive(Default)]
struct Connections {
    /// When each caller last came, for those that came within the span.
    seen: BTreeMap<u64, f64>,
    span: f64,
    since: f64,
    born: f64,
    arrivals: f64,
    reused: Mean,
    /// Callers come back often enough.
    keeps: bool,
    /// Part of what stands on the cores that is no run: reading, new connections, checks.
    overhead: Mean,
    /// The same since the last sample.
    overhead_lately: Mean,
    /// Turning away has taken most of the cores, and the cores have not been at leisure since.
    crowded: bool,
    idle: f64,
    /// The most connections that were seen open.
    most: f64,
}

impl Connections {
    fn used(&mut self, now: f64, caller: u64, callers: f64) {
        self.arrivals += 1.0;
        let reused = match self.seen.insert(caller, now) {
            Some(last) if now - last < self.span => 1.0,
            // Who comes for the first time may come back: as often as all do at the present rate.
            None if now - self.born < self.span => {
                let in_span = self.arrivals * self.span / (now - self.born).max(BEAT);
                (in_span / callers.max(1.0)).min(1.0)
            }
            _ => 0.0,
        };
        self.reused.add(reused, LEARN);
    }

    /// The idle time from now on, where it changes.
    fn sample(&mut self, now: f64, gauges: &Gauges, set: &Settings) -> Option<f64> {
        if self.overhead_lately.samples > 0 {
            self.overhead.add(std::mem::take(&mut self.overhead_lately).value, LEARN);
        }
        let busy = gauges.core_use.unwrap_or(1.0);
        let open = gauges.connections.unwrap_or(0.0);
        self.most = self.most.max(open);
        self.crowded |= self.overhead.value > OVERHEAD;
        let settled = now - self.born >= self.span;
        let may_be_full = settled && open >= self.most * ROOM && open < set.callers * FEW;
        let first_look = !settled && self.since == self.born && self.reused.samples >= ENOUGH;
        if first_look || now - self.since >= self.span {
            self.since = now;
            self.keeps = self.reused.value >= REUSED * busy;
            self.seen.retain(|_, last| now - *last < self.span);
        }
        let wanted = if self.crowded && busy >= BUSY {
            self.idle * KEEP_LONGER + BEAT
        } else if self.crowded || (may_be_full && busy < BUSY) {
            self.idle * CLOSE_SOONER
        } else if self.keeps {
            set.idle
        } else {
            BEAT
        };
        let idle = wanted.clamp(BEAT, set.idle.max(BEAT));
        self.crowded &= idle > BEAT;
        (std::mem::replace(&mut self.idle, idle) != idle).then_some(idle)
    }
}

// ---- Leaving ----

impl Choice {
    /// Rule 3. Everything read is answered a margin before the stop; callers are asked to go elsewhere once
    /// nothing more is begun: until then the others would miss this server's part.
    fn leave(&mut self, left: f64, out: &mut Vec<Action>) {
        let answer_by = self.now + left - self.margin() - self.set.answer_slack;
        // What little time is left may end before the next beat.
        self.next_beat = self.now;
        self.leaving = Some(Leaving { run_until: self.now + self.set.drain_grace, answer_by });
        out.push(Action::Health { good: false, stored: true });
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let margin = self.margin();
            let Some(r) = self.requests.get_mut(&id).filter(|r| r.due > answer_by) else { continue };
            (r.due, r.aim_at) = (answer_by, r.aim_at.min(answer_by));
            let (held, key, run_time) = (r.stage == Stage::Held, r.key, r.run_time);
            self.looks.insert((us(answer_by - margin), id));
            if held {
                self.out_of_hold(key, run_time);
                self.enter_hold(id);
            }
        }
    }
}
