//! Running estimates of measured times, in constant memory. They decide nothing.

use crate::time::Millis;

/// An exponentially weighted mean. The first samples count alike, so that it is not biased to an initial
/// value.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedMean {
    /// The mean, in the unit of its samples; 0 before the first.
    pub value: f64,
    /// The number of samples.
    pub samples: u32,
}

impl SmoothedMean {
    /// Takes in a sample. Its weight, 0 to 1, is that of an arithmetic mean until there are `1 / weight`
    /// samples.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * weight.max(1.0 / f64::from(self.samples));
    }
}

/// The arithmetic mean of the samples since it was last taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalMean {
    sum: f64,
    count: f64,
}

impl IntervalMean {
    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.sum += sample;
        self.count += 1.0;
    }

    /// The mean, none without a sample; the next one starts anew.
    pub fn take(&mut self) -> Option<f64> {
        let IntervalMean { sum, count } = std::mem::take(self);
        (count > 0.0).then(|| sum / count)
    }
}

/// Run times of a class: on the cores against the estimated work, and off the cores (ms).
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Time of a run on the cores.
    pub on_cores: SmoothedMean,
    /// Time of a run off the cores, for its calls.
    pub off_cores: SmoothedMean,
    /// Square of the actual over the expected time on the cores.
    pub overrun_squared: SmoothedMean,
    work: SmoothedMean,
    work_squared: SmoothedMean,
    on_cores_by_work: SmoothedMean,
}

impl RunTimes {
    /// Takes in a finished run of estimated `work`, which counts for `weight`.
    pub fn add(&mut self, work: Millis, on_cores: Millis, off_cores: Millis, weight: f64) {
        self.on_cores.add(on_cores, weight);
        self.work.add(work, weight);
        self.work_squared.add(work * work, weight);
        self.on_cores_by_work.add(on_cores * work, weight);
        self.off_cores.add(off_cores, weight);
    }

    /// The expected time on the cores of a run, by linear regression on the estimated work of finished runs;
    /// their mean without an estimate.
    pub fn expected(&self, work: Option<Millis>) -> Millis {
        let (on_cores, mean) = (self.on_cores.value, self.work.value);
        let variance = self.work_squared.value - mean * mean;
        let Some(work) = work.filter(|_| variance > 0.0 && mean > 0.0) else { return on_cores };
        let slope = ((self.on_cores_by_work.value - on_cores * mean) / variance).clamp(0.0, on_cores / mean);
        on_cores + slope * (work - mean)
    }
}
