//! Running estimates: what was measured so far, in constant memory. They decide nothing.

/// An exponentially weighted mean. The first samples count alike, so that it starts at no value of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    /// The mean, in the unit of its samples; 0 before the first.
    pub value: f64,
    /// How many samples it has seen.
    pub samples: u32,
}

impl Mean {
    /// Takes in a sample, which counts for `weight`, from 0 to 1, once there are many.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * weight.max(1.0 / f64::from(self.samples));
    }
}

/// What the runs of a class have shown: their time against their estimated work, and their time off the cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Time of a run, ms, without what it spent off the cores.
    pub run: Mean,
    /// Time off the cores, ms.
    pub off: Mean,
    /// Square of what runs took over what they were expected to take at least.
    pub missed: Mean,
    work: Mean,
    work_squared: Mean,
    run_by_work: Mean,
}

impl RunTimes {
    /// Takes in a finished run of estimated `work`, which counts for `weight`.
    pub fn add(&mut self, work: f64, run: f64, off: f64, weight: f64) {
        self.run.add(run, weight);
        self.work.add(work, weight);
        self.work_squared.add(work * work, weight);
        self.run_by_work.add(run * work, weight);
        self.off.add(off, weight);
    }

    /// The time expected of a run, ms, read off the regression line through what was seen: where estimates are rough, a
    /// large one says less than it seems to.
    pub fn expected(&self, work: Option<f64>) -> f64 {
        let (run, mean) = (self.run.value, self.work.value);
        let spread = self.work_squared.value - mean * mean;
        let Some(work) = work.filter(|_| spread > 0.0 && mean > 0.0) else { return run };
        let slope = ((self.run_by_work.value - run * mean) / spread).clamp(0.0, run / mean);
        run + slope * (work - mean)
    }
}
