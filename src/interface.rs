//! The interface of the controller: settings, events and actions. Plain data without decisions.
//!
//! All times are in milliseconds on one monotonic clock, all sizes in kilobytes.

use crate::time::Millis;

/// Names one request for as long as the server lives.
pub type RequestId = u32;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times (settings: `safe`).
    Always,
    /// It has an idempotency key, and runs at most once here within its class's window (settings: `keyed`).
    ByKey,
    /// It has an effect, and nothing to recognize a duplicate by (settings: `unsafe`).
    Never,
}

/// What this server calls while it runs a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Downstream {
    /// Nothing.
    #[default]
    None,
    /// One dependency for the whole fleet.
    Shared,
    /// Servers of a further tier, behind a balancer of their own.
    Tier,
}

/// Whether running requests can be stopped, and what that does to their progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// A running request cannot be stopped.
    #[default]
    Unsupported,
    /// What was done is lost.
    DiscardsProgress,
    /// What was done is kept.
    KeepsProgress,
}

/// How callers interpret the feedback signal, the number that responses carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedbackSignal {
    /// Not at all.
    #[default]
    Unused,
    /// As the rank, 0 to 1, below which they send nothing.
    LowestRank,
    /// As the number of requests in flight for each caller.
    Credit,
    /// As the probability, 0 to 1, with which a caller considers this server.
    SendShare,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// A response within this time of the first attempt earns the full weight.
    pub latency_objective: Millis,
    /// The objective grows by this multiple of the request's estimated work.
    pub objective_per_work: f64,
    /// The client waits no longer than this, over all its attempts.
    pub timeout: Millis,
    /// The weight of a response in time.
    pub priority_weight: f64,
    /// The share of the weight that a late response still earns, 0 to 1.
    pub late_weight: f64,
    /// With idempotency keys only: how long after an arrival a duplicate may come.
    pub idempotency_window: Millis,
    /// Its requests may call downstream.
    pub makes_calls: bool,
    /// The share of the weight that a response without its call still earns, 0 to 1.
    pub degraded_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over the whole fleet; 0 for no quota.
    pub quota_per_s: f64,
}

/// The settings of one server.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The classes of requests; events name them by their index.
    pub classes: Vec<Class>,
    /// The tenants; events name them by their index.
    pub tenants: Vec<Tenant>,
    /// Factor on the weight of a request beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// Weights count for each unit of work rather than for each request.
    pub is_weight_per_work: bool,
    /// Servers of this tier, as listed at the start.
    pub server_count: f64,
    /// Callers of this tier, as listed at the start.
    pub caller_count: f64,
    /// 0 for the tier that clients reach, 1 for the next one downstream, and so on.
    pub tier: u32,
    /// Cores of the server.
    pub cores: f64,
    /// Memory of the server, in KB.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of one retained key, in KB.
    pub key_kb: f64,
    /// What requests call.
    pub downstream: Downstream,
    /// Mean number of calls in flight that the shared dependency allows this server.
    pub call_quota: f64,
    /// Time over which that mean is taken.
    pub call_quota_window: Millis,
    /// How long an abandoned call may stay in the dependency.
    pub call_linger: Millis,
    /// How long the result of an idempotent request may answer others; 0 for never.
    pub result_cache_ttl: Millis,
    /// Whether running requests can be stopped, and at what loss.
    pub preemption: Preemption,
    /// How callers interpret the feedback signal, the number that responses carry.
    pub feedback_signal: FeedbackSignal,
    /// How long callers remember the feedback signal; 0 where that is unknown.
    pub signal_ttl: Millis,
    /// Callers close connections that are idle for this.
    pub idle_timeout: Millis,
    /// Weight lost for each new connection per first attempt.
    pub handshake_price: f64,
    /// Requests state how long their caller will wait.
    pub has_caller_deadlines: bool,
    /// A caller that gives up cancels its request; elsewhere only a lost connection shows it.
    pub has_cancellations: bool,
    /// The server was started into a running fleet, with cold caches.
    pub is_slow_start: bool,
    /// The share of its full speed with which a server starts, 0 to 1.
    pub slow_start_share: f64,
    /// How long it takes to reach its full speed.
    pub slow_start_duration: Millis,
    /// A response may come so long after its deadline.
    pub response_slack: Millis,
    /// What arrives later than this after the shutdown was requested is not run.
    pub drain_grace: Millis,
    /// Runnable requests for each core that a warm server survives, in the mean of `concurrency_window`.
    pub core_concurrency: f64,
    /// Time over which that mean is taken.
    pub concurrency_window: Millis,
    /// The longest retry-after that callers honor; 0 where none is passed on.
    pub max_retry_after: Millis,
    /// Minimum time between two batches.
    pub batch_interval: Millis,
}

/// The settings that may change while serving. Classes and tenants keep their indices; tenants may be added.
#[derive(Clone, Debug)]
pub struct ReloadableSettings {
    /// All classes.
    pub classes: Vec<Class>,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// The grace period of a shutdown.
    pub drain_grace: Millis,
}

/// A request as it was read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its name from now on.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// How long its caller will wait, where callers state that.
    pub remaining_wait: Millis,
    /// Estimated work on one core, where there is an estimate.
    pub estimated_work: Option<Millis>,
    /// Memory that it takes while it is queued, in KB.
    pub memory_kb: f64,
    /// From 0 to 1: its place by weight among all requests.
    pub rank: f64,
    /// A marked retry, or a hedged request.
    pub is_retry: bool,
    /// Who sent it.
    pub caller: u64,
    /// Time since it reached the machine.
    pub age: Millis,
    /// How long its caller had waited before it reached the machine, where that is known; else 0. It counts
    /// against the latency objective and the timeout, and not as this server's delay.
    pub upstream_time: Millis,
    /// The retained request that it repeats.
    pub original: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
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
    /// The used share of the memory, 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// The server's load as the controller sees it, for reports; nothing is decided by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The share of their usual traffic that callers are asked to send, 0 to 1.
    pub share: f64,
    /// Mean queueing time over its setpoint, at the last sample.
    pub hold_time_ratio: f64,
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
    /// The caller has given up; no response is due.
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
        outcome: Outcome,
        /// How long it took.
        duration: Millis,
    },
    /// A run has ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
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
