use super::{SendShare, feedback_signal, sample_period};
use crate::interface::{FeedbackSignal, Settings};

/// A share with a setpoint of 150 ms that is sampled each 250 ms with this queueing time.
fn sampled(share: &mut SendShare, samples: std::ops::Range<u32>, queue_time: f64) -> Vec<f64> {
    let mut values = Vec::new();
    for sample in samples {
        share.record_run(true, queue_time, 1000.0);
        share.sample(f64::from(sample + 1) * 250.0, 0.0);
        values.push(share.requested(1.0, false, false));
    }
    values
}

fn share() -> SendShare {
    SendShare::new(1000.0, 250.0, 0.0)
}

#[test]
fn the_share_falls_by_bounded_steps_to_its_minimum_and_recovers_without_windup() {
    let mut share = share();
    let falling = sampled(&mut share, 0..100, 600.0);
    assert!(falling.windows(2).all(|pair| pair[0] - pair[1] <= 0.2 + 1e-9), "{falling:?}");
    assert!((falling[99] - 0.05).abs() < 1e-9, "{falling:?}");
    assert!(share.is_overloaded());
    let rising = sampled(&mut share, 100..160, 0.0);
    assert_eq!(rising[59], 1.0, "100 samples of overload are made up for in less than 60");
}

#[test]
fn integral_and_derivative_take_part() {
    // Half a setpoint too long: proportional -0.05, integral -0.015 a sample, derivative -0.1 at first.
    let mut share = share();
    let values = sampled(&mut share, 0..3, 225.0);
    for (value, expected) in values.iter().zip([0.835, 0.92, 0.905]) {
        assert!((value - expected).abs() < 1e-9, "{values:?}");
    }
}

#[test]
fn failed_runs_read_delays_and_old_requests_count_as_queueing_time() {
    let lowered = |record: &dyn Fn(&mut SendShare), oldest| {
        let mut share = share();
        record(&mut share);
        share.sample(250.0, oldest);
        share.requested(1.0, false, false)
    };
    assert!(lowered(&|share| share.record_run(false, 0.0, 1000.0), 0.0) < 1.0);
    assert!(lowered(&|share| share.record_read_delay(1000.0), 0.0) < 1.0);
    assert!(lowered(&|_| (), 1000.0) < 1.0);
    assert_eq!(lowered(&|share| share.record_run(true, 0.0, 1000.0), 1000.0), 1.0);
}

#[test]
fn reading_is_late_beyond_one_and_a_half_setpoints() {
    let mut share = share();
    share.record_read_delay(225.0);
    assert!(!share.is_reading_late());
    share.record_read_delay(226.0);
    assert!(share.is_reading_late());
}

#[test]
fn slow_start_stalls_and_shutdown_bound_the_requested_share() {
    let mut share = share();
    assert_eq!(share.requested(0.3, false, false), 0.3);
    assert_eq!(share.requested(1.0, true, false), 0.05);
    assert_eq!(share.requested(1.0, false, true), 0.0);
    assert!(!share.update_sent(0.995));
    assert!(share.update_sent(0.984));
    assert!(share.update_sent(0.995));
    assert!(share.update_sent(1.0), "a full recovery");
    assert!(!share.update_sent(1.0));
}

#[test]
fn the_signal_has_the_form_that_callers_read() {
    let mut settings = Settings {
        cores: 2.0,
        core_concurrency: 6.0,
        caller_count: 3.0,
        signal_ttl: 800.0,
        ..Settings::default()
    };
    assert_eq!(sample_period(&settings), 200.0);
    let forms = [
        (FeedbackSignal::Unused, None),
        (FeedbackSignal::SendShare, Some(0.75)),
        (FeedbackSignal::LowestRank, Some(0.25)),
        (FeedbackSignal::Credit, Some(3.0)),
    ];
    for (form, signal) in forms {
        settings.feedback_signal = form;
        assert_eq!(feedback_signal(0.75, &settings), signal);
    }
}
