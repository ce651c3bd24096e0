use super::*;
use loomflow::interface::Load;
use loomflow_fleet::member::Phase;

#[test]
fn the_meter_averages_over_time() {
    let mut meter = Meter::new(0.0);
    assert_eq!(meter.record(0.0, 4.0), None);
    assert_eq!(meter.record(100.0, 0.0), None);
    // Four concurrent runs for 100 ms, none until 490 ms, two for 10 ms, then none.
    assert_eq!(meter.record(490.0, 2.0), None);
    assert_eq!(meter.record(500.0, 0.0), Some((400.0 + 20.0) / 500.0));
    assert_eq!(meter.record(1000.0, 0.0), Some(0.0));
}

/// The owner's handle and the thread's inbox, with the poller that keeps the waker usable. No thread runs.
fn handle_and_inbox() -> (Fleet, Arc<Inbox>, Poll) {
    let poll = Poll::new().expect("the poller is created");
    let waker = Arc::new(Waker::new(poll.registry(), WAKE).expect("the waker is created"));
    let inbox = Arc::new(Inbox::default());
    let shutdown_timeout = Duration::from_secs(3_600);
    (Fleet { inbox: Arc::downgrade(&inbox), waker, shutdown_timeout }, inbox, poll)
}

fn load(running: f64) -> LoadReport {
    load_report(&Load::default(), running, 4.0, Phase::Serving, true)
}

/// A thread blocked by its disk finds each kind of report once, with the latest load.
#[test]
fn a_blocked_thread_finds_the_latest_reports() {
    let (fleet, inbox, _poll) = handle_and_inbox();
    (0..10_000).for_each(|running| fleet.set_load(load(running.into())));
    fleet.begin_drain();
    fleet.set_load(load(7.0));
    let messages = std::mem::take(&mut *inbox.lock().unwrap());
    assert!(messages.is_draining);
    assert_eq!(messages.load_report.map(|report| report.running), Some(7.0));
    assert!(inbox.lock().unwrap().load_report.is_none());
}

/// `drained` must return before its timeout, an hour here, if the thread ended before the call or ends during it.
#[test]
fn drained_returns_if_the_thread_has_ended() {
    for ended_before in [true, false] {
        let (fleet, inbox, _poll) = handle_and_inbox();
        if ended_before {
            drop(inbox);
            fleet.drained();
        } else {
            let thread = std::thread::spawn(move || {
                while inbox.lock().unwrap().drained.is_none() {
                    std::thread::yield_now();
                }
            });
            fleet.drained();
            thread.join().expect("the thread drops the inbox");
        }
    }
}

#[test]
fn shutdown_timeout_includes_the_grace_period_of_started_jobs() {
    let timeout = |duties: serde_json::Value| {
        let settings = serde_json::json!({
            "name": "f", "listen": "127.0.0.1:1", "state": "state", "voters": [], "duties": duties,
        });
        shutdown_timeout(&serde_json::from_value(settings).expect("valid fleet options"))
    };
    let millis = Duration::from_millis;
    assert_eq!(timeout(serde_json::Value::Null), millis(1_500));
    assert_eq!(timeout(serde_json::json!({"lease_s": 5})), millis(1_500));
    assert_eq!(timeout(serde_json::json!({"lease_s": 5, "programs": true})), millis(4_000));
}
