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
pub enum When {
    Live,
    NextStart,
}

/// A key that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its path; members of lists go by their `Name`.
    pub key: String,
    pub old: Value,
    pub new: Value,
    pub when: When,
}

/// A value that would break a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub key: String,
    pub value: String,
    pub rule: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {} is turned down: {}", self.key, self.value, self.rule)
    }
}

/// Two configurations, and whether a class of the old one has requests that are open or remembered.
pub struct Pair<'a> {
    pub old: &'a Config,
    pub new: &'a Config,
    pub in_use: &'a dyn Fn(usize) -> bool,
}

/// Keys of a class, of a tenant and of the rules that count at once.
const LIVE_CLASS: [&str; 6] = ["OnTime", "AimStretch", "HardLimit", "Points", "LateShare", "Window"];
const LIVE_TENANT: [&str; 1] = ["QuotaPerS"];
const LIVE_KEYS: [&str; 4] = ["engine", "control", "ledger", "settings.Rules.DrainGrace"];

type Rule = fn(&Pair) -> Vec<Fault>;

/// Every rule; each has a test of its name.
const RULES: [Rule; 9] = [
    the_file_is_of_this_server,
    some_class_of_the_site_stays,
    some_tenant_of_the_site_stays,
    a_class_in_use_stays,
    what_has_an_effect_stays_so,
    a_promised_window_is_not_shortened,
    an_aim_lies_within_the_whole_time,
    quotas_leave_something_for_somebody,
    the_grace_ends_before_the_kill,
];

/// What differs, and when each difference counts. Errors: what would break a rule, all of it.
pub fn judge(pair: &Pair) -> Result<Vec<Change>, Vec<Fault>> {
    let faults: Vec<Fault> = RULES.iter().flat_map(|rule| rule(pair)).collect();
    if !faults.is_empty() {
        return Err(faults);
    }
    let differences = compare(pair.old.document(), pair.new.document());
    Ok(differences.into_iter().map(Change::from).collect())
}

impl From<Difference> for Change {
    fn from(Difference { key, old, new }: Difference) -> Change {
        let when = when(&key, &old);
        Change { key, old, new, when }
    }
}

fn when(path: &str, old: &Value) -> When {
    let member = |list: &str| path.strip_prefix(list)?.strip_prefix('[')?.split_once(']');
    let live = match (member("settings.Classes"), member("settings.Orgs")) {
        (Some((_, key)), _) => key.strip_prefix('.').is_some_and(|key| LIVE_CLASS.contains(&key)),
        // A tenant that is new, or a figure of one that was there.
        (_, Some((_, ""))) => old.is_null(),
        (_, Some((_, key))) => key.strip_prefix('.').is_some_and(|key| LIVE_TENANT.contains(&key)),
        _ => LIVE_KEYS.contains(&path),
    };
    if live { When::Live } else { When::NextStart }
}

// ---- Rules ----

/// Classes of both, by name: the name, the old one's place, and both.
fn classes<'a>(pair: &'a Pair) -> impl Iterator<Item = (&'a str, usize, &'a Class, Option<&'a Class>)> {
    let (old, new) = (&pair.old.site, &pair.new.site);
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
fn the_file_is_of_this_server(pair: &Pair) -> Vec<Fault> {
    let (old, new) = (pair.old, pair.new);
    let rule = "it is the configuration of another server";
    let fault = |key: &str, value: String| Fault { key: key.into(), value, rule };
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
fn some_class_of_the_site_stays(pair: &Pair) -> Vec<Fault> {
    let rule = "no class is left of those that this server serves: it is the configuration of another site";
    none_stays("settings.Classes", &pair.old.site.classes, &pair.new.site.classes, rule)
}

/// They may even name their classes alike.
fn some_tenant_of_the_site_stays(pair: &Pair) -> Vec<Fault> {
    let rule = "no tenant is left of those that this server serves: it is the configuration of another site";
    none_stays("settings.Orgs", &pair.old.site.tenants, &pair.new.site.tenants, rule)
}

/// A fault where there were some, and none of them is among the new ones.
fn none_stays(key: &str, old: &[String], new: &[String], rule: &'static str) -> Vec<Fault> {
    let new_names = Lookup::new(new);
    if old.is_empty() || old.iter().any(|name| new_names.find(name).is_some()) {
        return Vec::new();
    }
    vec![Fault { key: key.into(), value: new.join(", "), rule }]
}

fn a_class_in_use_stays(pair: &Pair) -> Vec<Fault> {
    let gone = classes(pair).filter(|(_, at, _, after)| after.is_none() && (pair.in_use)(*at));
    let rule = "it has requests that are open or remembered";
    gone.map(|(name, ..)| Fault { key: class_key(name, ""), value: "removing it".into(), rule }).collect()
}

/// A fault for each class of both in which a key `breaks` the rule.
fn class_faults(
    pair: &Pair,
    key: &str,
    rule: &'static str,
    breaks: impl Fn(&Class, &Class) -> bool,
    value: impl Fn(&Class) -> String,
) -> Vec<Fault> {
    let both = classes(pair).filter_map(|(name, _, old, new)| Some((name, old, new?)));
    let broken = both.filter(|(_, old, new)| breaks(old, new));
    broken.map(|(name, _, new)| Fault { key: class_key(name, key), value: value(new), rule }).collect()
}

fn what_has_an_effect_stays_so(pair: &Pair) -> Vec<Fault> {
    let breaks = |old: &Class, new: &Class| {
        old.idempotency != Idempotency::Always && new.idempotency != old.idempotency
    };
    let value = |new: &Class| effect_word(new.idempotency).to_owned();
    class_faults(pair, "Effect", "what has run could be run again", breaks, value)
}

/// The value of `Effect` in the settings.
fn effect_word(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Always => "safe",
        Idempotency::ByKey => "keyed",
        Idempotency::Never => "unsafe",
    }
}

fn a_promised_window_is_not_shortened(pair: &Pair) -> Vec<Fault> {
    let breaks = |old: &Class, new: &Class| {
        old.idempotency == Idempotency::ByKey && new.idempotency_window < old.idempotency_window
    };
    let rule = "a repeat of what has run is promised its answer for longer";
    class_faults(pair, "Window", rule, breaks, |new| new.idempotency_window.to_string())
}

fn an_aim_lies_within_the_whole_time(pair: &Pair) -> Vec<Fault> {
    let breaks = |old: &Class, new: &Class| {
        (old.latency_objective, old.timeout) != (new.latency_objective, new.timeout)
            && new.latency_objective > new.timeout
    };
    let rule = "an answer would be in time after its caller has left (HardLimit)";
    class_faults(pair, "OnTime", rule, breaks, |new| new.latency_objective.to_string())
}

fn quotas_leave_something_for_somebody(pair: &Pair) -> Vec<Fault> {
    let sum = |config: &Config| config.site.settings.tenants.iter().map(|t| t.quota_per_s).sum::<f64>();
    let (old, new) = (sum(pair.old), sum(pair.new));
    let tenants = !pair.new.site.tenants.is_empty();
    if old == new || !tenants || (new.is_finite() && new > 0.0) {
        return Vec::new();
    }
    let rule = "the quotas of all tenants leave nothing within a share, or have no sum";
    vec![Fault { key: "settings.Orgs".into(), value: format!("a sum of {new}"), rule }]
}

fn the_grace_ends_before_the_kill(pair: &Pair) -> Vec<Fault> {
    let (old, new) = (pair.old.site.settings.drain_grace, pair.new.site.settings.drain_grace);
    if old == new || new < pair.old.stop_ms {
        return Vec::new();
    }
    let rule = "the server is killed before (stop_ms)";
    vec![Fault { key: "settings.Rules.DrainGrace".into(), value: new.to_string(), rule }]
}
