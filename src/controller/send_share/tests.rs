use super::{SendShare, feedback_signal, sample_period};
use crate::interface::{FeedbackSignal, Settings};

/// Samples the share every 250 ms with this queueing time; returns the requested share after each sample.
fn requested_shares(share: &mut SendShare, samples: std::ops::Range<u32>, queue_time: f64) -> Vec<f64> {
    let mut values = Vec::new();
    for sample in samples {
        share.record_run(true, queue_time, 1000.0);
        share.sample(f64::from(sample + 1) * 250.0, 0.0);
        values.push(share.requested(1.0, false, false));
    }
    values
}

/// A share with a setpoint of 150 ms and a sample period of 250 ms.
fn share() -> SendShare {
    SendShare::new(1000.0, 250.0, 0.0)
}

#[test]
fn share_falls_by_bounded_steps_and_recovers_without_windup() {
    let mut share = share();
    let falling = requested_shares(&mut share, 0..100, 600.0);
    assert!(falling.windows(2).all(|pair| pair[0] - pair[1] <= 0.2 + 1e-9), "{falling:?}");
    assert!((falling[99] - 0.05).abs() < 1e-9, "{falling:?}");
    assert!(share.is_overloaded());
    let rising = requested_shares(&mut share, 100..160, 0.0);
    assert_eq!(rising[59], 1.0, "recovery from 100 samples of overload takes at most 60");
}

#[test]
fn integral_and_derivative_contribute() {
    // The queueing time is half a setpoint too long: the proportional term is -0.05, the integral term
    // falls by 0.015 per sample, and the derivative term is -0.1 in the first sample only.
    let mut share = share();
    let values = requested_shares(&mut share, 0..3, 225.0);
    for (value, expected) in values.iter().zip([0.835, 0.92, 0.905]) {
        assert!((value - expected).abs() < 1e-9, "{values:?}");
    }
}

#[test]
fn failed_runs_read_delays_and_old_requests_count_as_queueing_time() {
    let share_after = |record: &dyn Fn(&mut SendShare), oldest| {
        let mut share = share();
        record(&mut share);
        share.sample(250.0, oldest);
        share.requested(1.0, false, false)
    };
    assert!(share_after(&|share| share.record_run(false, 0.0, 1000.0), 0.0) < 1.0);
    assert!(share_after(&|share| share.record_read_delay(1000.0), 0.0) < 1.0);
    assert!(share_after(&|_| (), 1000.0) < 1.0);
    assert_eq!(share_after(&|share| share.record_run(true, 0.0, 1000.0), 1000.0), 1.0);
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
    assert!(share.update_sent(1.0), "a full recovery is always sent");
    assert!(!share.update_sent(1.0));
}

#[test]
fn signal_has_the_form_that_callers_interpret() {
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
