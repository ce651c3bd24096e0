//! The settings object of a site: the controller's settings, and the names of classes, tenants and gauges, which only the
//! fronts need.

mod keys;

use loomflow::interface::{Class, Gauges, ReloadableSettings, Settings};
use loomflow::time::Millis;

use self::keys::{
    BatchKeys, ClassCallKeys, ClassKeys, ClassName, FrontKeys, RetryAfterKeys, RetryAfterLimit, SectionTypes,
    SettingsKeys,
};
use crate::document::TENANTS;
use crate::error::FieldError;
use crate::json::JsonObject;
use crate::lookup::Lookup;
use crate::tenants::Tenants;

/// Key of the list of classes.
const CLASSES: &str = "Classes";

/// The validated settings object of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// The controller's settings, which refer to classes and tenants by index.
    pub settings: Settings,
    /// Names of the classes, in the order of the controller's indices.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the controller's indices; empty if requests have no tenant.
    pub tenants: Vec<String>,
    /// Names of the gauges (measured load values), in the order in which the engine reports them.
    pub gauges: Vec<String>,
    /// Whether health checks that are not served from the cache do real work.
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

    /// Applies the values of `new` that may change while the server runs (see [`guard`](crate::guard)), and returns those of
    /// them that the controller uses. Classes and tenants keep their indices regardless of their order in `new`; new tenants
    /// are appended, and removed ones remain until the next start.
    pub fn reload(&mut self, new: &Site) -> ReloadableSettings {
        let classes = Lookup::new(&new.classes[..]);
        for (name, class) in self.classes.iter().zip(&mut self.settings.classes) {
            let Some(index) = classes.find(name) else { continue };
            let reloaded = &new.settings.classes[index];
            (class.latency_objective, class.objective_per_work, class.timeout) =
                (reloaded.latency_objective, reloaded.objective_per_work, reloaded.timeout);
            (class.priority_weight, class.late_weight, class.idempotency_window) =
                (reloaded.priority_weight, reloaded.late_weight, reloaded.idempotency_window);
        }
        self.reload_tenants(new);
        self.settings.drain_grace = new.settings.drain_grace;
        ReloadableSettings {
            classes: self.settings.classes.clone(),
            tenants: self.settings.tenants.clone(),
            drain_grace: self.settings.drain_grace,
        }
    }

    fn reload_tenants(&mut self, new: &Site) {
        // A site that started without tenants has none until the next start: its requests carry no tenant.
        if self.tenants.is_empty() {
            return;
        }
        let mut added = Vec::new();
        let current = Lookup::new(&self.tenants[..]);
        for (new_index, name) in new.tenants.iter().enumerate() {
            match current.find(name) {
                Some(index) => self.settings.tenants[index] = new.settings.tenants[new_index].clone(),
                None => added.push(new_index),
            }
        }
        for new_index in added {
            self.tenants.push(new.tenants[new_index].clone());
            self.settings.tenants.push(new.settings.tenants[new_index].clone());
        }
    }

    /// Converts the values that the engine reports, in the order of `names`, to the controller's gauges. Gauges with other
    /// names are ignored.
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

/// Parses the classes, which must not be empty.
fn parse_classes(object: &JsonObject) -> Result<Vec<Class>, FieldError> {
    let calls: ClassCallKeys = object.deserialize()?;
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

/// Returns the longest retry-after, ms; 0 if callers receive none.
fn parse_max_retry_after(object: &JsonObject) -> Result<Millis, FieldError> {
    let RetryAfterKeys { has_retry_after } = object.deserialize()?;
    if !has_retry_after {
        return Ok(0.0);
    }
    let RetryAfterLimit { max_retry_after } = object.deserialize()?;
    Ok(max_retry_after)
}

/// Parses the controller's settings. The order of the steps determines which of several errors is reported.
fn parse_settings(object: &JsonObject, tenants: &Tenants) -> Result<Settings, FieldError> {
    let _: SectionTypes = object.deserialize()?;
    let classes = parse_classes(object)?;
    let tenants = tenants.quotas(&object.path_of(TENANTS))?;
    let settings = object.deserialize_with(SettingsKeys::deserialize)?;
    let max_retry_after = parse_max_retry_after(object)?;
    let BatchKeys { batch_interval } = object.deserialize()?;
    Ok(Settings { classes, tenants, max_retry_after, batch_interval, ..settings })
}

#[cfg(test)]
mod tests;
