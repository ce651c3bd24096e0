//! The settings object of a site: the settings of the controller, and the names that only the fronts need.

mod keys;

use loomflow::interface::{Class, Gauges, ReloadableSettings, Settings};
use loomflow::time::Millis;

use self::keys::{
    BatchKeys, CallSettings, ClassKeys, ClassName, FrontKeys, RetryAfterKeys, RetryAfterLimit, Sections,
    SettingsKeys,
};
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
    /// Settings of the controller.
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

    /// The controller's gauges from the values that the engine reports in the order of `names`.
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
        let class = class.deserialize_with(ClassKeys::deserialize)?;
        let (makes_calls, degraded_weight) = (calls.makes_calls(index), calls.degraded_weight(index));
        classes.push(Class { makes_calls, degraded_weight, ..class });
    }
    if classes.is_empty() {
        return Err(object.error(CLASSES, "no class"));
    }
    Ok(classes)
}

/// The longest retry-after, ms; 0 where none is passed on.
fn parse_max_retry_after(object: &JsonObject) -> Result<Millis, FieldError> {
    let RetryAfterKeys { has_retry_after } = object.deserialize()?;
    if !has_retry_after {
        return Ok(0.0);
    }
    let RetryAfterLimit { max_retry_after } = object.deserialize()?;
    Ok(max_retry_after)
}

fn parse_settings(object: &JsonObject, tenants: &Tenants) -> Result<Settings, FieldError> {
    let _: Sections = object.deserialize()?;
    let classes = parse_classes(object)?;
    let tenants = tenants.quotas(&object.path_of(TENANTS))?;
    let settings = object.deserialize_with(SettingsKeys::deserialize)?;
    let max_retry_after = parse_max_retry_after(object)?;
    let BatchKeys { batch_interval } = object.deserialize()?;
    Ok(Settings { classes, tenants, max_retry_after, batch_interval, ..settings })
}

#[cfg(test)]
mod tests;
