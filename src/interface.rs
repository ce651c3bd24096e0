//! The interface of the controller: settings, events and actions. Plain data without decisions.
//!
//! All times are in milliseconds on one monotonic clock, all sizes in kilobytes.

mod settings;

pub use self::settings::{
    Class, Downstream, FeedbackSignal, Idempotency, Preemption, ReloadableSettings, Settings, Tenant,
};
use crate::time::Millis;

/// Names one request while it is known to the controller or its key is retained.
pub type RequestId = u32;

/// What a request is judged by, as it was read.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// How long its caller will wait; 0 where that is not known. Counts only where callers state it
    /// (`Settings::has_caller_deadlines`).
    pub remaining_wait: Millis,
    /// Estimated work on one core, where there is an estimate.
    pub estimated_work: Option<Millis>,
    /// Memory that it takes while it is queued, in KB.
    pub memory_kb: f64,
    /// From 0 to 1: its place by weight among all requests. No decision depends on it.
    pub rank: f64,
    /// A marked retry, or a hedged request.
    pub is_retry: bool,
    /// Who sent it.
    pub caller: u64,
    /// Time since it reached the machine.
    pub age: Millis,
    /// How long its caller had waited before it reached the machine, where that is known; else 0. It
    /// counts against the latency objective and the timeout, and not as this server's delay.
    pub upstream_time: Millis,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its name from now on.
    pub id: RequestId,
    /// What it is judged by.
    pub attributes: RequestAttributes,
    /// The retained request that it repeats.
    pub original: Option<RequestId>,
}

/// How an attempt ended: a run of a request, or one attempt of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It succeeded.
    Ok,
    /// It failed, perhaps after taking effect.
    Error,
    /// It was rejected unseen: it never ran.
    Rejected,
    /// It was abandoned: it may have run.
    TimedOut,
    /// The peer could not be reached: it never ran.
    Unreachable,
    /// The connection was lost: it may have run.
    ConnectionLost,
    /// It was stopped, or ended because nobody waits.
    Cancelled,
    /// The request was over before anything was started.
    NotStarted,
}

/// Measured on the server when a timer fires; absent where the site does not measure it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The busy share of the cores in the recent past, 0 to 1.
    pub core_utilization: Option<f64>,
    /// Everything that runs on or waits for a core.
    pub runnable: Option<f64>,
    /// The used share of the memory, 0 to 1. No decision depends on it.
    pub memory_utilization: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// The server's load as the controller sees it, for reports; nothing is decided by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The share of their usual traffic that callers are asked to send, 0 to 1.
    pub share: f64,
    /// Mean queueing time, or mean read delay where that is longer, over its setpoint, at the last sample.
    pub queue_time_ratio: f64,
    /// The limit on concurrent runs.
    pub limit: f64,
    /// Concurrent runs.
    pub running: f64,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read; it is queued from now on.
    RequestArrived(Arrival),
    /// No response is due any more: the caller has given up, or the server has given the response itself.
    RequestCancelled(RequestId),
    /// A timer fired, with what was measured then.
    TimerFired(Gauges),
    /// A run waits for its call.
    CallNeeded(RequestId),
    /// A call has ended.
    CallEnded {
        /// The request that called.
        id: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        duration: Millis,
    },
    /// A run has ended, or the wait of a duplicate for the result of its original.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took, with its calls.
        duration: Millis,
    },
    /// New settings count from now on; known requests keep their deadlines.
    SettingsChanged(Box<ReloadableSettings>),
    /// The process is killed after this time.
    ShutdownRequested {
        /// The time left.
        time_left: Millis,
    },
}

/// Something that the controller has decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a request.
    Run(RequestId),
    /// Respond with the result of the request that this one repeats.
    ReuseResult(RequestId),
    /// Final response: load is shed, the request never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// After how long its caller may try again.
        retry_after: Millis,
        /// Whether its caller is to try no other server.
        is_final: bool,
    },
    /// Final response: failed.
    Fail(RequestId),
    /// Stop a run.
    Preempt(RequestId),
    /// Make the call that a run waits for.
    Call {
        /// The request.
        id: RequestId,
        /// When the call is abandoned.
        deadline: Millis,
    },
    /// Continue a run without its call.
    SkipCall(RequestId),
    /// Retain a request's key.
    RetainKey {
        /// The request.
        id: RequestId,
        /// For how long.
        ttl: Millis,
    },
    /// Release a request's key: it never ran.
    ReleaseKey(RequestId),
    /// The result of health checks from now on.
    SetHealth {
        /// Whether the server is healthy.
        is_healthy: bool,
        /// Whether health checks get that result without any work.
        is_cached: bool,
    },
    /// The feedback signal that responses carry from now on.
    SetSignal(f64),
    /// How long connections may be idle from now on.
    SetIdleTimeout(Millis),
    /// Fire a timer at this time.
    SetTimer(Millis),
}
