//! The interface of the controller: settings, events and actions. Plain data without decisions.
//!
//! All times are in milliseconds on one monotonic clock, all sizes in kilobytes.

mod settings;

pub use self::settings::{
    Class, Downstream, FeedbackSignal, Idempotency, Preemption, ReloadableSettings, Settings, Tenant,
};
use crate::time::Millis;

/// Identifies a request while the controller tracks it or retains its key.
pub type RequestId = u32;

/// Properties of a request, as read by the host, on which the controller bases its decisions.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes {
    /// Index of the request's class in [`Settings::classes`].
    pub class: usize,
    /// Index of the request's tenant in [`Settings::tenants`].
    pub tenant: usize,
    /// How long the caller will still wait; 0 if unknown. Used only where callers state it
    /// ([`Settings::has_caller_deadlines`]).
    pub remaining_wait: Millis,
    /// Estimated work on one core, if there is an estimate.
    pub estimated_work: Option<Millis>,
    /// Memory that the request occupies while it is queued, in KB.
    pub memory_kb: f64,
    /// Position of the request by weight among all requests, 0 to 1. No decision depends on it.
    pub rank: f64,
    /// Whether the request is marked as a retry or is a hedged request.
    pub is_retry: bool,
    /// Identifies the caller that sent the request.
    pub caller: u64,
    /// Time since the request reached the machine.
    pub age: Millis,
    /// How long the caller had waited before the request reached the machine; 0 if unknown. Counts against
    /// the latency objective and the timeout, but not as delay of this server.
    pub upstream_time: Millis,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// Properties that decisions about the request depend on.
    pub attributes: RequestAttributes,
    /// The earlier request that this one duplicates, if its key is still retained.
    pub original: Option<RequestId>,
}

/// How an attempt ended: the run of a request, or one attempt of its downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt succeeded.
    Ok,
    /// The attempt failed; its effect may have taken place.
    Error,
    /// The attempt was rejected before it ran.
    Rejected,
    /// The attempt was abandoned; it may have run.
    TimedOut,
    /// The peer could not be reached; the attempt never ran.
    Unreachable,
    /// The connection was lost; the attempt may have run.
    ConnectionLost,
    /// The attempt was stopped, or ended because no caller waits for it.
    Cancelled,
    /// The request ended before the attempt was started.
    NotStarted,
}

/// Measurements of the server, taken when a timer fires; `None` where the site does not measure the value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores, 0 to 1.
    pub core_utilization: Option<f64>,
    /// Number of tasks that run on a core or wait for one: runs, and also reads, new connections and health
    /// checks.
    pub runnable: Option<f64>,
    /// Utilization of the memory, 0 to 1. No decision depends on it.
    pub memory_utilization: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// The load of the server as the controller measures it. For reports only; no decision depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of their usual traffic that callers are asked to send, 0 to 1.
    pub share: f64,
    /// Mean queueing time, or mean read delay if that is longer, divided by the setpoint of the queueing
    /// time, at the last sample of the send share.
    pub queue_time_ratio: f64,
    /// Limit on concurrent runs.
    pub limit: f64,
    /// Number of runs on the cores; runs that wait for a call are not counted.
    pub running: f64,
}

/// An event that the host reports to the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read; it counts as queued from now on.
    RequestArrived(Arrival),
    /// No response is due any more: the caller gave up, or the host has responded itself.
    RequestCancelled(RequestId),
    /// A timer that [`Action::SetTimer`] set fired; carries the measurements at that time.
    TimerFired(Gauges),
    /// A run has reached its downstream call and waits for it.
    CallNeeded(RequestId),
    /// A downstream call has ended.
    CallEnded {
        /// The request whose run made the call.
        id: RequestId,
        /// How the call ended.
        outcome: AttemptOutcome,
        /// How long the call took.
        duration: Millis,
    },
    /// A run has ended, or a duplicate has stopped waiting for the result of its original.
    RunEnded {
        /// The request that ran or waited.
        id: RequestId,
        /// How the run or the wait ended.
        outcome: AttemptOutcome,
        /// How long the run took, including its calls.
        duration: Millis,
    },
    /// New settings apply from now on; requests that the controller tracks keep their deadlines.
    SettingsChanged(Box<ReloadableSettings>),
    /// A shutdown was requested.
    ShutdownRequested {
        /// Time until the process is killed.
        time_left: Millis,
    },
}

/// A decision of the controller that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the run of a request.
    Run(RequestId),
    /// Respond with the result of the request that this one duplicates.
    ReuseResult(RequestId),
    /// Send the final response that load is shed: the request never ran, or is idempotent.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Time after which the caller may try again.
        retry_after: Millis,
        /// Whether the caller should not try another server.
        is_final: bool,
    },
    /// Send the final response that the request failed.
    Fail(RequestId),
    /// Stop the run of a request.
    Preempt(RequestId),
    /// Make the downstream call that a run waits for.
    Call {
        /// The request whose run makes the call.
        id: RequestId,
        /// Time at which the call is abandoned.
        deadline: Millis,
    },
    /// Continue a run without its call.
    SkipCall(RequestId),
    /// Retain the key of a request, so that later duplicates are recognized.
    RetainKey {
        /// The request whose key is retained.
        id: RequestId,
        /// How long the key is retained.
        ttl: Millis,
    },
    /// Release the key of a request that never ran.
    ReleaseKey(RequestId),
    /// Set the result that health checks report.
    SetHealth {
        /// Whether health checks report the server as healthy.
        is_healthy: bool,
        /// Whether health checks get this result from a cache, without any work.
        is_cached: bool,
    },
    /// Set the feedback signal that responses carry.
    SetSignal(f64),
    /// Set how long connections may be idle before they are closed.
    SetIdleTimeout(Millis),
    /// Fire a timer at this time.
    SetTimer(Millis),
}
