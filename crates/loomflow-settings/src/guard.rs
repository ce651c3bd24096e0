//! Validation of a configuration reload. Each difference takes effect immediately or at the next start, or is rejected
//! because it violates a rule. A configuration is accepted as a whole or not at all. Unchanged values are never rejected:
//! the server already runs with them.

use loomflow::interface::{Class, Idempotency};
use serde_json::Value;

use crate::compare::{Difference, compare};
use crate::config::Config;
use crate::lookup::Lookup;

/// When a changed value takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// With the reload.
    Immediately,
    /// At the next start of the server.
    AtNextStart,
}

/// A key that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its path; members of lists are named by their `Name`.
    pub key: String,
    /// Value in the current configuration.
    pub current: Value,
    /// Value in the new configuration.
    pub new: Value,
    /// When the new value takes effect.
    pub takes_effect: TakesEffect,
}

/// A value that violates a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    /// Path of the key.
    pub key: String,
    /// The value that is rejected.
    pub value: String,
    /// The rule, as a reason.
    pub rule: &'static str,
}

impl std::fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {} is turned down: {}", self.key, self.value, self.rule)
    }
}

/// A reload to be checked.
pub struct ReloadCheck<'a> {
    /// The configuration in use.
    pub current: &'a Config,
    /// The configuration to be loaded.
    pub new: &'a Config,
    /// Whether a class of the current configuration, by index, has open or remembered requests.
    pub is_class_in_use: &'a dyn Fn(usize) -> bool,
}

/// Keys of a class that take effect immediately.
const RELOADABLE_CLASS_KEYS: [&str; 6] =
    ["OnTime", "AimStretch", "HardLimit", "Points", "LateShare", "Window"];
/// Keys of a tenant that take effect immediately.
const RELOADABLE_TENANT_KEYS: [&str; 1] = ["QuotaPerS"];
/// Other keys that take effect immediately.
const RELOADABLE_KEYS: [&str; 4] = ["engine", "control", "ledger", "settings.Rules.DrainGrace"];

type Rule = fn(&ReloadCheck) -> Vec<RuleViolation>;

/// All rules; the tests name each of them.
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

/// The differences between the configurations.
///
/// # Errors
///
/// All rule violations.
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

fn takes_effect(path: &str, current: &Value) -> TakesEffect {
    let member = |list: &str| path.strip_prefix(list)?.strip_prefix('[')?.split_once(']');
    let is_reloadable = match (member("settings.Classes"), member("settings.Orgs")) {
        (Some((_, key)), _) => key.strip_prefix('.').is_some_and(|key| RELOADABLE_CLASS_KEYS.contains(&key)),
        // A new tenant, or a value of an existing one.
        (_, Some((_, ""))) => current.is_null(),
        (_, Some((_, key))) => key.strip_prefix('.').is_some_and(|key| RELOADABLE_TENANT_KEYS.contains(&key)),
        _ => RELOADABLE_KEYS.contains(&path),
    };
    if is_reloadable { TakesEffect::Immediately } else { TakesEffect::AtNextStart }
}

// ---- Rules ----

/// A class of the current configuration and its counterpart of the same name.
struct ClassPair<'a> {
    name: &'a str,
    /// Index in the current configuration.
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

fn class_key(name: &str, key: &str) -> String {
    if key.is_empty() {
        format!("settings.Classes[{name}]")
    } else {
        format!("settings.Classes[{name}].{key}")
    }
}

/// The configuration of another server would send requests to that server's engine and reports under its name. Two servers
/// of one network never listen on the same address, whatever their names.
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

/// Servers of different sites may have the same name, and in separate networks even the same address.
fn retains_a_class(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no class is left of those that this server serves: it is the configuration of another site";
    retains_one_name("settings.Classes", &check.current.site.classes, &check.new.site.classes, rule)
}

/// Different sites may even use the same class names.
fn retains_a_tenant(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no tenant is left of those that this server serves: it is the configuration of another site";
    retains_one_name("settings.Orgs", &check.current.site.tenants, &check.new.site.tenants, rule)
}

/// A violation if there were names and none of them is retained.
fn retains_one_name(key: &str, current: &[String], new: &[String], rule: &'static str) -> Vec<RuleViolation> {
    let new_names = Lookup::new(new);
    if current.is_empty() || current.iter().any(|name| new_names.find(name).is_some()) {
        return Vec::new();
    }
    vec![RuleViolation { key: key.into(), value: new.join(", "), rule }]
}

fn retains_classes_in_use(check: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "it has requests that are open or remembered";
    class_pairs(check)
        .filter(|pair| pair.new.is_none() && (check.is_class_in_use)(pair.index))
        .map(|pair| RuleViolation { key: class_key(pair.name, ""), value: "removing it".into(), rule })
        .collect()
}

/// A violation for each class of both configurations that `is_violated` holds for.
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

fn retains_idempotency(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        current.idempotency != Idempotency::Always && new.idempotency != current.idempotency
    };
    let value = |new: &Class| effect_name(new.idempotency).to_owned();
    class_violations(check, "Effect", "what has run could be run again", is_violated, value)
}

/// The value of `Effect` in the settings.
fn effect_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Always => "safe",
        Idempotency::ByKey => "keyed",
        Idempotency::Never => "unsafe",
    }
}

fn retains_idempotency_windows(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        current.idempotency == Idempotency::ByKey && new.idempotency_window < current.idempotency_window
    };
    let rule = "a repeat of what has run is promised its answer for longer";
    class_violations(check, "Window", rule, is_violated, |new| new.idempotency_window.to_string())
}

fn objectives_are_within_timeouts(check: &ReloadCheck) -> Vec<RuleViolation> {
    let is_violated = |current: &Class, new: &Class| {
        (current.latency_objective, current.timeout) != (new.latency_objective, new.timeout)
            && new.latency_objective > new.timeout
    };
    let rule = "an answer would be in time after its caller has left (HardLimit)";
    class_violations(check, "OnTime", rule, is_violated, |new| new.latency_objective.to_string())
}

fn quotas_have_a_sum(check: &ReloadCheck) -> Vec<RuleViolation> {
    let sum =
        |config: &Config| config.site.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
    let (current, new) = (sum(check.current), sum(check.new));
    let has_tenants = !check.new.site.tenants.is_empty();
    if current == new || !has_tenants || (new.is_finite() && new > 0.0) {
        return Vec::new();
    }
    let rule = "the quotas of all tenants leave nothing within a share, or have no sum";
    vec![RuleViolation { key: "settings.Orgs".into(), value: format!("a sum of {new}"), rule }]
}

fn drain_grace_is_within_stop_time(check: &ReloadCheck) -> Vec<RuleViolation> {
    let (current, new) = (check.current.site.settings.drain_grace, check.new.site.settings.drain_grace);
    if current == new || new < check.current.stop_ms {
        return Vec::new();
    }
    let rule = "the server is killed before (stop_ms)";
    vec![RuleViolation { key: "settings.Rules.DrainGrace".into(), value: new.to_string(), rule }]
}

#[cfg(test)]
mod tests;
