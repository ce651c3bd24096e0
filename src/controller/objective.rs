//! Effective objective: by when a response is still of use.
//!
//! Inputs: latency objective of the class (ms), tier, when callers cancel (part of the objective), age of
//! rejected first attempts (ms). A tier downstream has a part of the objective, since its caller has
//! other things to do in the rest. Where callers cancel before the objective, responses after that are of
//! no use. A retry has used the time of its first attempt.

use super::{MIN_SAMPLES, SMOOTHING_WEIGHT};
use crate::estimate::SmoothedMean;
use crate::interface::{Class, RequestAttributes, Settings};
use crate::time::Millis;

/// Part of a latency objective that each tier leaves to the one downstream.
const DOWNSTREAM_PART: f64 = 0.33;
/// Tiers beyond this count as this one.
const MAX_TIER: u32 = 9;
/// Cancellations before this part of the objective show no lack of time.
const MIN_CANCELLED_PART: f64 = 0.5;

/// Scales the latency objectives to the tier of this server, and returns the shortest.
pub(super) fn scale_to_tier(settings: &mut Settings) -> Millis {
    let part = DOWNSTREAM_PART.powi(settings.tier.min(MAX_TIER) as i32);
    for class in &mut settings.classes {
        class.latency_objective *= part;
    }
    settings.classes.iter().map(|class| class.latency_objective).fold(Millis::INFINITY, Millis::min)
}

/// What callers have shown about the time that they have.
#[derive(Default)]
pub(super) struct EffectiveObjective {
    /// The part of the objective after which callers cancel.
    cancelled_part: SmoothedMean,
    /// The age at which first attempts are rejected.
    rejected_age: SmoothedMean,
}

impl EffectiveObjective {
    /// Takes in the cancellation of a first attempt after `age`.
    pub(super) fn record_cancellation(&mut self, age: Millis, objective: Millis, batch_interval: Millis) {
        let part = age / objective.max(batch_interval);
        if part >= MIN_CANCELLED_PART {
            self.cancelled_part.add(part.min(1.0), SMOOTHING_WEIGHT);
        }
    }

    /// Takes in the rejection of a first attempt after `age`.
    pub(super) fn record_rejection(&mut self, age: Millis) {
        self.rejected_age.add(age, SMOOTHING_WEIGHT);
    }

    /// The time from its arrival within which a response earns the full weight.
    pub(super) fn time_for(
        &self,
        request: &RequestAttributes,
        class: &Class,
        estimated_work: Millis,
    ) -> Millis {
        let objective = class.latency_objective + class.objective_per_work * estimated_work;
        objective * self.used_part() - self.time_spent(request)
    }

    fn used_part(&self) -> f64 {
        if self.cancelled_part.samples < MIN_SAMPLES { 1.0 } else { self.cancelled_part.value }
    }

    fn time_spent(&self, request: &RequestAttributes) -> Millis {
        if request.is_retry {
            self.rejected_age.value.max(request.upstream_time)
        } else {
            request.upstream_time
        }
    }
}

#[cfg(test)]
mod tests;
