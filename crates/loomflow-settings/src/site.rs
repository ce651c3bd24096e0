//! The settings object of a site: the settings of the decision module, and the names that only the fronts need.

mod keys;

use loomflow::interface::{Class, Gauges, ReloadableSettings, Settings, Tenant};

use self::keys::{CallSettings, ClassKeys, ClassName, ControllerKeys, FrontKeys, Sections};
use crate::document::TENANTS;
use crate::error::FieldError;
use crate::json::JsonObject;
use crate::lookup::Lookup;
use crate::tenants::Tenants;

/// Key of the list of classes.
const CLASSES: &str = "Classes";

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
    pub fn parse(object: &JsonObject) -> Result<Site, FieldError> {
        Site::parse_with_tenants(object, &Tenants::from_value(object.get(TENANTS)))
    }

    /// Parses a settings object whose tenants were deserialized separately.
    pub(crate) fn parse_with_tenants(object: &JsonObject, tenants: &Tenants) -> Result<Site, FieldError> {
        let settings = parse_settings(object, tenants)?;
        let classes = parse_class_names(object)?;
        let tenants = tenants.names(&object.path_of(TENANTS))?;
        let FrontKeys { gauges, deep_checks } = object.deserialize()?;
        Ok(Site { settings, classes, tenants, gauges, deep_checks })
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

fn parse_class_names(object: &JsonObject) -> Result<Vec<String>, FieldError> {
    let names = object.children(CLASSES)?;
    names.iter().map(|class| class.deserialize().map(|ClassName { name }| name)).collect()
}

fn parse_classes(object: &JsonObject) -> Result<Vec<Class>, FieldError> {
    let calls: CallSettings = object.deserialize()?;
    let mut classes = Vec::new();
    for (index, class) in object.children(CLASSES)?.iter().enumerate() {
        let class: ClassKeys = class.deserialize()?;
        classes.push(Class {
            idempotency: class.idempotency,
            latency_objective: class.latency_objective,
            objective_per_work: class.objective_per_work,
            timeout: class.timeout,
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            idempotency_window: class.idempotency_window,
            makes_calls: calls.makes_calls(index),
            degraded_weight: calls.degraded_weight(index),
        });
    }
    if classes.is_empty() {
        return Err(object.error(CLASSES, "no class"));
    }
    Ok(classes)
}

fn parse_settings(object: &JsonObject, tenants: &Tenants) -> Result<Settings, FieldError> {
    let _: Sections = object.deserialize()?;
    let classes = parse_classes(object)?;
    let tenants = tenants.quotas(&object.path_of(TENANTS))?;
    let keys = ControllerKeys::read(object)?;
    Ok(settings(classes, tenants, keys))
}

fn settings(classes: Vec<Class>, tenants: Vec<Tenant>, keys: ControllerKeys) -> Settings {
    let ControllerKeys { fleet, machine, calls, callers, rules, max_retry_after, batch_interval } = keys;
    Settings {
        classes,
        tenants,
        over_quota_weight: fleet.over_quota_weight,
        is_weight_per_work: fleet.is_weight_per_work,
        server_count: fleet.server_count,
        caller_count: fleet.caller_count,
        tier: fleet.tier,
        cores: machine.cores,
        memory_kb: machine.memory_kb,
        run_memory_factor: machine.run_memory_factor,
        key_kb: machine.key_kb,
        downstream: calls.downstream,
        call_quota: calls.call_quota,
        call_quota_window: calls.call_quota_window,
        call_linger: calls.call_linger,
        result_cache_ttl: callers.result_cache_ttl,
        preemption: callers.preemption,
        feedback_signal: callers.feedback_signal,
        signal_ttl: callers.signal_ttl,
        idle_timeout: callers.idle_timeout,
        handshake_price: callers.handshake_price,
        has_caller_deadlines: callers.has_caller_deadlines,
        has_cancellations: callers.has_cancellations,
        is_slow_start: rules.is_slow_start,
        slow_start_share: rules.slow_start_share,
        slow_start_duration: rules.slow_start_duration,
        response_slack: rules.response_slack,
        drain_grace: rules.drain_grace,
        core_concurrency: rules.core_concurrency,
        concurrency_window: rules.concurrency_window,
        max_retry_after,
        batch_interval,
    }
}

#[cfg(test)]
mod tests;
