//! The settings object of a site: the settings of the decision module, and the names that only the fronts need.

use loomflow::interface::{
    Class, Downstream, FeedbackSignal, Gauges, Idempotency, Preemption, ReloadableSettings, Settings,
};
use serde_json::Value;

use crate::document::TENANTS;
use crate::error::FieldError;
use crate::json::JsonObject;
use crate::lookup::Lookup;
use crate::tenants::Tenants;

/// Settings of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index; empty if requests name none.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order in which the engine reports them.
    pub gauges: Vec<String>,
    /// Whether health checks that are not answered from the cache do real work.
    pub deep_checks: bool,
}

impl Site {
    /// Parses a settings object.
    ///
    /// # Errors
    ///
    /// A key is missing or invalid.
    pub fn parse(root: &JsonObject) -> Result<Site, FieldError> {
        Site::parse_with_tenants(root, &Tenants::from_value(root.get(TENANTS)))
    }

    /// Parses a settings object whose tenants were deserialized separately.
    pub(crate) fn parse_with_tenants(root: &JsonObject, tenants: &Tenants) -> Result<Site, FieldError> {
        let domain = root.child("Domain")?;
        Ok(Site {
            settings: parse_settings(root, &domain, tenants)?,
            classes: parse_names(root, "Classes")?,
            tenants: tenants.names(&root.path_of(TENANTS))?,
            gauges: domain.texts("Gauges")?,
            deep_checks: domain.boolean("DeepChecks")?,
        })
    }

    /// Takes over the values of `later` that may change while serving (see [`guard`](crate::guard)). Classes and tenants
    /// keep their indices whatever their order in `later`; new tenants are appended, and removed ones stay until the next
    /// start.
    pub fn reload(&mut self, later: &Site) -> ReloadableSettings {
        let classes = Lookup::new(&later.classes[..]);
        for (name, class) in self.classes.iter().zip(&mut self.settings.classes) {
            let Some(index) = classes.find(name) else { continue };
            let new = &later.settings.classes[index];
            (class.latency_objective, class.objective_per_work, class.timeout) =
                (new.latency_objective, new.objective_per_work, new.timeout);
            (class.priority_weight, class.late_weight, class.idempotency_window) =
                (new.priority_weight, new.late_weight, new.idempotency_window);
        }
        self.reload_tenants(later);
        self.settings.drain_grace = later.settings.drain_grace;
        ReloadableSettings {
            classes: self.settings.classes.clone(),
            tenants: self.settings.tenants.clone(),
            drain_grace: self.settings.drain_grace,
        }
    }

    fn reload_tenants(&mut self, later: &Site) {
        // Without tenants, requests name none.
        if self.tenants.is_empty() {
            return;
        }
        let mut added = Vec::new();
        let known = Lookup::new(&self.tenants[..]);
        for (later_index, name) in later.tenants.iter().enumerate() {
            match known.find(name) {
                Some(index) => self.settings.tenants[index] = later.settings.tenants[later_index].clone(),
                None => added.push(later_index),
            }
        }
        for later_index in added {
            self.tenants.push(later.tenants[later_index].clone());
            self.settings.tenants.push(later.settings.tenants[later_index].clone());
        }
    }

    /// The module's gauges from the values that the engine reports in the order of `names`.
    pub fn gauges(names: &[String], values: impl Iterator<Item = Option<f64>>) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in names.iter().zip(values) {
            match name.as_str() {
                "core_use" => gauges.core_utilization = value,
                "on_cores" => gauges.runnable = value,
                "heap_share" => gauges.memory_utilization = value,
                "links" => gauges.connections = value,
                _ => {}
            }
        }
        gauges
    }
}

fn parse_names(root: &JsonObject, key: &str) -> Result<Vec<String>, FieldError> {
    root.children(key)?.iter().map(|child| child.text("Name").map(str::to_owned)).collect()
}

/// Whether classes make downstream calls, and the weight of a result without the call.
struct CallSettings<'a> {
    calls: &'a [Value],
    degraded_weights: &'a [Value],
}

impl CallSettings<'_> {
    fn makes_calls(&self, class: usize) -> bool {
        self.calls.get(class).and_then(Value::as_bool).unwrap_or(false)
    }

    fn degraded_weight(&self, class: usize) -> f64 {
        self.degraded_weights.get(class).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

fn parse_classes(root: &JsonObject, domain: &JsonObject) -> Result<Vec<Class>, FieldError> {
    let call_settings =
        CallSettings { calls: domain.list("CallsByClass")?, degraded_weights: domain.list("DegradedWorth")? };
    let mut classes = Vec::new();
    for (index, class) in root.children("Classes")?.iter().enumerate() {
        classes.push(Class {
            idempotency: parse_idempotency(class)?,
            latency_objective: class.positive("OnTime")?,
            objective_per_work: class.non_negative("AimStretch")?,
            timeout: class.positive("HardLimit")?,
            priority_weight: class.required_number("Points")?,
            late_weight: class.number("LateShare")?,
            idempotency_window: class.non_negative("Window")?,
            makes_calls: call_settings.makes_calls(index),
            degraded_weight: call_settings.degraded_weight(index),
        });
    }
    if classes.is_empty() {
        return root.error("Classes", "no class");
    }
    Ok(classes)
}

fn parse_idempotency(class: &JsonObject) -> Result<Idempotency, FieldError> {
    match class.text("Effect")? {
        "safe" => Ok(Idempotency::Always),
        "keyed" => Ok(Idempotency::ByKey),
        "unsafe" => Ok(Idempotency::Never),
        other => class.error("Effect", &format!("{other:?} is not known")),
    }
}

fn parse_downstream(domain: &JsonObject) -> Result<Downstream, FieldError> {
    Ok(match domain.text("Downstream")? {
        "shared" => Downstream::Shared,
        "tier" => Downstream::Tier,
        _ => Downstream::None,
    })
}

fn parse_preemption(domain: &JsonObject) -> Result<Preemption, FieldError> {
    Ok(match domain.text("Halt")? {
        "drop" => Preemption::DiscardsProgress,
        "pause" => Preemption::KeepsProgress,
        _ => Preemption::Unsupported,
    })
}

fn parse_feedback_signal(domain: &JsonObject) -> Result<FeedbackSignal, FieldError> {
    Ok(match domain.text("Say")? {
        "level" => FeedbackSignal::LowestRank,
        "credit" => FeedbackSignal::Credit,
        "weight" => FeedbackSignal::SendShare,
        _ => FeedbackSignal::Unused,
    })
}

/// The maximum time that rejected callers back off, ms; 0 if the site does not support it.
fn parse_max_retry_after(limits: &JsonObject) -> Result<f64, FieldError> {
    if limits.boolean("RetryAfter")? { limits.non_negative("MaxRetryAfter") } else { Ok(0.0) }
}

fn parse_settings(root: &JsonObject, domain: &JsonObject, tenants: &Tenants) -> Result<Settings, FieldError> {
    let rules = root.child("Rules")?;
    let limits = root.child_or_empty("Limits")?;
    let prices = root.child_or_empty("Prices")?;
    Ok(Settings {
        classes: parse_classes(root, domain)?,
        tenants: tenants.quotas(&root.path_of(TENANTS))?,
        over_quota_weight: root.number("OverShareWorth")?,
        is_weight_per_work: root.text("ValueBy")? == "work",
        server_count: root.non_negative("Servers")?,
        caller_count: domain.non_negative("ClientsTotal")?,
        tier: u32::try_from(root.integer_or("Stage", 0)?).or_else(|_| root.error("Stage", "too large"))?,
        cores: domain.positive("Cpus")?,
        memory_kb: domain.positive("HeapKb")?,
        run_memory_factor: domain.positive("RunMemFactor")?,
        key_kb: domain.non_negative("KeyKb")?,
        downstream: parse_downstream(domain)?,
        call_quota: domain.non_negative("CallShare")?,
        call_quota_window: domain.non_negative("CallsOver")?,
        call_linger: domain.non_negative("StaysFor")?,
        result_cache_ttl: domain.non_negative("Fresh")?,
        preemption: parse_preemption(domain)?,
        feedback_signal: parse_feedback_signal(domain)?,
        signal_ttl: domain.non_negative("Heeded")?,
        idle_timeout: domain.non_negative("Idle")?,
        handshake_price: prices.number("Handshake")?,
        has_caller_deadlines: domain.boolean("PassesDeadline")?,
        has_cancellations: domain.boolean("TellsGone")?,
        is_slow_start: domain.boolean("Cold")?,
        slow_start_share: rules.number("ColdShare")?,
        slow_start_duration: rules.non_negative("Cold")?,
        response_slack: rules.non_negative("AnswerSlack")?,
        drain_grace: rules.non_negative("DrainGrace")?,
        core_concurrency: rules.positive("FallMultiple")?,
        concurrency_window: rules.non_negative("TipAfter")?,
        max_retry_after: parse_max_retry_after(&limits)?,
        batch_interval: root.non_negative("Period")?,
    })
}

#[cfg(test)]
mod tests;
