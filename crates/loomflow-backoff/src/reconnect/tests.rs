use super::*;

const STABLE_AFTER: Millis = 1_000.0;

fn reconnect_backoff() -> ReconnectBackoff {
    ReconnectBackoff::new(ExponentialBackoff::new(10.0, 80.0), STABLE_AFTER)
}

/// Returns the delay after a connection that lasted for `connected_for`.
fn delay_after(backoff: &mut ReconnectBackoff, connected_for: Millis) -> Millis {
    backoff.connected(5.0);
    backoff.disconnected(5.0 + connected_for);
    backoff.advance()
}

#[test]
fn only_a_stable_connection_resets_the_delay() {
    let mut backoff = reconnect_backoff();
    assert_eq!(delay_after(&mut backoff, 0.0), 10.0);
    assert_eq!(delay_after(&mut backoff, STABLE_AFTER - 1.0), 20.0);
    assert_eq!(delay_after(&mut backoff, STABLE_AFTER), 10.0);
    // A stable connection resets the delay once: the failed attempt after it does not.
    backoff.disconnected(10.0 * STABLE_AFTER);
    assert_eq!(backoff.advance(), 20.0);
}

#[test]
fn reset_forgets_the_connection_and_the_delay() {
    let mut backoff = reconnect_backoff();
    backoff.advance();
    backoff.connected(0.0);
    backoff.reset();
    assert_eq!(backoff.advance(), 10.0);
    backoff.disconnected(STABLE_AFTER);
    assert_eq!(backoff.delay(), 20.0);
}
