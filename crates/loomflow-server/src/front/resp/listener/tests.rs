use super::*;

fn would_block<S>() -> std::io::Result<S> {
    Err(ErrorKind::WouldBlock.into())
}

/// Accepts from a queue that does what `next` returns at each poll; returns what was accepted.
fn accept_all(stop: &AtomicBool, mut next: impl FnMut(usize) -> std::io::Result<u8>) -> Vec<u8> {
    let (mut all, mut polls, mut waits) = (Vec::new(), 0, 0);
    let poll = || {
        polls += 1;
        next(polls)
    };
    // A stop wakes whoever waits; one wait more would never end.
    let wait = || {
        waits += 1;
        assert!(waits < 3, "nobody would wake it");
    };
    accept_until_drained(stop, || true, poll, wait, |one| all.push(one));
    all
}

#[test]
fn a_connection_between_the_last_poll_and_the_stop_is_accepted() {
    let stop = AtomicBool::new(false);
    let all = accept_all(&stop, |poll| match poll {
        1 => {
            // The queue was empty; then a connection arrives, and then the stop.
            stop.store(true, Ordering::Release);
            would_block()
        }
        2 => Ok(7),
        _ => would_block(),
    });
    assert_eq!(all, [7]);
}

#[test]
fn after_a_stop_the_queue_is_drained_without_waiting() {
    let stop = AtomicBool::new(true);
    let all = accept_all(&stop, |poll| if poll <= 3 { Ok(poll as u8) } else { would_block() });
    assert_eq!(all, [1, 2, 3]);
}

#[test]
fn a_connection_that_was_reset_in_the_queue_does_not_end_it() {
    let stop = AtomicBool::new(true);
    let all = accept_all(&stop, |poll| match poll {
        1 => Err(ErrorKind::ConnectionAborted.into()),
        2 => Err(ErrorKind::Interrupted.into()),
        3 => Ok(3),
        _ => would_block(),
    });
    assert_eq!(all, [3]);
}

#[test]
fn a_lasting_failure_to_accept_is_logged_once_a_minute() {
    let mut failures = FailureLog::default();
    let start = Instant::now();
    let reported = (0..12_000).filter(|n| failures.is_due(start + RETRY_INTERVAL * *n)).count();
    assert_eq!(reported, 1, "a minute of failures at every attempt");
    assert!(failures.is_due(start + FAILURE_LOG_INTERVAL));
}

#[test]
fn an_address_in_use_is_waited_for_until_the_kill_of_the_former_process_and_a_margin() {
    assert_eq!(release_timeout(3_000.0), Duration::from_secs(4));
}
