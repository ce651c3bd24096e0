use super::*;
use loomflow::interface::Load;
use loomflow_fleet::member::Phase;

#[test]
fn the_mean_is_over_time_and_not_over_batches() {
    let mut meter = Meter::new(0.0);
    assert_eq!(meter.note(0.0, 4.0), None);
    assert_eq!(meter.note(100.0, 0.0), None);
    // Four for a tenth of a second, then two for a hundredth, then none.
    assert_eq!(meter.note(490.0, 2.0), None);
    assert_eq!(meter.note(500.0, 0.0), Some((400.0 + 20.0) / 500.0));
    assert_eq!(meter.note(1000.0, 0.0), Some(0.0));
}

/// The owner's handle, and what the thread would find.
fn handle_and_inbox() -> (Fleet, Arc<Inbox>, Poll) {
    let poll = Poll::new().expect("a poller");
    let waker = Arc::new(Waker::new(poll.registry(), WAKE).expect("a waker"));
    let inbox = Arc::new(Inbox::default());
    let shutdown_timeout = Duration::from_secs(3_600);
    (Fleet { inbox: Arc::downgrade(&inbox), waker, shutdown_timeout }, inbox, poll)
}

fn load(running: f64) -> LoadReport {
    load_report(&Load::default(), running, 4.0, Phase::Serving, true)
}

#[test]
fn a_thread_that_stands_still_misses_no_word_and_hears_the_newest_load() {
    let (fleet, inbox, _poll) = handle_and_inbox();
    (0..10_000).for_each(|running| fleet.set_load(load(running.into())));
    fleet.begin_drain();
    fleet.set_load(load(7.0));
    let messages = std::mem::take(&mut *inbox.lock().unwrap());
    assert!(messages.is_draining);
    assert_eq!(messages.load_report.map(|report| report.running), Some(7.0));
    assert!(inbox.lock().unwrap().load_report.is_none());
}

#[test]
fn nobody_waits_for_a_thread_that_has_ended() {
    for before in [true, false] {
        let (fleet, inbox, _poll) = handle_and_inbox();
        if before {
            drop(inbox);
            fleet.drained();
        } else {
            let ends = std::thread::spawn(move || {
                while inbox.lock().unwrap().drained.is_none() {
                    std::thread::yield_now();
                }
            });
            fleet.drained();
            ends.join().expect("it ends");
        }
    }
}

#[test]
fn the_owner_waits_at_its_end_for_the_grace_period_of_jobs_that_it_starts() {
    let timeout = |duties: serde_json::Value| {
        let settings = serde_json::json!({
            "name": "f", "listen": "127.0.0.1:1", "state": "state", "voters": [], "duties": duties,
        });
        shutdown_timeout(&serde_json::from_value(settings).expect("settings"))
    };
    let millis = Duration::from_millis;
    assert_eq!(timeout(serde_json::Value::Null), millis(1_500));
    assert_eq!(timeout(serde_json::json!({"lease_s": 5})), millis(1_500));
    assert_eq!(timeout(serde_json::json!({"lease_s": 5, "programs": true})), millis(4_000));
}
