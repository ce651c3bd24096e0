use super::*;

fn nothing_there<S>() -> std::io::Result<S> {
    Err(ErrorKind::WouldBlock.into())
}

/// Takes from a queue that does as `next` says at each look; what was taken.
fn taken(stop: &AtomicBool, mut next: impl FnMut(usize) -> std::io::Result<u8>) -> Vec<u8> {
    let (mut all, mut looks, mut waits) = (Vec::new(), 0, 0);
    let look = || {
        looks += 1;
        next(looks)
    };
    // The word to stop wakes whoever waits; one wait more would never end.
    let wait = || {
        waits += 1;
        assert!(waits < 3, "nobody would wake it");
    };
    take_all(stop, || true, look, wait, |one| all.push(one));
    all
}

#[test]
fn who_came_between_the_last_look_and_the_word_to_stop_is_taken() {
    let stop = AtomicBool::new(false);
    let all = taken(&stop, |look| match look {
        1 => {
            // The queue was empty; then somebody comes, and then the word.
            stop.store(true, Ordering::Release);
            nothing_there()
        }
        2 => Ok(7),
        _ => nothing_there(),
    });
    assert_eq!(all, [7]);
}

#[test]
fn once_the_word_has_come_all_that_stands_in_the_queue_is_taken_and_nobody_waits() {
    let stop = AtomicBool::new(true);
    let all = taken(&stop, |look| if look <= 3 { Ok(look as u8) } else { nothing_there() });
    assert_eq!(all, [1, 2, 3]);
}

#[test]
fn a_connection_that_broke_in_the_queue_is_no_end_of_it() {
    let stop = AtomicBool::new(true);
    let all = taken(&stop, |look| match look {
        1 => Err(ErrorKind::ConnectionAborted.into()),
        2 => Err(ErrorKind::Interrupted.into()),
        3 => Ok(3),
        _ => nothing_there(),
    });
    assert_eq!(all, [3]);
}

#[test]
fn a_failure_to_accept_that_goes_on_is_reported_once_a_minute() {
    let mut failures = FailureReports::default();
    let start = Instant::now();
    let reported = (0..12_000).filter(|n| failures.is_due(start + EXHAUSTED * *n)).count();
    assert_eq!(reported, 1, "a minute of failures at every attempt");
    assert!(failures.is_due(start + REPORT_AGAIN));
}
