//! Expected run times per class, estimated from the runs of the class that succeeded.
//!
//! Inputs: estimated work, time on the cores and time off them for calls (all ms). Load shedding, the order
//! of the queue and stall detection depend on these estimates.

use super::request::Request;
use super::{MIN_SAMPLES, SMOOTHING_WEIGHT};
use crate::estimate::RunTimes;
use crate::time::Millis;

/// The run times of all classes, by class index.
pub(super) struct RunEstimates {
    by_class: Vec<RunTimes>,
}

impl RunEstimates {
    pub(super) fn new(classes: usize) -> RunEstimates {
        RunEstimates { by_class: vec![RunTimes::default(); classes] }
    }

    /// The expected time on the cores of a run, given its estimated work if there is an estimate.
    pub(super) fn expected_run(&self, class: usize, estimated_work: Option<Millis>) -> Millis {
        self.by_class[class].expected(estimated_work)
    }

    /// The expected time off the cores of a run, for its calls.
    pub(super) fn off_cores(&self, class: usize) -> Millis {
        self.by_class[class].off_cores.value
    }

    /// The expected time of a run, including its calls.
    pub(super) fn expected_time(&self, request: &Request) -> Millis {
        request.expected_run + self.off_cores(request.class)
    }

    /// Records a run that succeeded.
    pub(super) fn record(&mut self, request: &Request, run_time: Millis) {
        let times = &mut self.by_class[request.class];
        let expected = request.expected_run.max(times.on_cores.value);
        if expected > 0.0 {
            times.overrun_squared.add((run_time / expected).powi(2), SMOOTHING_WEIGHT);
        }
        times.add(request.estimated_work, run_time, request.off_cores_time, SMOOTHING_WEIGHT);
    }

    /// The time on the cores of a run like this one, with its usual overrun; `None` while there are too few
    /// samples. The mean square gives long overruns more weight, so that they are not taken for a stall.
    pub(super) fn usual_run(&self, request: &Request) -> Option<Millis> {
        let times = &self.by_class[request.class];
        let expected = request.expected_run.max(times.on_cores.value) * times.overrun_squared.value.max(1.0);
        (times.on_cores.samples >= MIN_SAMPLES && expected > 0.0).then_some(expected)
    }
}

#[cfg(test)]
mod tests;
