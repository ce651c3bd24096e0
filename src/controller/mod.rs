//! The controller of one server, which makes every decision of loomflow. It receives events, returns actions
//! and does no I/O.
//!
//! Four rules take precedence over all others; comments refer to them by number:
//! 1. Each request gets one final response in time (`deadlines`).
//! 2. No effect takes place twice (`key_retention`, `call_retry`).
//! 3. A shutdown loses no request (`shutdown`).
//! 4. Neither the server nor its dependencies are overloaded (`concurrency_limit`, `memory`,
//!    `call_permits`).
//!
//! Each rule is a type or function in a module of its own and does not depend on the other rules. This
//! module, `arrivals`, `runs`, `calls` and `responses` connect them: they supply the inputs and apply the
//! results. Times are in milliseconds.

mod aimd;
mod arrivals;
mod call_permits;
mod call_queue;
mod call_retry;
mod calls;
mod concurrency_limit;
mod deadlines;
mod idle_timeout;
mod jitter;
mod key_retention;
mod load_shedding;
mod memory;
mod objective;
mod queue;
mod request;
mod responses;
mod run_estimates;
mod runs;
mod send_share;
mod shutdown;
mod slow_start;
mod stall_detector;
mod tenant_quota;

use self::call_permits::CallPermits;
use self::call_queue::CallQueue;
use self::concurrency_limit::ConcurrencyLimit;
use self::deadlines::Deadlines;
use self::idle_timeout::IdleTimeout;
use self::jitter::Jitter;
use self::memory::MemoryAccount;
use self::objective::EffectiveObjective;
use self::queue::RequestQueue;
use self::request::ActiveRequests;
use self::run_estimates::RunEstimates;
use self::send_share::SendShare;
use self::shutdown::Shutdown;
use self::slow_start::SlowStart;
use self::stall_detector::StallDetector;
use self::tenant_quota::TenantQuotas;
use crate::interface::{Action, Event, Gauges, Load, ReloadableSettings, Settings};
use crate::retained_keys::RetainedKeys;
use crate::time::{Millis, micros};

/// Interval of the timer that checks deadlines and samples the send share.
const TICK_MS: Millis = 50.0;
/// Weight of the newest sample in smoothed means.
const SMOOTHING_WEIGHT: f64 = 0.15;
/// Estimates from fewer samples than this are not used.
const MIN_SAMPLES: u32 = 6;

/// The controller of one server.
pub struct Controller {
    settings: Settings,
    now: Millis,
    next_tick: Millis,
    gauges: Gauges,
    requests: ActiveRequests,
    queue: RequestQueue,
    deadlines: Deadlines,
    share: SendShare,
    slow_start: SlowStart,
    limit: ConcurrencyLimit,
    call_permits: CallPermits,
    call_queue: CallQueue,
    run_estimates: RunEstimates,
    objective: EffectiveObjective,
    quotas: TenantQuotas,
    memory: MemoryAccount,
    retained_keys: RetainedKeys,
    stall_detector: StallDetector,
    idle_timeout: IdleTimeout,
    jitter: Jitter,
    shutdown: Shutdown,
}

impl Controller {
    /// Creates a controller that starts at `now`. Instances with different seeds spread their Retry-After
    /// differently.
    pub fn new(mut settings: Settings, seed: u64, now: Millis) -> Controller {
        let shortest_objective = objective::scale_to_tier(&mut settings);
        let period = send_share::sample_period(&settings);
        Controller {
            now,
            next_tick: Millis::NEG_INFINITY,
            gauges: Gauges::default(),
            requests: ActiveRequests::default(),
            queue: RequestQueue::default(),
            deadlines: Deadlines::new(settings.batch_interval),
            share: SendShare::new(shortest_objective, period, now),
            slow_start: SlowStart::new(&settings, now),
            limit: ConcurrencyLimit::new(&settings, period, now),
            call_permits: CallPermits::new(&settings, period, now),
            call_queue: CallQueue::default(),
            run_estimates: RunEstimates::new(settings.classes.len()),
            objective: EffectiveObjective::default(),
            quotas: TenantQuotas::new(settings.tenants.len(), now),
            memory: MemoryAccount::new(&settings),
            retained_keys: RetainedKeys::default(),
            stall_detector: StallDetector::new(now),
            idle_timeout: IdleTimeout::new(shortest_objective, &settings, now),
            jitter: Jitter::new(seed),
            shutdown: Shutdown::not_requested(),
            settings,
        }
    }

    /// Handles one event of a batch. Only decisions that cannot wait for the end of the batch are made here.
    pub fn event(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::RequestArrived(arrival) => self.request_arrived(&arrival, out),
            Event::RequestCancelled(id) => self.request_cancelled(id, out),
            Event::TimerFired(gauges) => self.gauges_received(gauges),
            Event::CallNeeded(id) => self.call_needed(id),
            Event::CallEnded { id, outcome, duration } => self.call_ended(id, outcome, duration, out),
            Event::RunEnded { id, outcome, duration } => self.run_ended(id, outcome, duration),
            Event::SettingsChanged(settings) => self.apply_settings(*settings),
            Event::ShutdownRequested { time_left } => self.begin_shutdown(time_left, out),
        }
    }

    /// Ends a batch: sends the responses that are due, then issues calls and starts runs.
    pub fn decide(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.advance(now);
        if self.next_tick == Millis::NEG_INFINITY {
            self.announce_initial_state(out);
        }
        if now >= self.next_tick {
            self.tick(out);
        }
        self.check_stall(out);
        self.shed_queue_tail(out);
        self.issue_calls(out);
        self.start_runs(out);
        self.reclaim_memory(0.0, None, out);
    }

    /// The load of the server as the controller measures it.
    pub fn load(&self) -> Load {
        Load {
            share: self.share.sent(),
            queue_time_ratio: self.share.queue_time_ratio(),
            limit: self.run_limit(),
            running: self.requests.running(),
        }
    }

    fn advance(&mut self, now: Millis) {
        self.now = now;
        self.call_permits.advance(now);
        self.call_queue.advance(now);
    }

    fn announce_initial_state(&mut self, out: &mut Vec<Action>) {
        // A cached result keeps health checks cheap; any response shows that the process is alive.
        out.push(Action::SetHealth { is_healthy: true, is_cached: true });
        // In slow start the first response must carry the signal: until then callers assume a share of 1.
        self.announce_share(out);
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.next_tick = self.now + TICK_MS;
        out.push(Action::SetTimer(self.next_tick));
        self.check_deadlines(out);
        self.retained_keys.expire(micros(self.now - self.settings.batch_interval));
        if self.share.is_sample_due(self.now) {
            self.sample(out);
        }
    }

    fn sample(&mut self, out: &mut Vec<Action>) {
        // A stall is not overload: the share keeps its value until the cores make progress again.
        if self.stall_detector.is_stalled() {
            self.share.skip_sample(self.now);
        } else {
            let oldest_queue_time = self.oldest_queue_time();
            self.share.sample(self.now, oldest_queue_time);
        }
        if let Some(timeout) = self.idle_timeout.sample(self.now, &self.gauges) {
            out.push(Action::SetIdleTimeout(timeout));
        }
        if self.share.is_reading_late() {
            self.limit.decrease_for_late_reading(self.now);
        }
        self.announce_share(out);
    }

    fn oldest_queue_time(&self) -> Millis {
        let queued = self.queue.ids().filter_map(|id| self.requests.get(id));
        queued.fold(0.0, |oldest: Millis, request| oldest.max(self.now - request.arrived_at))
    }

    fn announce_share(&mut self, out: &mut Vec<Action>) {
        let speed = self.slow_start.speed(self.now);
        let has_stopped_intake = self.shutdown.has_stopped_intake(self.now);
        let share = self.share.requested(speed, self.stall_detector.is_stalled(), has_stopped_intake);
        if self.share.update_sent(share) {
            out.extend(send_share::feedback_signal(share, &self.settings).map(Action::SetSignal));
        }
    }

    fn gauges_received(&mut self, gauges: Gauges) {
        self.gauges = gauges;
        if let Some(runnable) = gauges.runnable {
            self.idle_timeout.record_overhead(runnable, self.requests.running(), self.settings.cores);
        }
    }

    /// Applies reloaded settings; ignores them if the number of classes differs. Requests that are tracked
    /// already keep their deadlines, and queued ones their position.
    fn apply_settings(&mut self, new: ReloadableSettings) {
        if new.classes.len() != self.settings.classes.len() {
            return;
        }
        self.quotas.resize(new.tenants.len(), self.now);
        self.settings.classes = new.classes;
        self.settings.tenants = new.tenants;
        self.settings.drain_grace = new.drain_grace;
        let shortest_objective = objective::scale_to_tier(&mut self.settings);
        self.share.set_shortest_objective(shortest_objective);
        self.idle_timeout.set_shortest_objective(shortest_objective);
    }
}
