//! Validates a configuration reload. Each changed value takes effect immediately or at the next start, or violates a rule.
//! A violation rejects the whole configuration. Unchanged values never violate a rule, because the server already runs
//! with them.

use loomflow::interface::{Class, Idempotency};
use serde_json::Value;

use crate::compare::{Difference, compare};
use crate::config::Config;
use crate::lookup::Lookup;

/// When a changed value takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// At once, with the reload.
    Immediately,
    /// At the next start of the server.
    AtNextStart,
}

/// A key whose value a reload changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Path of the key; members of lists are identified by their `Name`.
    pub key: String,
    /// Value in the current configuration; null if absent.
    pub current: Value,
    /// Value in the new configuration; null if absent.
    pub new: Value,
    /// When the new value takes effect.
    pub takes_effect: TakesEffect,
}

/// A changed value that violates a rule of reloads.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    /// Path of the key; classes are identified by name.
    pub key: String,
    /// The rejected value, or a description of the change.
    pub value: String,
    /// Reason for the rejection.
    pub rule: &'static str,
}

impl std::fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {} is rejected: {}", self.key, self.value, self.rule)
    }
}

/// The input of [`check_reload`].
pub struct ReloadCheck<'a> {
    /// Configuration that the server runs with.
    pub current: &'a Config,
    /// Configuration to be loaded.
    pub new: &'a Config,
    /// Whether a class of the current configuration, by index, has open requests or entries in the idempotency
    /// cache.
    pub is_class_in_use: &'a dyn Fn(usize) -> bool,
}

/// Keys of a class that take effect immediately.
const RELOADABLE_CLASS_KEYS: [&str; 6] =
    ["OnTime", "AimStretch", "HardLimit", "Points", "LateShare", "Window"];
/// Keys of a tenant that take effect immediately.
const RELOADABLE_TENANT_KEYS: [&str; 1] = ["QuotaPerS"];
/// Other paths that take effect immediately.
const RELOADABLE_KEYS: [&str; 4] = ["engine", "control", "ledger", "settings.Rules.DrainGrace"];

/// Checks one rule and returns its violations.
type Rule = fn(&ReloadCheck) -> Vec<RuleViolation>;

/// All rules of a reload; each has a test.
const RULES: [Rule; 9] = [
    is_for_this_server,
    retains_a_class,
    retains_a_tenant,
    retains_classes_in_use,
    retains_idempotency,
    retains_idempotency_windows,
    objectives_are_within_timeouts,
    quotas_have_a_sum,
    drain_grace_is_within_stop_time,
];

/// Checks a reload and returns all changed keys.
///
/// # Errors
///
/// All violations of all rules, if there are any.
pub fn check_reload(check: &ReloadCheck) -> Result<Vec<Change>, Vec<RuleViolation>> {
    let violations: Vec<RuleViolation> = RULES.iter().flat_map(|rule| rule(check)).collect();
    if !violations.is_empty() {
        return Err(violations);
    }
    let differences = compare(check.current.document(), check.new.document());
    Ok(differences.into_iter().map(Change::from).collect())
}

impl From<Difference> for Change {
    fn from(Difference { key, current, new }: Difference) -> Change {
        let takes_effect = takes_effect(&key, &current);
        Change { key, current, new, takes_effect }
    }
}

/// Returns when a changed value takes effect, by the path of its key; `current` is null if the key is new.
fn takes_effect(path: &str, current: &Value) -> TakesEffect {
    let member = |list: &str| path.strip_prefix(list)?.strip_prefix('[')?.split_once(']');
    let is_reloadable = match (member("settings.Classes"), member("settings.Orgs")) {
        (Some((_, key)), _) => key.strip_prefix('.').is_some_and(|key| RELOADABLE_CLASS_KEYS.contains(&key)),
        // A whole list member: it takes effect immediately if the tenant is new, at the next start if it is removed.
        (_, Some((_, ""))) => current.is_null(),
        (_, Some((_, key))) => key.strip_prefix('.').is_some_and(|key| RELOADABLE_TENANT_KEYS.contains(&key)),
        _ => RELOADABLE_KEYS.contains(&path),
    };
    if is_reloadable { TakesEffect::Immediately } else { TakesEffect::AtNextStart }
}

// ---- Rules ----

/// A class that is in both configurations, matched by name.
struct ClassPair<'a> {
    name: &'a str,
    /// Index of the class in the current configuration.
    index: usize,
    current: &'a Class,
    new: Option<&'a Class>,
}

fn class_pairs<'a>(check: &'a ReloadCheck) -> impl Iterator<Item = ClassPair<'a>> {
    let (current, new) = (&check.current.site, &check.new.site);
    let new_names = Lookup::new(&new.classes[..]);
    current.classes.iter().enumerate().map(move |(index, name)| ClassPair {
        name,
        index,
        current: &current.settings.classes[index],
        new: new_names.find(name).map(|index| &new.settings.classes[index]),
    })
}

/// Returns the path of a key of a class; that of the class itself if `key` is empty.
fn class_key(name: &str, key: &str) -> String {
    if key.is_empty() {
        format!("settings.Classes[{name}]")
    } else {
        format!("settings.Classes[{name}].{key}")
    }
}

/// Name and listen address must not change: with the configuration of another server, this one would send requests to that
/// server's engine and reports under its name. The listen address is compared as well, because servers of one network never
/// share it, whatever their names.
fn is_for_this_server(check: &ReloadCheck) -> Vec<RuleViolation> {
    let (current, new) = (check.current, check.new);
    let rule = "it is the configuration of another server";
    let violation = |key: &str, value: String| RuleViolation { key: key.into(), value, rule };
    let mut violations = Vec::new();
    if current.name != new.name {
        violations.push(violation("name", new.name.clone()));
    }
    if current.listen != new.listen {
        violations.push(violation("listen", new.listen.to_string()));
    }
    violations
}

/// At least one class must remain: servers of different sites may have the same name and, in separate networks, the same
/// listen address.
fn retains_a_class(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no current class is retained: it is the configuration of another site";
    retains_one_name("settings.Classes", &check.current.site.classes, &check.new.site.classes, rule)
}

/// At least one tenant must remain: different sites may use the same class names.
fn retains_a_tenant(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no current tenant is retained: it is the configuration of another site";
    retains_one_name("settings.Orgs", &check.current.site.tenants, &check.new.site.tenants, rule)
}

/// Returns a violation if there are current names and none of them is retained.
fn retains_one_name(key: &str, current: &[String], new: &[String], rule: &'static str) -> Vec<RuleViolation> {
    let new_names = Lookup::new(new);
    if current.is_empty() || current.iter().any(|name| new_names.find(name).is_some()) {
        return Vec::new();
    }
    vec![RuleViolation { key: key.into(), value: new.join(", "), rule }]
}

/// A class with open requests or entries in the idempotency cache must not be removed.
fn retains_classes_in_use(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "it has open or remembered requests";
    class_pairs(check)
        .filter(|pair| pair.new.is_none() && (check.is_class_in_use)(pair.index))
        .map(|pair| RuleViolation { key: class_key(pair.name, ""), value: "removing it".into(), rule })
        .collect()
}

/// Returns a violation for each class of both configurations for which `is_violated(current, new)` holds.
fn class_violations(
    check: &ReloadCheck,
    key: &str,
    rule: &'static str,
    is_violated: impl Fn(&Class, &Class) -> bool,
    value: impl Fn(&Class) -> String,
) -> Vec<RuleViolation> {
    class_pairs(check)
        .filter_map(|pair| Some((pair.name, pair.current, pair.new?)))
        .filter(|(_, current, new)| is_violated(current, new))
        .map(|(name, _, new)| RuleViolation { key: class_key(name, key), value: value(new), rule })
        .collect()
}

/// The idempotency of a class may change only from `safe`, which allows requests to run more than once anyway.
fn retains_idempotency(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        current.idempotency != Idempotency::Always && new.idempotency != current.idempotency
    };
    let value = |new: &Class| effect_name(new.idempotency).to_owned();
    class_violations(check, "Effect", "requests that have run could run again", is_violated, value)
}

/// Returns the value of `Effect` in the settings.
fn effect_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Always => "safe",
        Idempotency::ByKey => "keyed",
        Idempotency::Never => "unsafe",
    }
}

/// The idempotency window of a `keyed` class must not shrink.
fn retains_idempotency_windows(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        current.idempotency == Idempotency::ByKey && new.idempotency_window < current.idempotency_window
    };
    let rule = "duplicates of requests that have run were promised a response for longer";
    class_violations(check, "Window", rule, is_violated, |new| new.idempotency_window.to_string())
}

/// A changed latency objective must not exceed the timeout of its class.
fn objectives_are_within_timeouts(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        (current.latency_objective, current.timeout) != (new.latency_objective, new.timeout)
            && new.latency_objective > new.timeout
    };
    let rule = "a response would be on time after the caller's timeout (HardLimit)";
    class_violations(check, "OnTime", rule, is_violated, |new| new.latency_objective.to_string())
}

/// If the sum of all quotas changes, it must be finite and above 0.
fn quotas_have_a_sum(check: &ReloadCheck) -> Vec<RuleViolation> {
    let sum =
        |config: &Config| config.site.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
    let (current, new) = (sum(check.current), sum(check.new));
    let has_tenants = !check.new.site.tenants.is_empty();
    if current == new || !has_tenants || (new.is_finite() && new > 0.0) {
        return Vec::new();
    }
    let rule = "the sum of all quotas must be finite and above 0";
    vec![RuleViolation { key: "settings.Orgs".into(), value: format!("a sum of {new}"), rule }]
}

/// A changed drain grace must end before the process is killed.
fn drain_grace_is_within_stop_time(check: &ReloadCheck) -> Vec<RuleViolation> {
    let (current, new) = (check.current.site.settings.drain_grace, check.new.site.settings.drain_grace);
    if current == new || new < check.current.stop_ms {
        return Vec::new();
    }
    let rule = "the server is killed before it ends (stop_ms)";
    vec![RuleViolation { key: "settings.Rules.DrainGrace".into(), value: new.to_string(), rule }]
}

#[cfg(test)]
mod tests;
