//! Effective objective: the time within which a response is still useful.
//!
//! Inputs: latency objective of the class (ms), tier, when callers cancel (fraction of the objective), age of
//! rejected first attempts (ms). A downstream tier has a fraction of the objective, since its caller needs
//! the rest for other work. Where callers cancel before the objective, responses after that are useless. A
//! retry has already spent the time of its first attempt.

use super::{MIN_SAMPLES, SMOOTHING_WEIGHT};
use crate::estimate::SmoothedMean;
use crate::interface::{Class, RequestAttributes, Settings};
use crate::time::Millis;

/// Fraction of its latency objective that each tier leaves to the next one downstream.
const DOWNSTREAM_FRACTION: f64 = 0.33;
/// From this tier on, all tiers further downstream have the same objective.
const MAX_TIER: u32 = 9;
/// Cancellations before this fraction of the objective are ignored: their callers did not run out of time.
const MIN_CANCELLED_FRACTION: f64 = 0.5;

/// Scales the latency objectives to the tier of this server, and returns the shortest.
pub(super) fn scale_to_tier(settings: &mut Settings) -> Millis {
    let fraction = DOWNSTREAM_FRACTION.powi(settings.tier.min(MAX_TIER) as i32);
    for class in &mut settings.classes {
        class.latency_objective *= fraction;
    }
    settings.classes.iter().map(|class| class.latency_objective).fold(Millis::INFINITY, Millis::min)
}

/// Estimates of how much time callers allow, from their cancellations and from rejections.
#[derive(Default)]
pub(super) struct EffectiveObjective {
    /// Mean age at which callers cancel first attempts, as a fraction of the objective.
    cancelled_fraction: SmoothedMean,
    /// Mean age at which first attempts are rejected.
    rejected_age: SmoothedMean,
}

impl EffectiveObjective {
    /// Records the cancellation of a first attempt at `age`.
    pub(super) fn record_cancellation(&mut self, age: Millis, objective: Millis, batch_interval: Millis) {
        let fraction = age / objective.max(batch_interval);
        if fraction >= MIN_CANCELLED_FRACTION {
            self.cancelled_fraction.add(fraction.min(1.0), SMOOTHING_WEIGHT);
        }
    }

    /// Records the rejection of a first attempt at `age`.
    pub(super) fn record_rejection(&mut self, age: Millis) {
        self.rejected_age.add(age, SMOOTHING_WEIGHT);
    }

    /// Time from the arrival of a request at this server within which its response earns the full weight.
    pub(super) fn time_for(
        &self,
        request: &RequestAttributes,
        class: &Class,
        estimated_work: Millis,
    ) -> Millis {
        let objective = class.latency_objective + class.objective_per_work * estimated_work;
        objective * self.usable_fraction() - self.time_spent(request)
    }

    fn usable_fraction(&self) -> f64 {
        if self.cancelled_fraction.samples < MIN_SAMPLES { 1.0 } else { self.cancelled_fraction.value }
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
