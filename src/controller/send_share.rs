//! Send share: a PID controller on the queueing time sets the share of their usual traffic that callers are
//! asked to send.
//!
//! Inputs: queueing time of finished runs, read delay of arrivals (ms), setpoint (ms, a fraction of the
//! shortest latency objective). Output: a share from `MIN_SHARE` to 1. While the queueing time is below the
//! setpoint, the share rises to 1. A share below `OVERLOAD_SHARE` counts as overload.

use crate::estimate::IntervalMean;
use crate::interface::{FeedbackSignal, Settings};
use crate::time::{MILLIS_PER_SECOND, Millis};

/// Sample period as a fraction of the time for which callers remember the signal.
const SAMPLE_PERIOD_FRACTION: f64 = 0.25;
/// Time for which callers remember the signal, if the settings do not state it.
const DEFAULT_SIGNAL_TTL_MS: Millis = 1000.0;
/// Setpoint of the queueing time as a fraction of the shortest latency objective.
const SETPOINT_FRACTION: f64 = 0.15;
/// Gains of the PID controller; the error is relative to the setpoint.
const KP: f64 = 0.1;
const KI_PER_S: f64 = 0.12;
const KD_S: f64 = 0.05;
/// Smallest share that callers are asked for before the intake stops. Some traffic is needed, because callers
/// notice a recovery only from responses.
const MIN_SHARE: f64 = 0.05;
/// Largest change of the share between two samples.
const MAX_SHARE_STEP: f64 = 0.2;
/// Smallest change of the share that is sent to callers; a recovery to 1 is always sent.
const MIN_SENT_SHARE_CHANGE: f64 = 0.01;
/// A share below this counts as overload.
const OVERLOAD_SHARE: f64 = 0.9;
/// Reading is late if the newest request was unread for longer than this multiple of the setpoint.
const LATE_READ_FACTOR: f64 = 1.5;

/// Time between two samples of the send share. The concurrency limit and the usable call permits decrease at
/// most once per period.
pub(super) fn sample_period(settings: &Settings) -> Millis {
    let signal_ttl = if settings.signal_ttl > 0.0 { settings.signal_ttl } else { DEFAULT_SIGNAL_TTL_MS };
    signal_ttl * SAMPLE_PERIOD_FRACTION
}

/// Controls the share of their usual traffic that callers are asked to send.
pub(super) struct SendShare {
    setpoint: Millis,
    period: Millis,
    sampled_at: Millis,
    /// Queueing times of the runs that finished since the last sample.
    queue_times: IntervalMean,
    /// Read delays of the requests that were read since the last sample.
    read_delays: IntervalMean,
    /// Read delay of the newest arrival.
    read_delay: Millis,
    /// Integral of the error, in seconds.
    integral_s: f64,
    /// Error at the last sample: the setpoint less the queueing time, divided by the setpoint.
    error: f64,
    /// Output of the PID controller.
    value: f64,
    /// Share that callers were last asked for.
    sent: f64,
    /// Whether the last sample moved the share across [`OVERLOAD_SHARE`], in either direction.
    has_crossed: bool,
}

impl SendShare {
    pub(super) fn new(shortest_objective: Millis, period: Millis, now: Millis) -> SendShare {
        SendShare {
            setpoint: shortest_objective * SETPOINT_FRACTION,
            period,
            sampled_at: now,
            queue_times: IntervalMean::default(),
            read_delays: IntervalMean::default(),
            read_delay: 0.0,
            integral_s: 0.0,
            error: 0.0,
            value: 1.0,
            sent: 1.0,
            has_crossed: false,
        }
    }

    pub(super) fn set_shortest_objective(&mut self, shortest_objective: Millis) {
        self.setpoint = shortest_objective * SETPOINT_FRACTION;
    }

    pub(super) fn setpoint(&self) -> Millis {
        self.setpoint
    }

    /// Queueing time divided by its setpoint, at the last sample.
    pub(super) fn queue_time_ratio(&self) -> f64 {
        (1.0 - self.error).max(0.0)
    }

    /// The share that callers were last asked for.
    pub(super) fn sent(&self) -> f64 {
        self.sent
    }

    pub(super) fn is_overloaded(&self) -> bool {
        self.value < OVERLOAD_SHARE
    }

    /// Records how long an arriving request was unread after it had reached the machine, ms.
    pub(super) fn record_read_delay(&mut self, read_delay: Millis) {
        self.read_delays.add(read_delay);
        self.read_delay = read_delay;
    }

    /// Records how long a finished run was queued. A failed run counts as queued for its whole objective,
    /// since failures empty the queue as fast as successes do.
    pub(super) fn record_run(&mut self, has_succeeded: bool, queue_time: Millis, objective: Millis) {
        self.queue_times.add(if has_succeeded { queue_time } else { objective });
    }

    pub(super) fn read_delay(&self) -> Millis {
        self.read_delay
    }

    /// The longest read delay that does not count as late.
    pub(super) fn max_read_delay(&self) -> Millis {
        self.setpoint * LATE_READ_FACTOR
    }

    pub(super) fn is_reading_late(&self) -> bool {
        self.read_delay > self.max_read_delay()
    }

    pub(super) fn is_sample_due(&self, now: Millis) -> bool {
        now - self.sampled_at >= self.period
    }

    /// Starts the next sample period without taking a sample.
    pub(super) fn skip_sample(&mut self, now: Millis) {
        self.sampled_at = now;
    }

    /// Updates the share. Without a finished run, the queueing time is `oldest_queue_time`. A longer read
    /// delay replaces the queueing time, since a server that is too slow to read has an empty queue.
    pub(super) fn sample(&mut self, now: Millis, oldest_queue_time: Millis) {
        let dt_s = (now - self.sampled_at) / MILLIS_PER_SECOND;
        let queue_time = self.queue_times.take().unwrap_or(oldest_queue_time);
        let queue_time = queue_time.max(self.read_delays.take().unwrap_or(0.0));
        let error = (self.setpoint - queue_time) / self.setpoint;
        let was_overloaded = self.is_overloaded();
        self.value = self.pid_output(error, dt_s);
        self.has_crossed = self.is_overloaded() != was_overloaded;
        self.error = error;
        self.sampled_at = now;
    }

    fn pid_output(&mut self, error: f64, dt_s: f64) -> f64 {
        // Crossing the overload threshold reorders the queue, which makes the queueing time jump: the
        // derivative is left out.
        let slope_per_s = if self.has_crossed { 0.0 } else { (error - self.error) / dt_s };
        let without_integral = 1.0 + KP * error + KD_S * slope_per_s;
        self.integrate(error * dt_s, without_integral);
        let (min, max) = (self.value - MAX_SHARE_STEP, self.value + MAX_SHARE_STEP);
        (without_integral + KI_PER_S * self.integral_s).clamp(min, max).clamp(MIN_SHARE, 1.0)
    }

    /// Anti-windup: the integral does not move beyond the point where the output reaches a bound of the
    /// share.
    fn integrate(&mut self, increment_s: f64, without_integral: f64) {
        let low = (MIN_SHARE - without_integral) / KI_PER_S;
        let high = (1.0 - without_integral) / KI_PER_S;
        let integral_s = self.integral_s + increment_s;
        self.integral_s = integral_s.clamp(low.min(self.integral_s), high.max(self.integral_s));
    }

    /// The share to ask callers for: at most the speed of a server in slow start, the minimum while the cores
    /// are stalled, and 0 once the intake has stopped.
    pub(super) fn requested(&self, speed: f64, is_stalled: bool, has_stopped_intake: bool) -> f64 {
        let share = if is_stalled { 0.0 } else { self.value.min(speed) };
        if has_stopped_intake { 0.0 } else { share.max(MIN_SHARE) }
    }

    /// Records `share` as sent if it differs enough from the last share that was sent; returns whether it
    /// does.
    pub(super) fn update_sent(&mut self, share: f64) -> bool {
        let is_recovery = share == 1.0 && self.sent != 1.0;
        let is_changed = is_recovery || (share - self.sent).abs() >= MIN_SENT_SHARE_CHANGE;
        if is_changed {
            self.sent = share;
        }
        is_changed
    }
}

/// The feedback signal for a share, in the form that callers interpret; `None` if they ignore it.
pub(super) fn feedback_signal(share: f64, settings: &Settings) -> Option<f64> {
    let credit = settings.cores * settings.core_concurrency / settings.caller_count.max(1.0);
    match settings.feedback_signal {
        FeedbackSignal::Unused => None,
        FeedbackSignal::SendShare => Some(share),
        FeedbackSignal::LowestRank => Some(1.0 - share),
        FeedbackSignal::Credit => Some(share * credit),
    }
}

#[cfg(test)]
mod tests;
