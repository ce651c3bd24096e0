//! Running estimates of measured times, in constant memory. They make no decisions.

use crate::time::Millis;

/// An exponentially weighted moving average. The first samples have equal weight, so that it is not biased
/// toward an initial value.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedMean {
    /// The mean, in the unit of its samples; 0 before the first sample.
    pub value: f64,
    /// Number of samples so far.
    pub samples: u32,
}

impl SmoothedMean {
    /// Adds a sample. `weight`, 0 to 1, is that of the new sample once there are `1 / weight` samples; until
    /// then the mean is arithmetic.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * weight.max(1.0 / f64::from(self.samples));
    }
}

/// The arithmetic mean of the samples since the last [`take`](IntervalMean::take).
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalMean {
    sum: f64,
    count: f64,
}

impl IntervalMean {
    /// Adds a sample to the current interval.
    pub fn add(&mut self, sample: f64) {
        self.sum += sample;
        self.count += 1.0;
    }

    /// Returns the mean, or `None` without samples, and starts a new interval.
    pub fn take(&mut self) -> Option<f64> {
        let IntervalMean { sum, count } = std::mem::take(self);
        (count > 0.0).then(|| sum / count)
    }
}

/// Run times of a class (ms): on the cores, in relation to the estimated work, and off the cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Mean time of a run on the cores.
    pub on_cores: SmoothedMean,
    /// Mean time of a run off the cores, for its calls.
    pub off_cores: SmoothedMean,
    /// Mean square of the overrun: the actual time of a run on the cores divided by the expected one.
    pub overrun_squared: SmoothedMean,
    work: SmoothedMean,
    work_squared: SmoothedMean,
    on_cores_work_product: SmoothedMean,
}

impl RunTimes {
    /// Adds a finished run of estimated `work`; `weight` as in [`SmoothedMean::add`].
    pub fn add(&mut self, work: Millis, on_cores: Millis, off_cores: Millis, weight: f64) {
        self.on_cores.add(on_cores, weight);
        self.work.add(work, weight);
        self.work_squared.add(work * work, weight);
        self.on_cores_work_product.add(on_cores * work, weight);
        self.off_cores.add(off_cores, weight);
    }

    /// The expected time of a run on the cores: by linear regression on the estimated work of finished runs,
    /// or their mean for a run without an estimate.
    pub fn expected(&self, work: Option<Millis>) -> Millis {
        let (on_cores, mean) = (self.on_cores.value, self.work.value);
        let variance = self.work_squared.value - mean * mean;
        let Some(work) = work.filter(|_| variance > 0.0 && mean > 0.0) else { return on_cores };
        let slope =
            ((self.on_cores_work_product.value - on_cores * mean) / variance).clamp(0.0, on_cores / mean);
        on_cores + slope * (work - mean)
    }
}
