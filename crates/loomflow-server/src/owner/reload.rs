//! Reload of the configuration on SIGHUP. A configuration that violates a rule changes nothing.

use loomflow::interface::Event;
use loomflow_settings::Config;
use loomflow_settings::guard::{self, Change, ReloadCheck, RuleViolation, TakesEffect};

use super::Owner;
use crate::log;

impl Owner {
    /// Applies the changes that take effect immediately, and logs the keys of those that need a restart. The new settings are
    /// queued for the controller before the remaining events of the batch.
    pub(super) fn reload(&mut self, new: Config) {
        let in_use = |class| self.requests.has_class(class) || self.idempotency.has_class(class);
        let check = ReloadCheck { current: &self.config, new: &new, is_class_in_use: &in_use };
        let changes = match guard::check_reload(&check) {
            Ok(changes) => changes,
            Err(violations) => return log_violations(violations),
        };
        let live = keys(&changes, TakesEffect::Immediately);
        let next_start = keys(&changes, TakesEffect::AtNextStart);
        if !next_start.is_empty() {
            log!(keys = next_start.join(", "), "these keys take effect at the next start");
        }
        if let Some(lost) = self.peers.set_addresses(&self.config, &new, self.now.ms) {
            self.engine_link_lost(lost);
        }
        if live.iter().any(|key| key.starts_with("settings.")) {
            let settings = self.site.reload(&new.site);
            self.fronts.apply_settings(&self.site);
            self.controller.queue(Event::SettingsChanged(Box::new(settings)));
        }
        log!(live = live.join(", "), "the configuration was reloaded");
        self.config = self.config.reloaded(new, self.site.clone());
    }
}

/// The keys of the changes that take effect at this time.
fn keys(changes: &[Change], when: TakesEffect) -> Vec<&str> {
    changes.iter().filter(|change| change.takes_effect == when).map(|change| change.key.as_str()).collect()
}

fn log_violations(violations: Vec<RuleViolation>) {
    for RuleViolation { key, value, rule } in violations {
        log!(key, value, rule, "the new configuration is rejected, and nothing has changed");
    }
}
