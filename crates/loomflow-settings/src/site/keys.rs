//! The keys of the settings object in the terms of the controller, in the order in which they are checked.
//!
//! The names of the keys stand in `rename` and nowhere else. `Section.Key` is a key of an object within the settings.

use loomflow::interface::{Class, Downstream, FeedbackSignal, Idempotency, Preemption, Settings, Tenant};
use loomflow::time::Millis;
use serde::de::{Deserializer, Error};

use crate::json::fields::{Lenient, non_negative, or_default, positive, texts};

/// The sections, for a check of their shape before any of their keys is read.
#[derive(serde::Deserialize)]
pub(super) struct Sections {
    #[serde(rename = "Domain")]
    _machine: Section,
    #[serde(rename = "Rules")]
    _rules: Section,
    #[serde(rename = "Limits")]
    _limits: Option<Section>,
    #[serde(rename = "Prices")]
    _prices: Option<Section>,
}

/// Any object.
#[derive(serde::Deserialize)]
struct Section {}

/// What classes lose without their downstream call.
#[derive(serde::Deserialize)]
pub(super) struct CallSettings {
    /// Whether requests of a class may call downstream, by the class's index; false by default and for another type.
    #[serde(rename = "Domain.CallsByClass", deserialize_with = "or_default")]
    makes_calls: Vec<Lenient<bool>>,
    /// The share of the weight that a response without its call still earns, 0 to 1, by the class's index; 0 by default and
    /// for another type.
    #[serde(rename = "Domain.DegradedWorth", deserialize_with = "or_default")]
    degraded_weights: Vec<Lenient<f64>>,
}

impl CallSettings {
    pub(super) fn makes_calls(&self, class: usize) -> bool {
        self.makes_calls.get(class).and_then(|member| member.0).unwrap_or(false)
    }

    pub(super) fn degraded_weight(&self, class: usize) -> f64 {
        self.degraded_weights.get(class).and_then(|member| member.0).unwrap_or(0.0)
    }
}

/// A class of requests; what its calls are is read apart.
#[derive(serde::Deserialize)]
#[serde(remote = "Class")]
pub(super) struct ClassKeys {
    /// Whether its requests may run more than once. Required.
    #[serde(rename = "Effect", deserialize_with = "idempotency")]
    idempotency: Idempotency,
    /// A response within this time of the first attempt earns the full weight, ms. Required, above 0.
    #[serde(rename = "OnTime", deserialize_with = "positive")]
    latency_objective: Millis,
    /// The objective grows by this multiple of the request's estimated work; 0 by default.
    #[serde(rename = "AimStretch", deserialize_with = "non_negative")]
    objective_per_work: f64,
    /// The client waits no longer than this, over all its attempts, ms. Required, above 0.
    #[serde(rename = "HardLimit", deserialize_with = "positive")]
    timeout: Millis,
    /// The weight of a response in time. Required.
    #[serde(rename = "Points")]
    priority_weight: f64,
    /// The share of the weight that a late response still earns, 0 to 1; 0 by default.
    #[serde(rename = "LateShare", deserialize_with = "or_default")]
    late_weight: f64,
    /// How long after an arrival a duplicate may come, ms; 0 by default.
    #[serde(rename = "Window", deserialize_with = "non_negative")]
    idempotency_window: Millis,
    #[serde(skip)]
    makes_calls: bool,
    #[serde(skip)]
    degraded_weight: f64,
}

/// The name of a class.
#[derive(serde::Deserialize)]
pub(super) struct ClassName {
    /// Empty by default.
    #[serde(rename = "Name", deserialize_with = "or_default")]
    pub(super) name: String,
}

/// The settings; classes, tenants and the last two are read apart.
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
    /// Whether weights count for each unit of work rather than for each request; false by default.
    #[serde(rename = "ValueBy", deserialize_with = "is_by_work")]
    is_weight_per_work: bool,
    /// Servers of this tier; 0 by default.
    #[serde(rename = "Servers", deserialize_with = "non_negative")]
    server_count: f64,
    /// Callers of this tier; 0 by default.
    #[serde(rename = "Domain.ClientsTotal", deserialize_with = "non_negative")]
    caller_count: f64,
    /// 0 for the tier that clients reach, 1 for the next one downstream, and so on; 0 by default.
    #[serde(rename = "Stage", deserialize_with = "tier")]
    tier: u32,
    /// Cores. Required, above 0.
    #[serde(rename = "Domain.Cpus", deserialize_with = "positive")]
    cores: f64,
    /// Memory, KB. Required, above 0.
    #[serde(rename = "Domain.HeapKb", deserialize_with = "positive")]
    memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a queued one. Required, above 0.
    #[serde(rename = "Domain.RunMemFactor", deserialize_with = "positive")]
    run_memory_factor: f64,
    /// Memory of one retained key, KB; 0 by default.
    #[serde(rename = "Domain.KeyKb", deserialize_with = "non_negative")]
    key_kb: f64,
    /// What requests call; nothing by default.
    #[serde(rename = "Domain.Downstream", deserialize_with = "downstream")]
    downstream: Downstream,
    /// Mean number of calls in flight that the shared dependency allows this server; 0 by default.
    #[serde(rename = "Domain.CallShare", deserialize_with = "non_negative")]
    call_quota: f64,
    /// Time over which that mean is taken, ms; 0 by default.
    #[serde(rename = "Domain.CallsOver", deserialize_with = "non_negative")]
    call_quota_window: Millis,
    /// How long an abandoned call may stay in the dependency, ms; 0 by default.
    #[serde(rename = "Domain.StaysFor", deserialize_with = "non_negative")]
    call_linger: Millis,
    /// How long the result of an idempotent request may answer others, ms; 0 by default, for never.
    #[serde(rename = "Domain.Fresh", deserialize_with = "non_negative")]
    result_cache_ttl: Millis,
    /// Whether running requests can be stopped; not by default.
    #[serde(rename = "Domain.Halt", deserialize_with = "preemption")]
    preemption: Preemption,
    /// How callers interpret the feedback signal; not at all by default.
    #[serde(rename = "Domain.Say", deserialize_with = "feedback_signal")]
    feedback_signal: FeedbackSignal,
    /// How long callers remember the feedback signal, ms; 0 by default, for unknown.
    #[serde(rename = "Domain.Heeded", deserialize_with = "non_negative")]
    signal_ttl: Millis,
    /// Callers close connections that are idle for this, ms; 0 by default.
    #[serde(rename = "Domain.Idle", deserialize_with = "non_negative")]
    idle_timeout: Millis,
    /// Weight lost for each new connection per first attempt; 0 by default.
    #[serde(rename = "Prices.Handshake", deserialize_with = "or_default")]
    handshake_price: f64,
    /// Whether requests state how long their caller will wait; false by default.
    #[serde(rename = "Domain.PassesDeadline", deserialize_with = "or_default")]
    has_caller_deadlines: bool,
    /// Whether a caller that gives up cancels its request; false by default.
    #[serde(rename = "Domain.TellsGone", deserialize_with = "or_default")]
    has_cancellations: bool,
    /// Whether the server was started into a running fleet, with cold caches; false by default.
    #[serde(rename = "Domain.Cold", deserialize_with = "or_default")]
    is_slow_start: bool,
    /// The share of its full speed with which a server starts, 0 to 1; 0 by default.
    #[serde(rename = "Rules.ColdShare", deserialize_with = "or_default")]
    slow_start_share: f64,
    /// How long it takes to reach its full speed, ms; 0 by default.
    #[serde(rename = "Rules.Cold", deserialize_with = "non_negative")]
    slow_start_duration: Millis,
    /// A response may come so long after its deadline, ms; 0 by default.
    #[serde(rename = "Rules.AnswerSlack", deserialize_with = "non_negative")]
    response_slack: Millis,
    /// What arrives later than this after the shutdown was requested is not run, ms; 0 by default.
    #[serde(rename = "Rules.DrainGrace", deserialize_with = "non_negative")]
    drain_grace: Millis,
    /// Runnable requests for each core at which a server at full speed still does not fail. Required, above 0.
    #[serde(rename = "Rules.FallMultiple", deserialize_with = "positive")]
    core_concurrency: f64,
    /// Time over which the mean of the runnable requests is taken, ms; 0 by default.
    #[serde(rename = "Rules.TipAfter", deserialize_with = "non_negative")]
    concurrency_window: Millis,
    #[serde(skip)]
    max_retry_after: Millis,
    #[serde(skip)]
    batch_interval: Millis,
}

/// Whether callers are told when they may try again.
#[derive(serde::Deserialize)]
pub(super) struct RetryAfterKeys {
    /// Whether a retry-after is passed on to callers; false by default.
    #[serde(rename = "Limits.RetryAfter", deserialize_with = "or_default")]
    pub(super) has_retry_after: bool,
}

/// The longest retry-after, which is read only where one is passed on.
#[derive(serde::Deserialize)]
pub(super) struct RetryAfterLimit {
    /// The longest retry-after that callers honor, ms; 0 by default.
    #[serde(rename = "Limits.MaxRetryAfter", deserialize_with = "non_negative")]
    pub(super) max_retry_after: Millis,
}

/// The batches.
#[derive(serde::Deserialize)]
pub(super) struct BatchKeys {
    /// Minimum time between two batches, ms; 0 by default.
    #[serde(rename = "Period", deserialize_with = "non_negative")]
    pub(super) batch_interval: Millis,
}

/// What only the fronts need.
#[derive(serde::Deserialize)]
pub(super) struct FrontKeys {
    /// Names of the gauges, in the order in which the engine reports them; none by default.
    #[serde(rename = "Domain.Gauges", deserialize_with = "texts")]
    pub(super) gauges: Vec<String>,
    /// Whether health checks that are not answered from the cache do real work; false by default.
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
