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
            gauges: domain.words("Gauges")?,
            deep_checks: domain.flag("DeepChecks")?,
        })
    }

    /// Takes up from a later reading what may change while serving (`guard`). Classes and tenants keep their places,
    /// whatever their order there; new tenants come after them, and those that are gone stay until the next start.
    pub fn take_up(&mut self, later: &Site) -> Terms {
        let classes = Lookup::new(&later.classes[..]);
        for (name, class) in self.classes.iter().zip(&mut self.settings.classes) {
            let Some(at) = classes.find(name) else { continue };
            let new = &later.settings.classes[at];
            (class.aim, class.aim_stretch, class.give_up) = (new.aim, new.aim_stretch, new.give_up);
            (class.worth, class.late_worth, class.window) = (new.worth, new.late_worth, new.window);
        }
        self.take_up_tenants(later);
        self.settings.drain_grace = later.settings.drain_grace;
        Terms {
            classes: self.settings.classes.clone(),
            tenants: self.settings.tenants.clone(),
            drain_grace: self.settings.drain_grace,
        }
    }

    fn take_up_tenants(&mut self, later: &Site) {
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
                "core_use" => read.core_use = value,
                "on_cores" => read.on_cores = value,
                "heap_share" => read.memory_share = value,
                "links" => read.connections = value,
                _ => {}
            }
        }
        read
    }
}

fn names(info: &Node, key: &str) -> Read<Vec<String>> {
    info.children(key)?.iter().map(|c| c.word("Name").map(str::to_owned)).collect()
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
            effect: match class.word("Effect")? {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                "unsafe" => Effect::Unsafe,
                other => return class.error("Effect", &format!("{other:?} is not known")),
            },
            aim: class.positive("OnTime")?,
            aim_stretch: class.not_negative("AimStretch")?,
            give_up: class.positive("HardLimit")?,
            worth: class.needed("Points")?,
            late_worth: class.number("LateShare")?,
            window: class.not_negative("Window")?,
            calls: calls.get(at).and_then(|v| v.as_bool()).unwrap_or(false),
            skip_worth: skips.get(at).and_then(|v| v.as_f64()).unwrap_or(0.0),
        });
    }
    if classes.is_empty() {
        return info.error("Classes", "no class");
    }
    Ok(Settings {
        classes,
        tenants: tenants.quotas(&info.name(TENANTS))?,
        over_share_worth: info.number("OverShareWorth")?,
        worth_by_work: info.word("ValueBy")? == "work",
        servers: info.not_negative("Servers")?,
        callers: domain.not_negative("ClientsTotal")?,
        tier: u32::try_from(info.whole_or("Stage", 0)?).or_else(|_| info.error("Stage", "too large"))?,
        cores: domain.positive("Cpus")?,
        memory_kb: domain.positive("HeapKb")?,
        run_memory: domain.positive("RunMemFactor")?,
        entry_kb: domain.not_negative("KeyKb")?,
        below: match domain.word("Downstream")? {
            "shared" => Below::Shared,
            "tier" => Below::Tier,
            _ => Below::Nothing,
        },
        call_share: domain.not_negative("CallShare")?,
        call_span: domain.not_negative("CallsOver")?,
        call_lingers: domain.not_negative("StaysFor")?,
        fresh: domain.not_negative("Fresh")?,
        stopping: match domain.word("Halt")? {
            "drop" => Stopping::LosesWork,
            "pause" => Stopping::KeepsWork,
            _ => Stopping::Impossible,
        },
        signal: match domain.word("Say")? {
            "level" => Signal::LowestRank,
            "credit" => Signal::Credit,
            "weight" => Signal::SendShare,
            _ => Signal::Unused,
        },
        heeded: domain.not_negative("Heeded")?,
        idle: domain.not_negative("Idle")?,
        handshake_price: prices.number("Handshake")?,
        tells_wait: domain.flag("PassesDeadline")?,
        tells_gone: domain.flag("TellsGone")?,
        cold: domain.flag("Cold")?,
        cold_share: rules.number("ColdShare")?,
        cold_span: rules.not_negative("Cold")?,
        answer_slack: rules.not_negative("AnswerSlack")?,
        drain_grace: rules.not_negative("DrainGrace")?,
        crowd: rules.positive("FallMultiple")?,
        crowd_span: rules.not_negative("TipAfter")?,
        longest_pause: if limits.flag("RetryAfter")? { limits.not_negative("MaxRetryAfter")? } else { 0.0 },
        tick: info.not_negative("Period")?,
    })
}
