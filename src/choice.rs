//! Every decision of loomflow, top to bottom: constants, state, event dispatch, send share, running limit,
//! stalls, queue, calls, deadlines, memory, shutdown, connections. It speaks the types of `src/interface.rs`.
//! Times are in ms, memory in KB. Rules that comments name: (1) one final response in time, (2) no effect
//! twice, (3) a safe drain, (4) no overload of the server or of what it calls.

use std::collections::{BTreeMap, BTreeSet};

use crate::estimate::{Average, Mean, RunTimes};
use crate::interface::*;
use crate::retained_keys::RetainedKeys;
use crate::time::{Micros, micros};

// ---- Constants. Shares and multiples of what a server is told or measures, never a site's figure. ----

/// Interval of the timer that checks deadlines and feeds the control loop.
const TICK: f64 = 50.0;
/// Sample period of the send share and of decreases of the limit, as a part of the signal's lifetime.
const SAMPLE_PERIOD_PART: f64 = 0.25;
/// Signal lifetime to go by where the settings state none.
const DEFAULT_SIGNAL_TTL: f64 = 1000.0;
/// Setpoint of the mean hold time, as a part of the shortest latency objective.
const SETPOINT_PART: f64 = 0.15;
/// Gains of the control loop: proportional, integral per second, derivative in seconds.
const KP: f64 = 0.1;
const KI: f64 = 0.12;
const KD: f64 = 0.05;
const MIN_SHARE: f64 = 0.05;
/// Largest change of the share between two samples.
const MAX_SHARE_STEP: f64 = 0.2;
/// Smallest change of the share that is sent.
const MIN_SENT_CHANGE: f64 = 0.01;
/// A decrease multiplies the limit by this.
const LIMIT_DECREASE: f64 = 0.8;
/// Cores that are busier than this have no capacity left.
const HIGH_UTILIZATION: f64 = 0.75;
/// Part of the call quota that is used: the dependency dies of a mean that reaches all of it.
const CALL_QUOTA_USED: f64 = 0.85;
/// Part of what the call quota leaves beyond whole permits that accrues; the rest bounds one borrowed permit.
const BORROWED_PART: f64 = 0.5;
/// Part of the survivable concurrency that is used; the rest is for reading and surprises.
const CONCURRENCY_USED: f64 = 0.7;
/// Weight of the newest sample in running means.
const SMOOTHING: f64 = 0.15;
/// An idempotent call times out after this multiple of the usual call time, or half the time left if longer.
const CALL_TIMEOUT_FACTOR: f64 = 4.0;
const MAX_CALL_ATTEMPTS: u32 = 4;
/// Successful calls before their mean counts for the best call time.
const MIN_CALL_SAMPLES: u32 = 20;
/// A lower share is a sign of overload.
const OVERLOAD_SHARE: f64 = 0.9;
/// Retry-after, as a part of a newcomer's wait: callers that all stay away leave cores idle.
const RETRY_AFTER_PART: f64 = 0.5;
/// A read delay beyond so many setpoints decreases the limit.
const STARVATION_FACTOR: f64 = 1.5;
/// A call is skipped where so many times its wait for a permit would not fit: that queue goes on growing.
const PERMIT_WAIT_FACTOR: f64 = 4.0;
/// Part of a latency objective that each tier leaves to the one downstream.
const DOWNSTREAM_PART: f64 = 0.33;
/// Callers come back soon if they do within this multiple of the shortest latency objective.
const REUSE_WINDOW_FACTOR: f64 = 4.0;
/// On busy cores connections are kept while this part of the requests is of callers that came back soon.
const MIN_REUSE: f64 = 0.5;
/// Part of the cores for all but runs, with a third of them for a full table: beyond it, that is kept full.
const MAX_OVERHEAD: f64 = 0.55;
/// Then connections are kept longer while the cores are busier than this.
const BUSY_UTILIZATION: f64 = 0.85;
/// Factors of the idle timeout at each sample.
const IDLE_TIMEOUT_INCREASE: f64 = 1.3;
const IDLE_TIMEOUT_DECREASE: f64 = 0.6;
/// A connection table that holds more than this part of the most that was seen in it may be full.
const FULL_TABLE_PART: f64 = 0.9;
/// It is not while this part of the callers has a connection: the others may never come.
const FEW_CALLERS_PART: f64 = 0.25;
/// So many arrivals show whether callers come back.
const MIN_ARRIVALS: u32 = 10;
/// Calls that take more than this multiple of their best usual time overload the dependency.
const SLOW_CALL_FACTOR: f64 = 3.0;
/// Then as little as this part of the quota is used; each call that is not slow restores half as much.
const MIN_CALL_QUOTA: f64 = 0.4;
/// Fewer samples than this show nothing.
const MIN_SAMPLES: u32 = 6;
/// The cores are stalled when, by usual run times, so many runs ought to have ended since the last one did.
/// With random ends at their usual rate, a gap as long would come once in e^6 = 400.
const STALL_THRESHOLD: f64 = 6.0;
/// Seconds of quota that a tenant may send at once without exceeding its quota.
const QUOTA_BURST_SECONDS: f64 = 10.0;
/// But at least so many requests: with fewer, chance puts one in twenty of a tenant at 0.9 beyond it.
const MIN_QUOTA_BURST: f64 = 6.0;

// ---- State ----

/// How far a request has come.
#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Queued,
    /// Waits for, or is served from, the result of another request.
    AwaitingResult,
    Running,
    /// Off the cores, and its call is not in flight.
    AwaitingCall,
    Calling,
}

#[derive(Default)]
struct Request {
    class: usize,
    memory_kb: f64,
    arrived_at: f64,
    deadline: f64,
    /// A response by then earns the full weight.
    objective_at: f64,
    is_over_quota: bool,
    is_retry: bool,
    /// Expected time on the cores, without calls.
    expected_run: f64,
    queue_key: QueueKey,
    stage: Stage,
    is_answered: bool,
    queue_time: f64,
    /// When it left the cores for its call, the time that it was off them before, and its calls so far.
    off_cores_since: f64,
    off_cores_time: f64,
    call_attempts: u32,
    /// When it last came on the cores, and `Controller::stall_time` when its run started.
    on_cores_since: f64,
    stall_time_before: f64,
    estimated_work: f64,
}

/// Order of the queue: highest weight per unit of work first, then the nearest objective.
type QueueKey = (i64, Micros, RequestId);

/// The controller of one server.
#[derive(Default)]
pub struct Controller {
    settings: Settings,
    now: f64,
    started_at: f64,
    rng: u64,
    requests: BTreeMap<RequestId, Request>,
    queue: BTreeSet<QueueKey>,
    /// When each request has to be checked next.
    deadlines: BTreeSet<(Micros, RequestId)>,
    /// Sum of `expected_run` over the queue.
    queued_work: f64,
    running: f64,
    share: SendShare,
    limit: RunLimit,
    calls: Calls,
    retained_keys: RetainedKeys,
    run_times: Vec<RunTimes>,
    call_time: Mean,
    /// After which part of its objective a caller cancels, and the age at which requests are rejected.
    cancelled_after: Mean,
    rejected_age: Mean,
    /// For each tenant the requests that it may send at once, and when they were last added to.
    quotas: Vec<(f64, f64)>,
    gauges: Gauges,
    connections: Connections,
    queued_kb: f64,
    running_kb: f64,
    largest_kb: f64,
    shutdown: Option<Shutdown>,
    /// When a run last ended or reached a call.
    progress_at: f64,
    is_stalled: bool,
    /// How long the cores have been stalled in all: time that shows nothing about runs.
    stall_time: f64,
    next_tick: f64,
}

#[derive(Clone, Copy)]
struct Shutdown {
    intake_ends_at: f64,
    respond_by: f64,
}

/// Scales the objectives to this tier, and returns the shortest. A tier downstream works within its caller's
/// wait, and the caller goes on to something else long before the objective.
fn scale_objectives(settings: &mut Settings) -> f64 {
    let part = DOWNSTREAM_PART.powi(settings.tier.min(9) as i32);
    settings.classes.iter_mut().for_each(|class| class.latency_objective *= part);
    settings.classes.iter().map(|class| class.latency_objective).fold(f64::INFINITY, f64::min)
}

// ---- Event dispatch ----

impl Controller {
    /// A controller that starts at `now`. Instances with different seeds spread their advice differently.
    pub fn new(mut settings: Settings, seed: u64, now: f64) -> Controller {
        let shortest = scale_objectives(&mut settings);
        let signal_ttl = if settings.signal_ttl > 0.0 { settings.signal_ttl } else { DEFAULT_SIGNAL_TTL };
        let period = signal_ttl * SAMPLE_PERIOD_PART;
        Controller {
            now,
            started_at: now,
            rng: seed ^ 0x9E37_79B9_7F4A_7C15,
            share: SendShare::new(shortest * SETPOINT_PART, period, now),
            limit: RunLimit { value: settings.cores, decreased_at: now, period },
            calls: Calls::new(&settings, now, period),
            run_times: vec![RunTimes::default(); settings.classes.len()],
            quotas: settings.tenants.iter().map(|_| (f64::MAX, now)).collect(),
            connections: Connections::new(shortest * REUSE_WINDOW_FACTOR, settings.idle_timeout, now),
            progress_at: now,
            next_tick: f64::NEG_INFINITY,
            settings,
            ..Controller::default()
        }
    }

    /// Takes in one event. Only what cannot wait for the end of the batch is decided here.
    pub fn event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.calls.advance(now);
        match event {
            Event::RequestArrived(arrival) => self.request_arrived(arrival, out),
            Event::RequestCancelled(id) => self.request_cancelled(id, out),
            Event::TimerFired(gauges) => self.gauges_received(gauges),
            Event::CallNeeded(id) => self.call_needed(id),
            Event::CallEnded { id, outcome, duration } => self.call_ended(id, outcome, duration, out),
            Event::RunEnded { id, outcome, duration } => self.run_ended(id, outcome, duration),
            Event::SettingsChanged(settings) => self.apply_settings(*settings),
            Event::ShutdownRequested { time_left } => self.begin_shutdown(time_left, out),
        }
    }

    fn gauges_received(&mut self, gauges: Gauges) {
        self.gauges = gauges;
        if let Some(runnable) = gauges.runnable {
            let overhead = (runnable - self.running).max(0.0) / runnable.max(self.settings.cores);
            self.connections.recent_overhead.add(overhead, 0.0);
        }
    }

    /// The load as the controller sees it.
    pub fn load(&self) -> Load {
        let hold_time_ratio = (1.0 - self.share.error).max(0.0);
        Load { share: self.share.sent, hold_time_ratio, limit: self.run_limit(), running: self.running }
    }

    /// Ends a batch: responds where a deadline is due, then issues calls and starts runs.
    pub fn decide(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        self.calls.advance(now);
        if self.next_tick == f64::NEG_INFINITY {
            // Cached responses keep health checks cheap; that a process responds shows the rest.
            out.push(Action::SetHealth { is_healthy: true, is_cached: true });
            // In slow start the first response carries the speed: without a signal callers take it for 1.
            self.send_share(out);
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            out.push(Action::SetTimer(self.next_tick));
            self.check_deadlines(out);
            self.retained_keys.expire(micros(now - self.settings.batch_interval));
            self.update_share(out);
        }
        self.check_stall(out);
        self.shed_hopeless(out);
        self.issue_calls(out);
        self.start_runs(out);
        self.reclaim_memory(0.0, None, out);
    }

    /// Requests that are known keep their deadlines; their weights count at once.
    fn apply_settings(&mut self, new: ReloadableSettings) {
        if new.classes.len() != self.settings.classes.len() {
            return;
        }
        self.quotas.resize(new.tenants.len(), (f64::MAX, self.now));
        (self.settings.classes, self.settings.tenants) = (new.classes, new.tenants);
        self.settings.drain_grace = new.drain_grace;
        let shortest = scale_objectives(&mut self.settings);
        self.share.setpoint = shortest * SETPOINT_PART;
        self.connections.reuse_window = shortest * REUSE_WINDOW_FACTOR;
    }

    fn request_arrived(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        let Some(class) = self.settings.classes.get(arrival.class).cloned() else {
            return out.push(Action::Fail(id));
        };
        self.largest_kb = self.largest_kb.max(arrival.memory_kb);
        self.share.record_read(arrival.age);
        self.connections.record_arrival(self.now, arrival.caller, self.settings.caller_count);
        let mut request = self.new_request(&arrival, &class);
        let (arrived_at, deadline) = (request.arrived_at, request.deadline);
        let is_keyed = class.idempotency == Idempotency::ByKey;
        // Rule 2. A duplicate of what may have run is never run itself: it shares that run's result.
        let is_duplicate = arrival.original.is_some() && (is_keyed || self.settings.result_cache_ttl > 0.0);
        if deadline - self.now <= self.response_margin() {
            return out.push(if is_duplicate { Action::Fail(id) } else { self.rejection(id, false) });
        }
        self.queued_kb += arrival.memory_kb;
        if is_duplicate {
            request.stage = Stage::AwaitingResult;
            self.deadlines.insert((micros(deadline - self.response_margin()), id));
            self.requests.insert(id, request);
            return out.push(Action::ReuseResult(id));
        }
        // Rule 3. What arrived past the grace period is rejected at once, to be retried while there is time.
        let is_too_late = self.shutdown.is_some_and(|shutdown| arrived_at > shutdown.intake_ends_at);
        // Rule 2. No run without a retained key that finds its duplicates, and none without memory for it.
        let is_out_of_memory = is_keyed && self.memory_used() + self.settings.key_kb > self.memory_capacity();
        if is_too_late || is_out_of_memory {
            self.queued_kb -= arrival.memory_kb;
            return out.push(self.rejection(id, false));
        }
        let is_cached = self.settings.result_cache_ttl > 0.0 && class.idempotency == Idempotency::Always;
        if is_keyed || is_cached {
            // The key outlives its request, which must not run beside a later duplicate while it is queued.
            let window = (class.idempotency_window - arrival.age).max(deadline - self.now);
            let ttl = if is_keyed { window } else { self.settings.result_cache_ttl };
            let ttl = ttl.max(0.0) + 2.0 * self.settings.batch_interval;
            self.retained_keys.add(id, micros(self.now + ttl));
            out.push(Action::RetainKey { id, ttl });
        }
        self.requests.insert(id, request);
        self.enqueue(id);
    }

    fn new_request(&mut self, arrival: &Arrival, class: &Class) -> Request {
        let arrived_at = self.now - arrival.age;
        let deadline = match self.settings.has_caller_deadlines {
            true => self.now + arrival.remaining_wait,
            false => arrived_at + class.timeout - arrival.upstream_time,
        };
        let respond_by = self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.respond_by);
        let deadline = deadline.min(respond_by).max(self.now);
        let estimated_work = arrival.estimated_work.unwrap_or(0.0);
        let time_spent = match arrival.is_retry {
            true => self.rejected_age.value.max(arrival.upstream_time),
            false => arrival.upstream_time,
        };
        let objective = class.latency_objective + class.objective_per_work * estimated_work;
        let objective = objective * self.objective_scale() - time_spent;
        Request {
            class: arrival.class,
            memory_kb: arrival.memory_kb,
            arrived_at,
            deadline,
            objective_at: (arrived_at + objective).min(deadline),
            is_over_quota: self.is_over_quota(arrival.tenant),
            is_retry: arrival.is_retry,
            expected_run: self.run_times[arrival.class].expected(arrival.estimated_work),
            queue_key: (0, 0, arrival.id),
            estimated_work,
            ..Request::default()
        }
    }

    fn request_cancelled(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_answered = true;
        let objective = self.settings.classes[request.class].latency_objective;
        let waited = (self.now - request.arrived_at) / objective.max(self.settings.batch_interval);
        if self.settings.has_cancellations && !request.is_retry && waited >= 0.5 {
            self.cancelled_after.add(waited.min(1.0), SMOOTHING);
        }
        match request.stage {
            Stage::Queued => {
                self.release_key(id, out);
                self.remove(id);
            }
            Stage::AwaitingResult => drop(self.remove(id)),
            Stage::Running => self.preempt(id, out),
            Stage::AwaitingCall | Stage::Calling => self.calls.dequeue(request.queue_key),
        }
    }

    /// The part of an objective after which callers have been seen to cancel: nobody reads a later response.
    /// Could harm where few callers are impatient and most are not.
    fn objective_scale(&self) -> f64 {
        if self.cancelled_after.samples < MIN_SAMPLES { 1.0 } else { self.cancelled_after.value }
    }

    fn run_ended(&mut self, id: RequestId, outcome: Outcome, duration: f64) {
        if outcome != Outcome::NotStarted {
            self.record_progress();
        }
        let Some(request) = self.remove(id) else { return };
        // Answered meanwhile: its call is abandoned with it, and may linger downstream.
        if request.stage == Stage::Calling {
            self.calls.lingering.push(self.now + self.settings.call_linger);
        }
        if request.stage == Stage::AwaitingResult || !matches!(outcome, Outcome::Ok | Outcome::Error) {
            return;
        }
        let stall_time = self.stall_time - request.stall_time_before;
        let run_time = (duration - request.off_cores_time - stall_time).max(0.0);
        let seen = &mut self.run_times[request.class];
        if outcome == Outcome::Ok {
            let expected = request.expected_run.max(seen.on_cores.value);
            if expected > 0.0 {
                seen.overrun_squared.add((run_time / expected).powi(2), SMOOTHING);
            }
            seen.add(request.estimated_work, run_time, request.off_cores_time, SMOOTHING);
        }
        let objective = self.settings.classes[request.class].latency_objective;
        // Exception: a run that failed counts as queued for its objective, lest quick failures look healthy.
        self.share.queue_times.add(if outcome == Outcome::Ok { request.queue_time } else { objective });
        let (is_late, has_queue) = (run_time > objective, !self.queue.is_empty());
        self.limit.run_finished(self.now, is_late, has_queue, &self.gauges, self.settings.cores);
    }

    /// Releases the key of a request that never ran.
    fn release_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.retained_keys.remove(id) {
            out.push(Action::ReleaseKey(id));
        }
    }

    /// Removes a request from everything that counts it.
    fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        match request.stage {
            Stage::Queued => self.dequeue(request.queue_key, request.expected_run),
            Stage::AwaitingResult => {}
            Stage::Running => self.running -= 1.0,
            Stage::AwaitingCall => self.calls.dequeue(request.queue_key),
            Stage::Calling => self.calls.in_flight -= 1.0,
        }
        let is_waiting = matches!(request.stage, Stage::Queued | Stage::AwaitingResult);
        *if is_waiting { &mut self.queued_kb } else { &mut self.running_kb } -= request.memory_kb;
        Some(request)
    }
}

// ---- The send share: a PID loop on hold time ----

/// The share of their usual traffic that callers are asked for.
#[derive(Default)]
struct SendShare {
    setpoint: f64,
    period: f64,
    sampled_at: f64,
    /// How long what finished since the last sample was queued, and what was read was unread.
    queue_times: Average,
    read_delays: Average,
    /// How long the newest arrival was unread.
    read_delay: f64,
    integral: f64,
    error: f64,
    value: f64,
    sent: f64,
    /// The last sample crossed [`OVERLOAD_SHARE`].
    has_crossed: bool,
}

impl SendShare {
    fn new(setpoint: f64, period: f64, now: f64) -> SendShare {
        SendShare { setpoint, period, sampled_at: now, value: 1.0, sent: 1.0, ..SendShare::default() }
    }

    fn record_read(&mut self, read_delay: f64) {
        self.read_delays.add(read_delay);
        self.read_delay = read_delay;
    }

    /// Exception to the design's delay: what was read may have been unread for longer than what finished was
    /// queued; then that is the delay. Guards against a server that is too slow to read or finish and would
    /// look idle, whatever slows it; could harm where reading is briefly behind.
    fn sample(&mut self, now: f64, oldest_queue_time: f64) {
        let dt = (now - self.sampled_at) / 1000.0;
        let hold_time = self.queue_times.take().unwrap_or(oldest_queue_time);
        let hold_time = hold_time.max(self.read_delays.take().unwrap_or(0.0));
        let error = (self.setpoint - hold_time) / self.setpoint;
        // The queue's order follows overload, and its change moves the hold time at once: no derivative then,
        // else the kick crosses back, and the order flips each period and makes late what waits.
        let slope = if self.has_crossed { 0.0 } else { (error - self.error) / dt };
        // Anti-windup: the integral never moves past the point where it alone would reach a clamp.
        let rest = 1.0 + KP * error + KD * slope;
        let (low, high) = ((MIN_SHARE - rest) / KI, (1.0 - rest) / KI);
        let integral = self.integral + error * dt;
        self.integral = integral.clamp(low.min(self.integral), high.max(self.integral));
        let (min, max) = (self.value - MAX_SHARE_STEP, self.value + MAX_SHARE_STEP);
        let was_overloaded = self.value < OVERLOAD_SHARE;
        self.value = (rest + KI * self.integral).clamp(min, max).clamp(MIN_SHARE, 1.0);
        self.has_crossed = (self.value < OVERLOAD_SHARE) != was_overloaded;
        (self.error, self.sampled_at) = (error, now);
    }
}

impl Controller {
    fn update_share(&mut self, out: &mut Vec<Action>) {
        if self.now - self.share.sampled_at < self.share.period {
            return;
        }
        let queued = self.queue.iter().filter_map(|key| self.requests.get(&key.2));
        let oldest = queued.fold(0.0, |oldest: f64, request| oldest.max(self.now - request.arrived_at));
        // A stall is no overload: the loop goes on where it was once the cores move again.
        match self.is_stalled {
            true => self.share.sampled_at = self.now,
            false => self.share.sample(self.now, oldest),
        }
        if let Some(timeout) = self.connections.sample(self.now, &self.gauges, &self.settings) {
            out.push(Action::SetIdleTimeout(timeout));
        }
        if self.is_starved() {
            self.limit.decrease(self.now, self.settings.cores / 3.0);
        }
        self.send_share(out);
    }

    /// In slow start a server asks for no more than its speed, after the grace period for nothing.
    fn send_share(&mut self, out: &mut Vec<Action>) {
        let share = if self.is_stalled { 0.0 } else { self.share.value.min(self.speed()) };
        let share = if self.has_stopped_intake() { 0.0 } else { share.max(MIN_SHARE) };
        let sent = self.share.sent;
        if (share - sent).abs() >= MIN_SENT_CHANGE || (share == 1.0 && sent != 1.0) {
            self.share.sent = share;
            self.send_signal(share, out);
        }
    }

    /// Exception: starved reading beside many runs decreases the limit before a run finishes late, and below
    /// the cores while it lasts: what is read late can be rejected, what is unread cannot.
    fn is_starved(&self) -> bool {
        self.share.read_delay > self.share.setpoint * STARVATION_FACTOR
    }

    fn send_signal(&self, share: f64, out: &mut Vec<Action>) {
        let settings = &self.settings;
        let credit = settings.cores * settings.core_concurrency / settings.caller_count.max(1.0);
        match settings.feedback_signal {
            FeedbackSignal::Unused => {}
            FeedbackSignal::SendShare => out.push(Action::SetSignal(share)),
            FeedbackSignal::LowestRank => out.push(Action::SetSignal(1.0 - share)),
            FeedbackSignal::Credit => out.push(Action::SetSignal(share * credit)),
        }
    }

    /// The share of its full speed that the server has at least.
    fn speed(&self) -> f64 {
        let (duration, start) = (self.settings.slow_start_duration, self.settings.slow_start_share);
        let progress = if duration > 0.0 { (self.now - self.started_at) / duration } else { 1.0 };
        if self.settings.is_slow_start && progress < 1.0 { start + (1.0 - start) * progress } else { 1.0 }
    }
}

// ---- The running limit ----

/// A limit that is increased by one and decreased by a factor.
#[derive(Default)]
struct RunLimit {
    value: f64,
    decreased_at: f64,
    period: f64,
}

impl RunLimit {
    fn run_finished(&mut self, now: f64, is_late: bool, has_queue: bool, gauges: &Gauges, cores: f64) {
        let is_busy = gauges.core_utilization.is_some_and(|utilization| utilization >= HIGH_UTILIZATION);
        if is_busy && is_late {
            self.decrease(now, cores);
        } else if has_queue && !is_busy && gauges.runnable.is_some_and(|runnable| runnable < cores) {
            self.value += 1.0;
        }
    }

    fn decrease(&mut self, now: f64, min: f64) {
        if now - self.decreased_at >= self.period {
            self.decreased_at = now;
            self.value = (self.value * LIMIT_DECREASE).max(min);
        }
    }
}

impl Controller {
    /// Rule 4. Whether one more run fits into the concurrency that this server survives now. All that wait
    /// for a call or are at one may come back at once. The first run may use the bound itself.
    fn has_concurrency(&self) -> bool {
        let may_come_back = self.calls.in_flight + self.calls.waiting();
        let max = self.max_concurrency();
        let max = if self.running < 1.0 { max / CONCURRENCY_USED } else { max };
        self.running + may_come_back + 1.0 <= max.max(1.0)
    }

    fn max_concurrency(&self) -> f64 {
        let for_each_core = 1.0 + (self.settings.core_concurrency - 1.0) * self.speed();
        self.settings.cores * for_each_core * CONCURRENCY_USED
    }

    fn start_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Running;
        request.queue_time = self.now - request.arrived_at;
        request.on_cores_since = self.now;
        request.stall_time_before = self.stall_time;
        self.queued_kb -= request.memory_kb;
        self.running_kb += request.memory_kb;
        self.running += 1.0;
        let (key, expected_run) = (request.queue_key, request.expected_run);
        self.dequeue(key, expected_run);
        out.push(Action::Run(id));
    }

    fn run_limit(&self) -> f64 {
        if self.is_starved() { self.limit.value } else { self.limit.value.max(self.settings.cores) }
    }

    fn may_start(&self) -> bool {
        self.running + self.calls.waiting() < self.run_limit() && self.has_concurrency()
    }

    fn start_runs(&mut self, out: &mut Vec<Action>) {
        let max = self.settings.cores * self.settings.core_concurrency * CONCURRENCY_USED;
        self.limit.value = self.limit.value.min(max);
        while self.may_start() {
            let Some(id) = self.next_to_run() else { return };
            let Some(request) = self.requests.get(&id) else { return };
            if self.is_hopeless(request, 0.0) {
                self.shed(id, true, out);
                continue;
            }
            let needed_kb = request.memory_kb * (self.settings.run_memory_factor - 1.0);
            let is_late = self.misses_objective(request, 0.0);
            if !self.reclaim_memory(needed_kb, Some(id), out) {
                return if is_late {
                    self.shed(id, true, out);
                };
            }
            self.start_run(id, out);
        }
    }

    // ---- Stalled cores ----

    /// Exception: cores that take work and finish none, while reading is not behind. What is queued and what
    /// arrives is rejected at once, while its client has time for another server, and callers are asked to
    /// stay away; the first run to end is the end of it. Covers whatever stops the work but not the reading;
    /// could harm where all runs far outlast what their class has shown.
    fn check_stall(&mut self, out: &mut Vec<Action>) {
        let is_recent = self.now - self.progress_at < self.share.setpoint * STARVATION_FACTOR;
        if self.running == 0.0 || is_recent || self.is_starved() {
            return;
        }
        // Everything runnable shares the cores alike, reading and new connections too.
        let runnable = self.gauges.runnable.unwrap_or(0.0).max(self.running);
        let runs = self.requests.values().filter(|request| request.stage == Stage::Running);
        let ends: f64 = runs.map(|request| self.expected_ends(request)).sum();
        if !self.is_stalled && ends * (self.settings.cores / runnable).min(1.0) < STALL_THRESHOLD {
            return;
        }
        self.is_stalled = true;
        while let Some(&(_, _, last)) = self.queue.last() {
            self.shed(last, true, out);
        }
    }

    /// How often a run like this one would have ended since the last one did, on a core of its own.
    fn expected_ends(&self, request: &Request) -> f64 {
        let seen = &self.run_times[request.class];
        let expected = request.expected_run.max(seen.on_cores.value) * seen.overrun_squared.value.max(1.0);
        let elapsed = self.now - self.progress_at.max(request.on_cores_since);
        if seen.on_cores.samples >= MIN_SAMPLES && expected > 0.0 { elapsed / expected } else { 0.0 }
    }

    /// A run has ended or reached its call, so the cores are not stalled.
    fn record_progress(&mut self) {
        if std::mem::take(&mut self.is_stalled) {
            self.stall_time += self.now - self.progress_at;
        }
        self.progress_at = self.now;
    }

    // ---- The queue: its order, and what is rejected ----

    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let for_quota = if request.is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        let is_for_work = !self.settings.is_weight_per_work && request.expected_run > 0.0;
        let work = if is_for_work { request.expected_run } else { 1.0 };
        let weight = self.settings.classes[request.class].priority_weight * for_quota / work;
        let level = if weight > 0.0 { (weight.log2() * 2.0).round() as i64 } else { i64::MIN + 1 };
        request.queue_key = (-level, micros(request.objective_at), id);
        self.queue.insert(request.queue_key);
        self.queued_work += request.expected_run;
        let off_cores = self.run_times[request.class].off_cores.value;
        let check_at = request.objective_at - request.expected_run - off_cores;
        self.deadlines.insert((micros(check_at.min(request.deadline - self.response_margin())), id));
    }

    fn dequeue(&mut self, key: QueueKey, expected_run: f64) {
        self.queue.remove(&key);
        self.queued_work -= expected_run;
    }

    /// The highest weight first; within that the nearest objective, or under overload the farthest. More
    /// queued work than the cores do within the setpoint is overload too: run newest first, it is not seen.
    fn next_to_run(&self) -> Option<RequestId> {
        let &(level, _, first) = self.queue.first()?;
        let has_backlog = self.queued_work / self.settings.cores > self.share.setpoint;
        if self.share.value >= OVERLOAD_SHARE && !has_backlog {
            return Some(first);
        }
        self.queue.range(..(level + 1, i64::MIN, 0)).next_back().map(|key| key.2)
    }

    /// Whether a queued request, started after `wait`, can no longer meet its objective.
    fn is_hopeless(&self, request: &Request, wait: f64) -> bool {
        // With cores to spare nothing is lost by starting it now, however long the estimate.
        let has_idle_cores = self.gauges.runnable.is_some_and(|runnable| runnable < self.settings.cores);
        if wait == 0.0 && self.queue.len() <= 1 && has_idle_cores && self.may_start() {
            return self.now >= request.objective_at;
        }
        self.misses_objective(request, wait)
    }

    fn misses_objective(&self, request: &Request, wait: f64) -> bool {
        self.now + wait + self.expected_time(request) >= request.objective_at
    }

    /// What a run is expected to take, with its calls.
    fn expected_time(&self, request: &Request) -> f64 {
        request.expected_run + self.run_times[request.class].off_cores.value
    }

    /// Rejects from the low end of the queue what would miss its objective at the present rate.
    fn shed_hopeless(&mut self, out: &mut Vec<Action>) {
        while let Some(&(_, _, id)) = self.queue.last() {
            let wait = self.queued_work / self.limit.value;
            let is_hopeless = |request| self.is_hopeless(request, wait);
            if self.queue.len() <= 1 || !self.requests.get(&id).is_some_and(is_hopeless) {
                return;
            }
            self.shed(id, true, out);
        }
    }

    /// The final response to a request that is not going to be served, at once, and an end to its work.
    fn shed(&mut self, id: RequestId, is_final: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Always;
        request.is_answered = true;
        match request.stage {
            Stage::Queued => {
                if !request.is_retry {
                    self.rejected_age.add(self.now - request.arrived_at, SMOOTHING);
                }
                out.push(self.rejection(id, is_final));
                self.release_key(id, out);
                self.remove(id);
            }
            Stage::AwaitingResult => {
                out.push(Action::Fail(id));
                self.remove(id);
            }
            Stage::Running => {
                // A failure would be retried elsewhere, too late.
                out.push(if is_idempotent { self.rejection(id, true) } else { Action::Fail(id) });
                self.preempt(id, out);
            }
            Stage::AwaitingCall | Stage::Calling => {
                self.calls.dequeue(request.queue_key);
                out.push(Action::Fail(id));
            }
        }
    }

    /// Work for nobody is stopped where that is possible.
    fn preempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.settings.preemption != Preemption::Unsupported {
            out.push(Action::Preempt(id));
        }
    }

    /// A rejection with advice to stay away for a part of what a newcomer would wait, unread or queued.
    fn rejection(&mut self, id: RequestId, is_final: bool) -> Action {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let jitter = 0.75 + 0.5 * ((self.rng >> 40) as f64 / (1u64 << 24) as f64);
        let wait = (self.queued_work / self.limit.value).max(self.share.read_delay);
        let is_unavailable = self.is_stalled || self.has_stopped_intake();
        let retry_after = if is_unavailable { f64::INFINITY } else { wait * jitter * RETRY_AFTER_PART };
        Action::Reject { id, retry_after: retry_after.min(self.settings.max_retry_after), is_final }
    }

    /// Whether a tenant exceeds this server's even part of its quota: a token bucket.
    fn is_over_quota(&mut self, tenant: usize) -> bool {
        let Some(settings) = self.settings.tenants.get(tenant) else { return false };
        let Some((tokens, filled_at)) = self.quotas.get_mut(tenant) else { return false };
        let rate = settings.quota_per_s / self.settings.server_count.max(1.0);
        if rate <= 0.0 || self.settings.tier > 0 {
            return false;
        }
        let burst = (rate * QUOTA_BURST_SECONDS).max(MIN_QUOTA_BURST);
        *tokens = (*tokens + rate * (self.now - *filled_at) / 1000.0).min(burst);
        *filled_at = self.now;
        let is_over = *tokens < 1.0;
        *tokens -= if is_over { 0.0 } else { 1.0 };
        is_over
    }
}

// ---- Calls downstream ----

#[derive(Default)]
struct Calls {
    /// Requests off the cores that wait for a permit, in the order of the queue, and those for a retry.
    queue: BTreeSet<QueueKey>,
    retries: BTreeMap<QueueKey, f64>,
    in_flight: f64,
    /// When abandoned calls have left the dependency at the latest.
    lingering: Vec<f64>,
    /// The part of the quota that is used, and the best usual call time.
    quota_part: RunLimit,
    best_time: f64,
    /// Permits that are always there; the call time that one more may use now, at most, and gains a ms.
    whole_permits: f64,
    credit: f64,
    max_credit: f64,
    credit_rate: f64,
    credited_at: f64,
}

impl Calls {
    fn new(settings: &Settings, now: f64, period: f64) -> Calls {
        let window = settings.call_quota_window;
        let whole_permits = (settings.call_quota * CALL_QUOTA_USED).floor();
        let extra = settings.call_quota - whole_permits;
        // At least what a call may linger, twice, and the rest as time passes: together the extra.
        let min_part = 2.0 * settings.call_linger / window.max(1.0);
        let max_credit = (extra * (1.0 - BORROWED_PART)).max(min_part).min(extra) * window;
        Calls {
            whole_permits,
            quota_part: RunLimit { value: 1.0, decreased_at: now, period },
            best_time: f64::INFINITY,
            credit: max_credit,
            max_credit,
            credit_rate: extra - max_credit / window.max(1.0),
            credited_at: now,
            ..Calls::default()
        }
    }

    /// Requests that wait for a permit or a retry.
    fn waiting(&self) -> f64 {
        (self.queue.len() + self.retries.len()) as f64
    }

    fn dequeue(&mut self, key: QueueKey) {
        self.queue.remove(&key);
        self.retries.remove(&key);
    }

    fn occupied_permits(&self) -> f64 {
        self.in_flight + self.lingering.len() as f64
    }

    /// What the quota leaves beyond whole permits is borrowed for that part of the time, never for longer.
    fn advance(&mut self, now: f64) {
        let borrowed = (self.occupied_permits() - self.whole_permits).max(0.0);
        let rate = self.credit_rate * self.quota_part.value - borrowed;
        self.credit = (self.credit + rate * (now - self.credited_at)).min(self.max_credit);
        self.credited_at = now;
        self.lingering.retain(|leaves_at| *leaves_at > now);
        // Retries that are due are back in the queue.
        let queue = &mut self.queue;
        self.retries.retain(|key, at| *at > now || !queue.insert(*key));
    }
}

impl Controller {
    fn call_needed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != Stage::Running || request.is_answered {
            return;
        }
        request.stage = Stage::AwaitingCall;
        request.off_cores_since = self.now;
        request.call_attempts = 0;
        self.running -= 1.0;
        self.calls.queue.insert(request.queue_key);
        self.record_progress();
    }

    /// How many calls may be in flight at once.
    fn permits(&self) -> f64 {
        match self.settings.downstream {
            Downstream::None => 0.0,
            // Exception to the design's cap of one call a core on a tier: a call outlasts the work it stands
            // for, so that cap idles both tiers. The concurrency that may come back bounds them instead.
            Downstream::Tier => self.max_concurrency(),
            Downstream::Shared => {
                // One more is borrowed while it can last for a long call and be paid back: a call abandoned
                // half way lingers, and costs far more of the quota than one that is finished.
                let usual = CALL_TIMEOUT_FACTOR * self.call_time.value + self.settings.call_linger;
                let has_credit = self.calls.credit >= usual.min(self.calls.max_credit);
                let may_borrow = has_credit && self.max_borrow_time() >= self.settings.batch_interval;
                let whole = (self.calls.whole_permits * self.calls.quota_part.value).ceil();
                if may_borrow && whole >= self.calls.whole_permits { whole + 1.0 } else { whole }
            }
        }
    }

    /// How long a call on a borrowed permit may last: it may linger after that, and its end is reported late.
    fn max_borrow_time(&self) -> f64 {
        self.calls.credit - self.settings.call_linger - 2.0 * self.settings.batch_interval
    }

    fn issue_calls(&mut self, out: &mut Vec<Action>) {
        let permits = self.permits();
        while let Some(&key) = self.calls.queue.first() {
            let (id, occupied) = (key.2, self.calls.occupied_permits());
            if occupied >= permits {
                break;
            }
            self.calls.queue.remove(&key);
            let mut deadline = self.call_deadline(id);
            if self.settings.downstream == Downstream::Shared && occupied >= self.calls.whole_permits {
                deadline = deadline.min(self.now + self.max_borrow_time());
            }
            let Some(request) = self.requests.get_mut(&id) else { continue };
            request.stage = Stage::Calling;
            request.call_attempts += 1;
            self.calls.in_flight += 1.0;
            out.push(Action::Call { id, deadline });
        }
        // A request that cannot get a permit in time goes on without its call, where that earns something.
        while let Some(&(_, _, id)) = self.calls.queue.last() {
            let Some(request) = self.requests.get(&id) else { break };
            let rounds = (self.calls.queue.len() as f64 / permits.max(1.0)).ceil();
            let wait = (PERMIT_WAIT_FACTOR * rounds + 1.0) * self.call_time.value;
            let is_in_time = self.now + wait + request.expected_run < request.objective_at;
            if is_in_time || !self.skip_call(id, out) {
                break;
            }
        }
    }

    /// An idempotent call is abandoned while there is time for a retry; any other has all the time.
    fn call_deadline(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(&id) else { return self.now };
        let last = request.deadline - self.response_margin();
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Always;
        if !is_idempotent || self.call_time.samples == 0 {
            return last;
        }
        let usual = CALL_TIMEOUT_FACTOR * self.call_time.value;
        let timeout = usual.max((request.objective_at - self.now) / 2.0);
        (self.now + timeout).min(last).max(self.now + self.settings.batch_interval)
    }

    fn call_ended(&mut self, id: RequestId, outcome: Outcome, duration: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.stage == Stage::Calling) else { return };
        request.stage = Stage::AwaitingCall;
        let (is_answered, class) = (request.is_answered, request.class);
        self.calls.in_flight -= 1.0;
        self.adapt_call_quota();
        if outcome == Outcome::Ok {
            self.call_time.add(duration, SMOOTHING);
            if self.call_time.samples > MIN_CALL_SAMPLES {
                self.calls.best_time = self.calls.best_time.min(self.call_time.value);
            }
            return self.resume_run(id);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost) {
            self.calls.lingering.push(self.now + self.settings.call_linger);
            // It would have taken longer: where only short calls succeed, the mean would know of those alone.
            if self.settings.downstream == Downstream::Shared {
                self.call_time.add(2.0 * duration, SMOOTHING);
            }
        }
        if is_answered {
            return;
        }
        // Rule 2. Only a call that never ran, or that may run twice, is retried.
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Always;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotStarted);
        let is_retried = (is_idempotent || never_ran) && self.schedule_call_retry(id);
        if !is_retried && !self.skip_call(id, out) {
            self.shed(id, false, out);
        }
    }

    /// Exception: a dependency slows down long before the quota is used up. While calls take far longer than
    /// they did, fewer are made. Could harm where call times vary that much by themselves.
    fn adapt_call_quota(&mut self) {
        let part = &mut self.calls.quota_part;
        if self.call_time.value > SLOW_CALL_FACTOR * self.calls.best_time {
            part.decrease(self.now, MIN_CALL_QUOTA);
        } else {
            part.value = (part.value + MIN_CALL_QUOTA / 2.0).min(1.0);
        }
    }

    /// Retries a call after a backoff, where there is an attempt left and time for it.
    fn schedule_call_retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let usual = self.call_time.value.max(self.settings.batch_interval);
        let backoff = usual * f64::from(1u32 << request.call_attempts.min(5)) / 2.0;
        let retry_at = self.now + backoff;
        let is_in_time = retry_at + self.call_time.value < request.deadline - self.response_margin();
        let may_retry = is_in_time && request.call_attempts < MAX_CALL_ATTEMPTS;
        if may_retry {
            self.calls.retries.insert(request.queue_key, retry_at);
        }
        may_retry
    }

    fn skip_call(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_degradable = self.settings.classes[request.class].degraded_weight > 0.0;
        if !is_degradable || request.stage != Stage::AwaitingCall {
            return false;
        }
        self.calls.dequeue(request.queue_key);
        self.resume_run(id);
        out.push(Action::SkipCall(id));
        true
    }

    /// A run is back on the cores after its call.
    fn resume_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Running;
        request.off_cores_time += self.now - request.off_cores_since;
        request.on_cores_since = self.now;
        self.running += 1.0;
    }

    // ---- Deadlines and memory ----

    /// Responses are given so long before their deadline: a tick, and room for a late timer.
    fn response_margin(&self) -> f64 {
        TICK + 2.0 * self.settings.batch_interval
    }

    /// Rule 1. Checks each request when its objective slips out of reach and before its deadline.
    fn check_deadlines(&mut self, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.deadlines.first() {
            if at > micros(self.now) {
                return;
            }
            self.deadlines.pop_first();
            let Some(request) = self.requests.get(&id).filter(|r| !r.is_answered) else { continue };
            let is_queued = request.stage == Stage::Queued;
            let last_check = request.deadline - self.response_margin();
            if self.now >= last_check {
                self.shed(id, false, out);
            } else if is_queued && self.is_hopeless(request, 0.0) {
                self.shed(id, true, out);
            } else {
                // Calls may be expected to take less than before, and the objective is in reach for longer.
                let start_by = (request.objective_at - self.expected_time(request)).max(self.now + TICK);
                let next = if is_queued { last_check.min(start_by) } else { last_check };
                self.deadlines.insert((micros(next), id));
            }
        }
    }

    fn memory_used(&self) -> f64 {
        let keys_kb = self.retained_keys.len() as f64 * self.settings.key_kb;
        self.queued_kb + self.running_kb * self.settings.run_memory_factor + keys_kb
    }

    /// Memory that may be used: the rest is for what the next batch brings, one read a core.
    fn memory_capacity(&self) -> f64 {
        self.settings.memory_kb - 2.0 * self.settings.cores * self.largest_kb
    }

    /// Rule 4. Queued requests of the lowest weight are rejected before memory runs out, and for runs that
    /// need it; else a full queue would keep the cores idle.
    fn reclaim_memory(&mut self, needed_kb: f64, keep: Option<RequestId>, out: &mut Vec<Action>) -> bool {
        while needed_kb > self.memory_capacity() - self.memory_used() {
            let queued = self.queue.last().map(|key| key.2).filter(|last| Some(*last) != keep);
            match queued.or_else(|| self.newest_awaiting_result().filter(|_| needed_kb == 0.0)) {
                Some(id) => self.shed(id, false, out),
                None => return false,
            }
        }
        true
    }

    /// The last read of those that wait for another's result: they take memory, and no run ends their wait.
    fn newest_awaiting_result(&self) -> Option<RequestId> {
        let awaits_result = |(_, request): &(&RequestId, &Request)| request.stage == Stage::AwaitingResult;
        self.requests.iter().rev().find(awaits_result).map(|(id, _)| *id)
    }

    // ---- Shutdown ----

    /// Whether the grace period of a shutdown is over, so that no new request is run.
    fn has_stopped_intake(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.now >= shutdown.intake_ends_at)
    }

    /// Rule 3. Everything read gets its response a margin before the process is killed. Callers are asked to
    /// go elsewhere once the grace period is over: until then the others would miss this server's part.
    fn begin_shutdown(&mut self, time_left: f64, out: &mut Vec<Action>) {
        let respond_by = self.now + time_left - self.response_margin() - self.settings.response_slack;
        // The time left may be over before the next tick.
        self.next_tick = self.now;
        self.shutdown = Some(Shutdown { intake_ends_at: self.now + self.settings.drain_grace, respond_by });
        out.push(Action::SetHealth { is_healthy: false, is_cached: true });
        let is_late = |(_, request): &(&RequestId, &Request)| request.deadline > respond_by;
        let late: Vec<RequestId> = self.requests.iter().filter(is_late).map(|(id, _)| *id).collect();
        for id in late {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            request.deadline = respond_by;
            request.objective_at = request.objective_at.min(respond_by);
            let (stage, key, expected_run) = (request.stage, request.queue_key, request.expected_run);
            self.deadlines.insert((micros(respond_by - self.response_margin()), id));
            if stage == Stage::Queued {
                self.dequeue(key, expected_run);
                self.enqueue(id);
            }
        }
    }
}

// ---- Connections ----

/// How long connections may be idle. They are closed at once where callers seldom come back, which frees
/// what a full table costs, and sooner while cores idle beside a table that may be full. Where rejecting
/// takes most of the cores they are kept while the cores are busy: a full table turns newcomers away for
/// nothing, each one accepted costs its connection, a read and a rejection. Guards against retries that live
/// on what they cost. Could harm where newcomers weigh much more than those that have a connection.
#[derive(Default)]
struct Connections {
    /// When each caller last came, for those that came within the window.
    last_seen: BTreeMap<u64, f64>,
    reuse_window: f64,
    evaluated_at: f64,
    started_at: f64,
    arrivals: f64,
    reuse_rate: Mean,
    /// Callers come back often enough.
    is_reused: bool,
    /// Part of what is runnable that is no run: reading, new connections, checks; and since the last sample.
    overhead: Mean,
    recent_overhead: Mean,
    /// Rejecting has taken most of the cores, and they have not been idle since.
    is_overhead_high: bool,
    idle_timeout: f64,
    /// The most connections that were seen open.
    max_open: f64,
}

impl Connections {
    fn new(reuse_window: f64, idle_timeout: f64, now: f64) -> Connections {
        let empty = Connections { evaluated_at: now, started_at: now, ..Connections::default() };
        Connections { reuse_window, idle_timeout, is_reused: true, ..empty }
    }

    fn record_arrival(&mut self, now: f64, caller: u64, caller_count: f64) {
        self.arrivals += 1.0;
        let reused = match self.last_seen.insert(caller, now) {
            Some(last) if now - last < self.reuse_window => 1.0,
            // A new caller may come back: as often as all do at the present rate.
            None if now - self.started_at < self.reuse_window => {
                let in_window = self.arrivals * self.reuse_window / (now - self.started_at).max(TICK);
                (in_window / caller_count.max(1.0)).min(1.0)
            }
            _ => 0.0,
        };
        self.reuse_rate.add(reused, SMOOTHING);
    }

    /// The idle timeout from now on, where it changes.
    fn sample(&mut self, now: f64, gauges: &Gauges, settings: &Settings) -> Option<f64> {
        if self.recent_overhead.samples > 0 {
            self.overhead.add(std::mem::take(&mut self.recent_overhead).value, SMOOTHING);
        }
        let utilization = gauges.core_utilization.unwrap_or(1.0);
        let open = gauges.connections.unwrap_or(0.0);
        self.max_open = self.max_open.max(open);
        self.is_overhead_high |= self.overhead.value > MAX_OVERHEAD;
        let is_new = now - self.started_at < self.reuse_window;
        let is_near_max = open >= self.max_open * FULL_TABLE_PART;
        let may_be_full = !is_new && is_near_max && open < settings.caller_count * FEW_CALLERS_PART;
        let has_arrivals = self.reuse_rate.samples >= MIN_ARRIVALS;
        let is_first = is_new && self.evaluated_at == self.started_at && has_arrivals;
        if is_first || now - self.evaluated_at >= self.reuse_window {
            self.evaluated_at = now;
            self.is_reused = self.reuse_rate.value >= MIN_REUSE * utilization;
            self.last_seen.retain(|_, last| now - *last < self.reuse_window);
        }
        let wanted = if self.is_overhead_high && utilization >= BUSY_UTILIZATION {
            self.idle_timeout * IDLE_TIMEOUT_INCREASE + TICK
        } else if self.is_overhead_high || (may_be_full && utilization < BUSY_UTILIZATION) {
            self.idle_timeout * IDLE_TIMEOUT_DECREASE
        } else if self.is_reused {
            settings.idle_timeout
        } else {
            TICK
        };
        let timeout = wanted.clamp(TICK, settings.idle_timeout.max(TICK));
        self.is_overhead_high &= timeout > TICK;
        (std::mem::replace(&mut self.idle_timeout, timeout) != timeout).then_some(timeout)
    }
}
