//! The settings of one server: request classes, tenants, capacity, and the properties of its callers and
//! dependencies.

use crate::time::Millis;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times (settings: `safe`).
    Always,
    /// The request has an idempotency key and runs at most once on this server within the window of its
    /// class (settings: `keyed`).
    ByKey,
    /// The request has an effect and no key that identifies duplicates (settings: `unsafe`).
    Never,
}

/// The kind of dependency that the runs of this server call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Downstream {
    /// Runs make no downstream calls.
    #[default]
    None,
    /// One dependency, shared by the whole fleet.
    Shared,
    /// The servers of the next tier, behind a load balancer of their own.
    Tier,
}

/// Whether a run can be stopped, and whether its progress is then kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Runs cannot be stopped once they have started.
    #[default]
    Unsupported,
    /// The progress of a stopped run is lost. No decision distinguishes this from `KeepsProgress`.
    DiscardsProgress,
    /// The progress of a stopped run is kept.
    KeepsProgress,
}

/// How callers interpret the feedback signal, the number that responses carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedbackSignal {
    /// Callers ignore the signal.
    #[default]
    Unused,
    /// Callers send only requests of at least this rank, 0 to 1.
    LowestRank,
    /// Each caller keeps at most this many requests in flight.
    Credit,
    /// A caller considers this server with this probability, 0 to 1.
    SendShare,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// A response within this time of the first attempt earns the full weight.
    pub latency_objective: Millis,
    /// The latency objective grows by this multiple of the request's estimated work.
    pub objective_per_work: f64,
    /// How long the client waits at most, over all its attempts.
    pub timeout: Millis,
    /// Weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Share of the weight that a late response still earns, 0 to 1. No decision depends on it.
    pub late_weight: f64,
    /// How long after the arrival of a request a duplicate may arrive. Only for [`Idempotency::ByKey`].
    pub idempotency_window: Millis,
    /// Whether requests of the class may make downstream calls. No decision depends on it.
    pub makes_calls: bool,
    /// Share of the weight that a response without its downstream call still earns, 0 to 1. At 0 the call
    /// is never skipped.
    pub degraded_weight: f64,
}

/// A tenant, the unit that a quota applies to.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over the whole fleet; 0 for no quota.
    pub quota_per_s: f64,
}

/// The settings of one server.
#[derive(Clone, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact")]
pub struct Settings {
    /// Classes of requests; events refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Factor on the weight of a request over its tenant's quota.
    pub over_quota_weight: f64,
    /// Whether weights are per unit of work instead of per request.
    pub is_weight_per_work: bool,
    /// Number of servers in this tier, as listed when this server was started.
    pub server_count: f64,
    /// Number of callers of this tier, as listed when this server was started.
    pub caller_count: f64,
    /// 0 for the tier that clients reach, 1 for the next one downstream, and so on.
    pub tier: u32,
    /// Number of cores of the server.
    pub cores: f64,
    /// Memory of the server, in KB.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of its memory while queued.
    pub run_memory_factor: f64,
    /// Memory of one retained key, in KB.
    pub key_kb: f64,
    /// The kind of dependency that the runs of this server call.
    pub downstream: Downstream,
    /// Mean number of calls in flight that the shared dependency allows this server.
    pub call_quota: f64,
    /// Time over which the mean of `call_quota` is taken.
    pub call_quota_window: Millis,
    /// How long an abandoned call may stay in the dependency.
    pub call_linger: Millis,
    /// How long the result of an idempotent request may be reused for duplicates; 0 for never.
    pub result_cache_ttl: Millis,
    /// Whether a run can be stopped, and whether its progress is then kept.
    pub preemption: Preemption,
    /// How callers interpret the feedback signal, the number that responses carry.
    pub feedback_signal: FeedbackSignal,
    /// How long callers remember the feedback signal; 0 if unknown.
    pub signal_ttl: Millis,
    /// Callers close connections that have been idle for this long.
    pub idle_timeout: Millis,
    /// Weight lost for each new connection per first attempt. No decision depends on it.
    pub handshake_price: f64,
    /// Whether requests state how long their caller will wait.
    pub has_caller_deadlines: bool,
    /// Whether a caller that gives up cancels its request; otherwise only a lost connection shows that it has
    /// given up.
    pub has_cancellations: bool,
    /// Whether the server joined a running fleet with cold caches.
    pub is_slow_start: bool,
    /// Share of its full speed at which a server in slow start begins, 0 to 1.
    pub slow_start_share: f64,
    /// Time until a server in slow start reaches its full speed.
    pub slow_start_duration: Millis,
    /// How long after its deadline a response may still arrive at its caller; a shutdown reserves this time
    /// before the kill.
    pub response_slack: Millis,
    /// Requests that arrive later than this after a shutdown was requested are not run.
    pub drain_grace: Millis,
    /// Runnable requests per core, as a mean over `concurrency_window`, at which a server at full speed
    /// does not fail yet.
    pub core_concurrency: f64,
    /// Time over which the mean of `core_concurrency` is taken. No decision depends on it.
    pub concurrency_window: Millis,
    /// Longest Retry-After that callers honor; 0 if Retry-After is not passed on to them.
    pub max_retry_after: Millis,
    /// Minimum time between two batches of events that the controller handles.
    pub batch_interval: Millis,
}

/// Settings that may change while the server runs. Classes and tenants keep their indices; tenants may be
/// added.
#[derive(Clone, Debug)]
pub struct ReloadableSettings {
    /// All classes; their number must not change.
    pub classes: Vec<Class>,
    /// All tenants, new ones at the end.
    pub tenants: Vec<Tenant>,
    /// Requests that arrive later than this after a shutdown was requested are not run.
    pub drain_grace: Millis,
}
