//! The settings object that an instance is born with, as the module takes it, and the names it carries.

use loomflow::interface::*;

use crate::document::TENANTS;
use crate::lookup::Lookup;
use crate::read::{Node, Read};
use crate::tenants::Tenants;

#[cfg(test)]
mod tests;

/// The module's settings, and what only a front needs: names by index, and the order of the gauges.
#[derive(Clone, Debug)]
pub struct Site {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub gauges: Vec<String>,
    /// Health checks that are not answered from store do real work.
    pub deep_checks: bool,
}

impl Site {
    /// Reads a settings object. Errors name the key.
    pub fn read(info: &Node) -> Read<Site> {
        Site::with_tenants(info, &Tenants::from_value(info.get(TENANTS)))
    }

    /// As `read`, where the tenants have been read apart from the rest.
    pub(crate) fn with_tenants(info: &Node, tenants: &Tenants) -> Read<Site> {
        let domain = info.child("Domain")?;
        Ok(Site {
            settings: settings(info, &domain, tenants)?,
            classes: names(info, "Classes")?,
            tenants: tenants.names(&info.name(TENANTS))?,
            gauges: domain.texts("Gauges")?,
            deep_checks: domain.boolean("DeepChecks")?,
        })
    }

    /// Takes up from a later reading what may change while serving (`guard`). Classes and tenants keep their places,
    /// whatever their order there; new tenants come after them, and those that are gone stay until the next start.
    pub fn reload(&mut self, later: &Site) -> ReloadableSettings {
        let classes = Lookup::new(&later.classes[..]);
        for (name, class) in self.classes.iter().zip(&mut self.settings.classes) {
            let Some(at) = classes.find(name) else { continue };
            let new = &later.settings.classes[at];
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
        // Where there were none, requests name none.
        if self.tenants.is_empty() {
            return;
        }
        let mut added = Vec::new();
        let known = Lookup::new(&self.tenants[..]);
        for (at, name) in later.tenants.iter().enumerate() {
            match known.find(name) {
                Some(place) => self.settings.tenants[place] = later.settings.tenants[at].clone(),
                None => added.push(at),
            }
        }
        for at in added {
            self.tenants.push(later.tenants[at].clone());
            self.settings.tenants.push(later.settings.tenants[at].clone());
        }
    }

    /// Puts measured values into the module's gauges, in the order of the settings.
    pub fn gauges(names: &[String], values: impl Iterator<Item = Option<f64>>) -> Gauges {
        let mut read = Gauges::default();
        for (name, value) in names.iter().zip(values) {
            match name.as_str() {
                "core_use" => read.core_utilization = value,
                "on_cores" => read.runnable = value,
                "heap_share" => read.memory_utilization = value,
                "links" => read.connections = value,
                _ => {}
            }
        }
        read
    }
}

fn names(info: &Node, key: &str) -> Read<Vec<String>> {
    info.children(key)?.iter().map(|c| c.text("Name").map(str::to_owned)).collect()
}

fn settings(info: &Node, domain: &Node, tenants: &Tenants) -> Read<Settings> {
    let rules = info.child("Rules")?;
    let limits = info.child_or_empty("Limits")?;
    let prices = info.child_or_empty("Prices")?;
    let calls = domain.list("CallsByClass")?;
    let skips = domain.list("DegradedWorth")?;
    let mut classes = Vec::new();
    for (at, class) in info.children("Classes")?.iter().enumerate() {
        classes.push(Class {
            idempotency: match class.text("Effect")? {
                "safe" => Idempotency::Always,
                "keyed" => Idempotency::ByKey,
                "unsafe" => Idempotency::Never,
                other => return class.error("Effect", &format!("{other:?} is not known")),
            },
            latency_objective: class.positive("OnTime")?,
            objective_per_work: class.non_negative("AimStretch")?,
            timeout: class.positive("HardLimit")?,
            priority_weight: class.required_number("Points")?,
            late_weight: class.number("LateShare")?,
            idempotency_window: class.non_negative("Window")?,
            makes_calls: calls.get(at).and_then(|v| v.as_bool()).unwrap_or(false),
            degraded_weight: skips.get(at).and_then(|v| v.as_f64()).unwrap_or(0.0),
        });
    }
    if classes.is_empty() {
        return info.error("Classes", "no class");
    }
    Ok(Settings {
        classes,
        tenants: tenants.quotas(&info.name(TENANTS))?,
        over_quota_weight: info.number("OverShareWorth")?,
        is_weight_per_work: info.text("ValueBy")? == "work",
        server_count: info.non_negative("Servers")?,
        caller_count: domain.non_negative("ClientsTotal")?,
        tier: u32::try_from(info.integer_or("Stage", 0)?).or_else(|_| info.error("Stage", "too large"))?,
        cores: domain.positive("Cpus")?,
        memory_kb: domain.positive("HeapKb")?,
        run_memory_factor: domain.positive("RunMemFactor")?,
        key_kb: domain.non_negative("KeyKb")?,
        downstream: match domain.text("Downstream")? {
            "shared" => Downstream::Shared,
            "tier" => Downstream::Tier,
            _ => Downstream::None,
        },
        call_quota: domain.non_negative("CallShare")?,
        call_quota_window: domain.non_negative("CallsOver")?,
        call_linger: domain.non_negative("StaysFor")?,
        result_cache_ttl: domain.non_negative("Fresh")?,
        preemption: match domain.text("Halt")? {
            "drop" => Preemption::DiscardsProgress,
            "pause" => Preemption::KeepsProgress,
            _ => Preemption::Unsupported,
        },
        feedback_signal: match domain.text("Say")? {
            "level" => FeedbackSignal::LowestRank,
            "credit" => FeedbackSignal::Credit,
            "weight" => FeedbackSignal::SendShare,
            _ => FeedbackSignal::Unused,
        },
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
        max_retry_after: if limits.boolean("RetryAfter")? {
            limits.non_negative("MaxRetryAfter")?
        } else {
            0.0
        },
        batch_interval: info.non_negative("Period")?,
    })
}
