use super::*;

fn would_block<S>() -> std::io::Result<S> {
    Err(ErrorKind::WouldBlock.into())
}

/// Runs the accept loop; `next` gives the result of each poll of the queue, counted from 1. Returns the accepted connections.
fn accept_all(stop: &AtomicBool, mut next: impl FnMut(usize) -> std::io::Result<u8>) -> Vec<u8> {
    let (mut accepted, mut polls, mut waits) = (Vec::new(), 0, 0);
    let poll = || {
        polls += 1;
        next(polls)
    };
    // The stop wakes the loop only once. Any further wait would never end, so this one panics instead.
    let wait = || {
        waits += 1;
        assert!(waits < 3, "wait {waits}: the loop waits although nothing would wake it");
    };
    accept_until_drained(stop, || true, poll, wait, |connection| accepted.push(connection));
    accepted
}

#[test]
fn a_connection_that_arrives_just_before_the_stop_is_accepted() {
    let stop = AtomicBool::new(false);
    let accepted = accept_all(&stop, |poll| match poll {
        1 => {
            // After this poll of the empty queue, connection 7 arrives, then the stop.
            stop.store(true, Ordering::Release);
            would_block()
        }
        2 => Ok(7),
        _ => would_block(),
    });
    assert_eq!(accepted, [7]);
}

#[test]
fn after_the_stop_the_queue_is_drained_without_waiting() {
    let stop = AtomicBool::new(true);
    let accepted = accept_all(&stop, |poll| if poll <= 3 { Ok(poll as u8) } else { would_block() });
    assert_eq!(accepted, [1, 2, 3]);
}

#[test]
fn a_connection_reset_in_the_queue_is_skipped() {
    let stop = AtomicBool::new(true);
    let accepted = accept_all(&stop, |poll| match poll {
        1 => Err(ErrorKind::ConnectionAborted.into()),
        2 => Err(ErrorKind::Interrupted.into()),
        3 => Ok(3),
        _ => would_block(),
    });
    assert_eq!(accepted, [3]);
}

#[test]
fn a_recurring_accept_failure_is_logged_once_a_minute() {
    let mut failures = FailureLog::default();
    let start = Instant::now();
    // 12000 attempts at an interval of 5 ms take a minute.
    let logged = (0..12_000).filter(|n| failures.is_due(start + RETRY_INTERVAL * *n)).count();
    assert_eq!(logged, 1, "log lines in a minute of failed attempts");
    assert!(failures.is_due(start + FAILURE_LOG_INTERVAL));
}

#[test]
fn bind_is_retried_for_the_stop_time_and_a_margin() {
    assert_eq!(release_timeout(3_000.0), Duration::from_secs(4));
}
