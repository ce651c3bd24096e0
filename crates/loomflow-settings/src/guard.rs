//! What a new configuration may change in a server that serves: each difference counts at once, or from the next start
//! on, or is turned down because it would break a rule. Decided here, without I/O; a configuration is taken whole or not
//! at all. What has not changed is never faulted: the server lives with it already.

use loomflow::interface::{Class, Idempotency};
use serde_json::Value;

use crate::compare::{Difference, compare};
use crate::config::Config;
use crate::lookup::Lookup;

#[cfg(test)]
mod tests;

/// When a difference counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    Immediately,
    AtNextStart,
}

/// A key that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its path; members of lists go by their `Name`.
    pub key: String,
    pub old: Value,
    pub new: Value,
    pub takes_effect: TakesEffect,
}

/// A value that would break a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    pub key: String,
    pub value: String,
    pub rule: &'static str,
}

impl std::fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {} is turned down: {}", self.key, self.value, self.rule)
    }
}

/// Two configurations, and whether a class of the old one has requests that are open or remembered.
pub struct ReloadCheck<'a> {
    pub current: &'a Config,
    pub new: &'a Config,
    pub is_class_in_use: &'a dyn Fn(usize) -> bool,
}

/// Keys of a class, of a tenant and of the rules that count at once.
const LIVE_CLASS: [&str; 6] = ["OnTime", "AimStretch", "HardLimit", "Points", "LateShare", "Window"];
const LIVE_TENANT: [&str; 1] = ["QuotaPerS"];
const LIVE_KEYS: [&str; 4] = ["engine", "control", "ledger", "settings.Rules.DrainGrace"];

type Rule = fn(&ReloadCheck) -> Vec<RuleViolation>;

/// Every rule; each has a test of its name.
const RULES: [Rule; 9] = [
    is_for_this_server,
    keeps_a_class,
    keeps_a_tenant,
    keeps_classes_in_use,
    keeps_idempotency,
    keeps_idempotency_windows,
    objectives_are_within_timeouts,
    quotas_have_a_sum,
    grace_ends_before_kill,
];

/// What differs, and when each difference counts. Errors: what would break a rule, all of it.
pub fn check_reload(pair: &ReloadCheck) -> Result<Vec<Change>, Vec<RuleViolation>> {
    let faults: Vec<RuleViolation> = RULES.iter().flat_map(|rule| rule(pair)).collect();
    if !faults.is_empty() {
        return Err(faults);
    }
    let differences = compare(pair.current.document(), pair.new.document());
    Ok(differences.into_iter().map(Change::from).collect())
}

impl From<Difference> for Change {
    fn from(Difference { key, old, new }: Difference) -> Change {
        let when = takes_effect(&key, &old);
        Change { key, old, new, takes_effect: when }
    }
}

fn takes_effect(path: &str, old: &Value) -> TakesEffect {
    let member = |list: &str| path.strip_prefix(list)?.strip_prefix('[')?.split_once(']');
    let live = match (member("settings.Classes"), member("settings.Orgs")) {
        (Some((_, key)), _) => key.strip_prefix('.').is_some_and(|key| LIVE_CLASS.contains(&key)),
        // A tenant that is new, or a figure of one that was there.
        (_, Some((_, ""))) => old.is_null(),
        (_, Some((_, key))) => key.strip_prefix('.').is_some_and(|key| LIVE_TENANT.contains(&key)),
        _ => LIVE_KEYS.contains(&path),
    };
    if live { TakesEffect::Immediately } else { TakesEffect::AtNextStart }
}

// ---- Rules ----

/// Classes of both, by name: the name, the old one's place, and both.
fn classes<'a>(
    pair: &'a ReloadCheck,
) -> impl Iterator<Item = (&'a str, usize, &'a Class, Option<&'a Class>)> {
    let (old, new) = (&pair.current.site, &pair.new.site);
    let new_names = Lookup::new(&new.classes[..]);
    old.classes.iter().enumerate().map(move |(at, name)| {
        let after = new_names.find(name).map(|at| &new.settings.classes[at]);
        (name.as_str(), at, &old.settings.classes[at], after)
    })
}

fn class_key(name: &str, key: &str) -> String {
    if key.is_empty() {
        format!("settings.Classes[{name}]")
    } else {
        format!("settings.Classes[{name}].{key}")
    }
}

/// Its addresses would lead this server's requests to somebody else's engine, and its reports into another's name. No two
/// servers listen at one address, whatever their names.
fn is_for_this_server(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let (old, new) = (pair.current, pair.new);
    let rule = "it is the configuration of another server";
    let fault = |key: &str, value: String| RuleViolation { key: key.into(), value, rule };
    let mut faults = Vec::new();
    if old.name != new.name {
        faults.push(fault("name", new.name.clone()));
    }
    if old.listen != new.listen {
        faults.push(fault("listen", new.listen.to_string()));
    }
    faults
}

/// Servers of different customers may bear the same name, and where each has a network to itself the same address.
fn keeps_a_class(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no class is left of those that this server serves: it is the configuration of another site";
    keeps_one_name("settings.Classes", &pair.current.site.classes, &pair.new.site.classes, rule)
}

/// They may even name their classes alike.
fn keeps_a_tenant(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let rule = "no tenant is left of those that this server serves: it is the configuration of another site";
    keeps_one_name("settings.Orgs", &pair.current.site.tenants, &pair.new.site.tenants, rule)
}

/// A fault where there were some, and none of them is among the new ones.
fn keeps_one_name(key: &str, old: &[String], new: &[String], rule: &'static str) -> Vec<RuleViolation> {
    let new_names = Lookup::new(new);
    if old.is_empty() || old.iter().any(|name| new_names.find(name).is_some()) {
        return Vec::new();
    }
    vec![RuleViolation { key: key.into(), value: new.join(", "), rule }]
}

fn keeps_classes_in_use(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let gone = classes(pair).filter(|(_, at, _, after)| after.is_none() && (pair.is_class_in_use)(*at));
    let rule = "it has requests that are open or remembered";
    gone.map(|(name, ..)| RuleViolation { key: class_key(name, ""), value: "removing it".into(), rule })
        .collect()
}

/// A fault for each class of both in which a key `breaks` the rule.
fn class_violations(
    pair: &ReloadCheck,
    key: &str,
    rule: &'static str,
    breaks: impl Fn(&Class, &Class) -> bool,
    value: impl Fn(&Class) -> String,
) -> Vec<RuleViolation> {
    let both = classes(pair).filter_map(|(name, _, old, new)| Some((name, old, new?)));
    let broken = both.filter(|(_, old, new)| breaks(old, new));
    broken
        .map(|(name, _, new)| RuleViolation { key: class_key(name, key), value: value(new), rule })
        .collect()
}

fn keeps_idempotency(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let breaks = |old: &Class, new: &Class| {
        old.idempotency != Idempotency::Always && new.idempotency != old.idempotency
    };
    let value = |new: &Class| effect_word(new.idempotency).to_owned();
    class_violations(pair, "Effect", "what has run could be run again", breaks, value)
}

/// The value of `Effect` in the settings.
fn effect_word(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Always => "safe",
        Idempotency::ByKey => "keyed",
        Idempotency::Never => "unsafe",
    }
}

fn keeps_idempotency_windows(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let breaks = |old: &Class, new: &Class| {
        old.idempotency == Idempotency::ByKey && new.idempotency_window < old.idempotency_window
    };
    let rule = "a repeat of what has run is promised its answer for longer";
    class_violations(pair, "Window", rule, breaks, |new| new.idempotency_window.to_string())
}

fn objectives_are_within_timeouts(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let breaks = |old: &Class, new: &Class| {
        (old.latency_objective, old.timeout) != (new.latency_objective, new.timeout)
            && new.latency_objective > new.timeout
    };
    let rule = "an answer would be in time after its caller has left (HardLimit)";
    class_violations(pair, "OnTime", rule, breaks, |new| new.latency_objective.to_string())
}

fn quotas_have_a_sum(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let sum = |config: &Config| config.site.settings.tenants.iter().map(|t| t.quota_per_s).sum::<f64>();
    let (old, new) = (sum(pair.current), sum(pair.new));
    let tenants = !pair.new.site.tenants.is_empty();
    if old == new || !tenants || (new.is_finite() && new > 0.0) {
        return Vec::new();
    }
    let rule = "the quotas of all tenants leave nothing within a share, or have no sum";
    vec![RuleViolation { key: "settings.Orgs".into(), value: format!("a sum of {new}"), rule }]
}

fn grace_ends_before_kill(pair: &ReloadCheck) -> Vec<RuleViolation> {
    let (old, new) = (pair.current.site.settings.drain_grace, pair.new.site.settings.drain_grace);
    if old == new || new < pair.current.stop_ms {
        return Vec::new();
    }
    let rule = "the server is killed before (stop_ms)";
    vec![RuleViolation { key: "settings.Rules.DrainGrace".into(), value: new.to_string(), rule }]
}
