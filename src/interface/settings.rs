//! The settings of one server: its classes of requests, tenants, capacity and surroundings.

use crate::time::Millis;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times (settings: `safe`).
    Always,
    /// It has an idempotency key, and runs at most once here within its class's window (settings:
    /// `keyed`).
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
    /// What was done is lost. No decision distinguishes it from the next.
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
    /// The share of the weight that a late response still earns, 0 to 1. No decision depends on it.
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
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact")]
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
    /// Time over which that mean is taken. No decision depends on it.
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
    /// Weight lost for each new connection per first attempt. No decision depends on it.
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
    /// A response may come this long after its deadline.
    pub response_slack: Millis,
    /// What arrives later than this after the shutdown was requested is not run.
    pub drain_grace: Millis,
    /// Runnable requests for each core at which a server at full speed still does not fail, in the mean
    /// of `concurrency_window`.
    pub core_concurrency: f64,
    /// Time over which that mean is taken. No decision depends on it.
    pub concurrency_window: Millis,
    /// The longest Retry-After that callers honor; 0 where none is passed on.
    pub max_retry_after: Millis,
    /// Minimum time between two batches.
    pub batch_interval: Millis,
}

/// The settings that may change while serving. Classes and tenants keep their indices; tenants may be
/// added.
#[derive(Clone, Debug)]
pub struct ReloadableSettings {
    /// All classes.
    pub classes: Vec<Class>,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// The grace period of a shutdown.
    pub drain_grace: Millis,
}
