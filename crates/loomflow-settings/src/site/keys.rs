//! Maps the keys of the settings object to the controller's terms, in the order in which the keys are checked.
//!
//! The outer name of a key is given by its `rename` attribute only. `Section.Key` is a key of a nested object.

use loomflow::interface::{Class, Downstream, FeedbackSignal, Idempotency, Preemption, Settings, Tenant};
use loomflow::time::Millis;
use serde::de::{Deserializer, Error};

use crate::json::fields::{ValidOrNone, non_negative, or_default, positive, texts};

/// The nested objects, which are checked to be objects before any of their keys is read.
#[derive(serde::Deserialize)]
pub(super) struct SectionTypes {
    #[serde(rename = "Domain")]
    _machine: AnyObject,
    #[serde(rename = "Rules")]
    _rules: AnyObject,
    #[serde(rename = "Limits")]
    _limits: Option<AnyObject>,
    #[serde(rename = "Prices")]
    _prices: Option<AnyObject>,
}

/// An object whose keys are not checked.
#[derive(serde::Deserialize)]
struct AnyObject {}

/// Keys of the classes' downstream calls, as lists that are parallel to the list of classes.
#[derive(serde::Deserialize)]
pub(super) struct ClassCallKeys {
    /// Whether requests of a class may call downstream, by class index; false if absent or of another type.
    #[serde(rename = "Domain.CallsByClass", deserialize_with = "or_default")]
    makes_calls: Vec<ValidOrNone<bool>>,
    /// Share of the weight that a response without its downstream call earns, 0 to 1, by class index; 0 if absent or of
    /// another type.
    #[serde(rename = "Domain.DegradedWorth", deserialize_with = "or_default")]
    degraded_weights: Vec<ValidOrNone<f64>>,
}

impl ClassCallKeys {
    pub(super) fn makes_calls(&self, class: usize) -> bool {
        self.makes_calls.get(class).and_then(|element| element.0).unwrap_or(false)
    }

    pub(super) fn degraded_weight(&self, class: usize) -> f64 {
        self.degraded_weights.get(class).and_then(|element| element.0).unwrap_or(0.0)
    }
}

/// Keys of a class, except its name and [`ClassCallKeys`].
#[derive(serde::Deserialize)]
#[serde(remote = "Class")]
pub(super) struct ClassKeys {
    /// Whether requests of the class may run more than once: `safe`, `keyed` or `unsafe`. Required.
    #[serde(rename = "Effect", deserialize_with = "idempotency")]
    idempotency: Idempotency,
    /// Latency up to which a response earns the full weight, counted from the first attempt, ms. Required, above 0.
    #[serde(rename = "OnTime", deserialize_with = "positive")]
    latency_objective: Millis,
    /// Multiple of the request's estimated work that is added to the objective; 0 by default.
    #[serde(rename = "AimStretch", deserialize_with = "non_negative")]
    objective_per_work: f64,
    /// Longest time that a client waits, over all its attempts, ms. Required, above 0.
    #[serde(rename = "HardLimit", deserialize_with = "positive")]
    timeout: Millis,
    /// Weight of a response within the objective. Required.
    #[serde(rename = "Points")]
    priority_weight: f64,
    /// Share of the weight that a late response earns, 0 to 1; 0 by default.
    #[serde(rename = "LateShare", deserialize_with = "or_default")]
    late_weight: f64,
    /// Time after an arrival within which a duplicate may arrive, ms; 0 by default.
    #[serde(rename = "Window", deserialize_with = "non_negative")]
    idempotency_window: Millis,
    #[serde(skip)]
    makes_calls: bool,
    #[serde(skip)]
    degraded_weight: f64,
}

/// Key of a class's name, which only the fronts use.
#[derive(serde::Deserialize)]
pub(super) struct ClassName {
    /// Name of the class; empty by default.
    #[serde(rename = "Name", deserialize_with = "or_default")]
    pub(super) name: String,
}

/// Keys of the controller's settings. Skipped fields are read separately.
#[derive(serde::Deserialize)]
#[serde(remote = "Settings")]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact")]
pub(super) struct SettingsKeys {
    #[serde(skip)]
    classes: Vec<Class>,
    #[serde(skip)]
    tenants: Vec<Tenant>,
    /// Factor on the weight of a request beyond its tenant's quota; 0 by default.
    #[serde(rename = "OverShareWorth", deserialize_with = "or_default")]
    over_quota_weight: f64,
    /// Whether weights apply per unit of work (`work`) rather than per request; false by default.
    #[serde(rename = "ValueBy", deserialize_with = "is_by_work")]
    is_weight_per_work: bool,
    /// Number of servers of this tier; 0 by default.
    #[serde(rename = "Servers", deserialize_with = "non_negative")]
    server_count: f64,
    /// Number of callers of this tier; 0 by default.
    #[serde(rename = "Domain.ClientsTotal", deserialize_with = "non_negative")]
    caller_count: f64,
    /// Distance from the clients: 0 for the tier that they call, 1 for the next one downstream, and so on; 0 by default.
    #[serde(rename = "Stage", deserialize_with = "tier")]
    tier: u32,
    /// CPU cores of the server. Required, above 0.
    #[serde(rename = "Domain.Cpus", deserialize_with = "positive")]
    cores: f64,
    /// Memory of the server, KB. Required, above 0.
    #[serde(rename = "Domain.HeapKb", deserialize_with = "positive")]
    memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a queued one. Required, above 0.
    #[serde(rename = "Domain.RunMemFactor", deserialize_with = "positive")]
    run_memory_factor: f64,
    /// Memory of one retained key, KB; 0 by default.
    #[serde(rename = "Domain.KeyKb", deserialize_with = "non_negative")]
    key_kb: f64,
    /// Kind of downstream service that requests call: `shared` or `tier`; none by default.
    #[serde(rename = "Domain.Downstream", deserialize_with = "downstream")]
    downstream: Downstream,
    /// Mean number of calls in flight that the shared dependency allows for this server; 0 by default.
    #[serde(rename = "Domain.CallShare", deserialize_with = "non_negative")]
    call_quota: f64,
    /// Window of the mean that `call_quota` limits, ms; 0 by default.
    #[serde(rename = "Domain.CallsOver", deserialize_with = "non_negative")]
    call_quota_window: Millis,
    /// Time for which an abandoned call may occupy the dependency, ms; 0 by default.
    #[serde(rename = "Domain.StaysFor", deserialize_with = "non_negative")]
    call_linger: Millis,
    /// Time for which the result of an idempotent request may be reused for others, ms; 0 by default, for never.
    #[serde(rename = "Domain.Fresh", deserialize_with = "non_negative")]
    result_cache_ttl: Millis,
    /// Whether running requests can be stopped, and whether they then lose their progress (`drop`) or keep it (`pause`);
    /// unsupported by default.
    #[serde(rename = "Domain.Halt", deserialize_with = "preemption")]
    preemption: Preemption,
    /// How callers interpret the feedback signal: `level`, `credit` or `weight`; unused by default.
    #[serde(rename = "Domain.Say", deserialize_with = "feedback_signal")]
    feedback_signal: FeedbackSignal,
    /// Time for which callers act on a feedback signal, ms; 0 by default, for unknown.
    #[serde(rename = "Domain.Heeded", deserialize_with = "non_negative")]
    signal_ttl: Millis,
    /// Idle time after which callers close a connection, ms; 0 by default.
    #[serde(rename = "Domain.Idle", deserialize_with = "non_negative")]
    idle_timeout: Millis,
    /// Weight lost for each new connection per first attempt; 0 by default.
    #[serde(rename = "Prices.Handshake", deserialize_with = "or_default")]
    handshake_price: f64,
    /// Whether requests carry the remaining wait of their caller; false by default.
    #[serde(rename = "Domain.PassesDeadline", deserialize_with = "or_default")]
    has_caller_deadlines: bool,
    /// Whether a caller that gives up cancels its request; false by default.
    #[serde(rename = "Domain.TellsGone", deserialize_with = "or_default")]
    has_cancellations: bool,
    /// Whether the server was started into a running fleet, with cold caches; false by default.
    #[serde(rename = "Domain.Cold", deserialize_with = "or_default")]
    is_slow_start: bool,
    /// Share of its full speed at which a server starts, 0 to 1; 0 by default.
    #[serde(rename = "Rules.ColdShare", deserialize_with = "or_default")]
    slow_start_share: f64,
    /// Time until a started server reaches its full speed, ms; 0 by default.
    #[serde(rename = "Rules.Cold", deserialize_with = "non_negative")]
    slow_start_duration: Millis,
    /// Time after its deadline by which a response may still be sent, ms; 0 by default.
    #[serde(rename = "Rules.AnswerSlack", deserialize_with = "non_negative")]
    response_slack: Millis,
    /// Time after the shutdown request during which arriving requests are still run, ms; 0 by default.
    #[serde(rename = "Rules.DrainGrace", deserialize_with = "non_negative")]
    drain_grace: Millis,
    /// Largest number of runnable requests per core at which a server at full speed does not fail. Required, above 0.
    #[serde(rename = "Rules.FallMultiple", deserialize_with = "positive")]
    core_concurrency: f64,
    /// Window over which runnable requests are averaged, ms; 0 by default.
    #[serde(rename = "Rules.TipAfter", deserialize_with = "non_negative")]
    concurrency_window: Millis,
    #[serde(skip)]
    max_retry_after: Millis,
    #[serde(skip)]
    batch_interval: Millis,
}

/// Key that switches the retry-after on.
#[derive(serde::Deserialize)]
pub(super) struct RetryAfterKeys {
    /// Whether rejections carry a retry-after; false by default.
    #[serde(rename = "Limits.RetryAfter", deserialize_with = "or_default")]
    pub(super) has_retry_after: bool,
}

/// Key of the longest retry-after, which is read only if `Limits.RetryAfter` is true.
#[derive(serde::Deserialize)]
pub(super) struct RetryAfterLimit {
    /// Longest retry-after that callers honor, ms; 0 by default.
    #[serde(rename = "Limits.MaxRetryAfter", deserialize_with = "non_negative")]
    pub(super) max_retry_after: Millis,
}

/// Key of the controller's batches.
#[derive(serde::Deserialize)]
pub(super) struct BatchKeys {
    /// Minimum time between two batches, ms; 0 by default.
    #[serde(rename = "Period", deserialize_with = "non_negative")]
    pub(super) batch_interval: Millis,
}

/// Keys that only the fronts use.
#[derive(serde::Deserialize)]
pub(super) struct FrontKeys {
    /// Names of the gauges, in the order in which the engine reports them; none by default.
    #[serde(rename = "Domain.Gauges", deserialize_with = "texts")]
    pub(super) gauges: Vec<String>,
    /// Whether health checks that are not served from the cache do real work; false by default.
    #[serde(rename = "Domain.DeepChecks", deserialize_with = "or_default")]
    pub(super) deep_checks: bool,
}

fn idempotency<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Idempotency, D::Error> {
    match or_default(deserializer)? {
        "safe" => Ok(Idempotency::Always),
        "keyed" => Ok(Idempotency::ByKey),
        "unsafe" => Ok(Idempotency::Never),
        other => Err(D::Error::custom(format_args!("{other:?} is not known"))),
    }
}

fn is_by_work<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    or_default(deserializer).map(|text: &str| text == "work")
}

fn tier<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let tier: u64 = or_default(deserializer)?;
    u32::try_from(tier).map_err(|_| D::Error::custom("too large"))
}

fn downstream<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Downstream, D::Error> {
    Ok(match or_default(deserializer)? {
        "shared" => Downstream::Shared,
        "tier" => Downstream::Tier,
        _ => Downstream::None,
    })
}

fn preemption<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Preemption, D::Error> {
    Ok(match or_default(deserializer)? {
        "drop" => Preemption::DiscardsProgress,
        "pause" => Preemption::KeepsProgress,
        _ => Preemption::Unsupported,
    })
}

fn feedback_signal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<FeedbackSignal, D::Error> {
    Ok(match or_default(deserializer)? {
        "level" => FeedbackSignal::LowestRank,
        "credit" => FeedbackSignal::Credit,
        "weight" => FeedbackSignal::SendShare,
        _ => FeedbackSignal::Unused,
    })
}
