use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use loomflow_protocol::gateway::{Request, Requests};

use super::*;

const HEALTH: &[u8] = b"*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n$0\r\n\r\n";
const PATIENT: Duration = Duration::from_secs(20);

/// A connection whose driver begins only when the test says so, and its peer.
struct Driven {
    outbox: Arc<Outbox>,
    peer: std::net::TcpStream,
    begin: Sender<()>,
    taken: Receiver<Request>,
    over: Receiver<Ending>,
}

fn driven() -> Driven {
    one_thread();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let to = listener.local_addr().expect("its address");
    let outbox = Arc::new(Outbox::new(Some(32)));
    let (begin, begins) = channel();
    let (takes, taken) = channel();
    let (ends, over) = channel();
    let driver = outbox.clone();
    std::thread::spawn(move || {
        let stream = connect(to).expect("the peer listens");
        begins.recv().expect("the word to begin");
        // The driver waits as a coroutine.
        may::go!(move || {
            let deliver = |request| takes.send(request).expect("the test listens");
            let (stream, ending) = drive(stream, &driver, Requests::default(), deliver, |_| {});
            linger(stream, ending);
            ends.send(ending).expect("the test listens");
        });
    });
    let (peer, _) = listener.accept().expect("the connection");
    peer.set_read_timeout(Some(PATIENT)).expect("a time-out");
    Driven { outbox, peer, begin, taken, over }
}

impl Driven {
    /// Everything that the peer can read up to the end of the connection, which must come in order.
    fn heard(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        self.peer.read_to_end(&mut all).expect("an end in order");
        all
    }
}

#[test]
fn what_came_before_an_idle_connection_is_closed_is_taken_and_answered() {
    let mut driven = driven();
    driven.peer.write_all(HEALTH).expect("it is sent");
    // Found idle by somebody who does not know yet.
    driven.outbox.end(Ending::Idle);
    driven.begin.send(()).expect("the driver waits");
    assert!(matches!(driven.taken.recv_timeout(PATIENT), Ok(Request::Health { tag: 1, .. })));
    assert!(!driven.outbox.is_ending());
    driven.outbox.answer(|out| out.extend_from_slice(b"answer"));
    driven.outbox.end(Ending::Idle);
    assert_eq!(driven.heard(), b"answer");
    assert_eq!(driven.over.recv_timeout(PATIENT), Ok(Ending::Idle));
}

#[test]
fn what_comes_after_an_idle_connection_was_closed_is_not_taken_and_resets_nothing() {
    let mut driven = driven();
    driven.outbox.add(|out| out.extend_from_slice(b"bye"));
    driven.outbox.end(Ending::Idle);
    driven.begin.send(()).expect("the driver waits");
    assert_eq!(driven.heard(), b"bye");
    driven.peer.write_all(HEALTH).expect("it is sent");
    assert_eq!(driven.over.recv_timeout(PATIENT), Ok(Ending::Idle));
    assert!(driven.taken.try_recv().is_err());
    assert_eq!(driven.heard(), b"");
}

#[test]
fn half_a_message_keeps_an_idle_connection_until_it_is_given_up() {
    let mut driven = driven();
    driven.peer.write_all(&HEALTH[..9]).expect("it is sent");
    driven.outbox.end(Ending::Idle);
    driven.begin.send(()).expect("the driver waits");
    driven.peer.write_all(&HEALTH[9..]).expect("it is sent");
    assert!(matches!(driven.taken.recv_timeout(PATIENT), Ok(Request::Health { tag: 1, .. })));
    driven.outbox.answer(|_| {});
    driven.peer.write_all(&HEALTH[..9]).expect("it is sent");
    driven.outbox.end(Ending::GivenUp);
    assert_eq!(driven.heard(), b"");
    assert_eq!(driven.over.recv_timeout(PATIENT), Ok(Ending::GivenUp));
}

#[test]
fn an_end_for_another_reason_is_not_taken_back_whichever_came_first() {
    let malformed = Ending::Malformed("a tag is used again while it is open");
    for reasons in [[Ending::Idle, malformed], [malformed, Ending::Idle]] {
        let mut driven = driven();
        driven.peer.write_all(HEALTH).expect("it is sent");
        for reason in reasons {
            driven.outbox.end(reason);
        }
        driven.begin.send(()).expect("the driver waits");
        assert_eq!(driven.heard(), b"");
        assert_eq!(driven.over.recv_timeout(PATIENT), Ok(malformed));
        assert!(driven.taken.try_recv().is_err());
    }
    // Nor is that of one that was broken off.
    let mut driven = driven();
    driven.peer.write_all(HEALTH).expect("it is sent");
    driven.outbox.end(Ending::Idle);
    driven.outbox.abort();
    driven.begin.send(()).expect("the driver waits");
    assert_eq!(driven.heard(), b"");
    assert_eq!(driven.over.recv_timeout(PATIENT), Ok(Ending::GivenUp));
}

#[test]
fn a_pause_of_the_machine_does_not_use_up_the_time_in_which_a_closed_connection_is_read() {
    let mut patience = Patience(LINGER);
    patience.spent(Duration::from_secs(3_600));
    assert_eq!(patience.next(), Some(LINGER_STEP));
    let mut waited = LINGER_STEP;
    while let Some(step) = patience.next() {
        patience.spent(step);
        waited += step;
    }
    assert_eq!(waited, LINGER);
}

#[test]
fn a_wait_of_less_than_a_millisecond_ends_too() {
    one_thread();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let to = listener.local_addr().expect("its address");
    let (says, said) = channel();
    may::go!(move || {
        let mut stream = connect(to).expect("the peer listens");
        for micros in [1, 300, 999] {
            limit_reads(&stream, Duration::from_micros(micros)).expect("a limit");
            says.send(stream.read(&mut [0]).is_err()).expect("the test listens");
        }
    });
    let (_silent, _) = listener.accept().expect("the connection");
    assert_eq!([(); 3].map(|()| said.recv_timeout(PATIENT)), [Ok(true); 3]);
}

#[test]
fn a_wait_is_whole_milliseconds_and_never_none() {
    let whole = |nanos| whole_ms(Duration::from_nanos(nanos)).as_nanos();
    assert_eq!([0, 1, 999_999].map(whole), [1_000_000; 3]);
    assert_eq!([1_000_000, 1_999_999, 798_770_001].map(whole), [1_000_000, 1_000_000, 798_000_000]);
    assert_eq!(whole_ms(Duration::MAX), Duration::from_millis(u64::MAX));
}

#[test]
fn who_floods_is_held_up_and_what_was_sent_long_ago_is_forgiven() {
    let start = Instant::now();
    let mut strikes = Strikes { count: 0, since: start };
    (0..1_000).for_each(|_| strikes.add(start));
    assert_eq!(strikes.at(start), LONGEST_PACE);
    // Looking at them forgives nothing.
    let almost = FORGIVEN_AFTER - Duration::from_millis(1);
    assert_eq!((0..5).map(|_| strikes.at(start + almost)).last(), Some(LONGEST_PACE));
    assert_eq!(strikes.at(start + FORGIVEN_AFTER), LONGEST_PACE - 1);
    // A flood that goes on at the pace it is held to is not forgiven.
    let mut now = start;
    for _ in 0..100 {
        now += PACE * LONGEST_PACE;
        (0..TURN).for_each(|_| strikes.add(now));
    }
    assert_eq!(strikes.at(now), LONGEST_PACE);
    assert_eq!(strikes.at(now + FORGIVEN_AFTER * LONGEST_PACE), 0);
    // Nor is a later one forgiven beforehand.
    strikes.add(now + Duration::from_secs(86_400));
    assert_eq!(strikes.at(now + Duration::from_secs(86_400)), 1);
    assert_eq!(strikes.at(now + Duration::from_secs(10 * 365 * 86_400)), 0);
}

/// An end of its wait by another thread would break the list in which the library keeps it.
#[test]
fn nobody_wakes_a_connection_that_is_read_with_a_time_out() {
    let mut driven = driven();
    driven.begin.send(()).expect("the driver waits");
    // It is woken while its driver waits, and may be until that has returned.
    driven.outbox.add(|out| out.extend_from_slice(b"bye"));
    driven.outbox.end(Ending::Idle);
    assert_eq!(driven.heard(), b"bye");
    // It lingers, as its peer has not closed: whatever is said now wakes nobody.
    assert!(driven.outbox.state().waker.is_none());
    driven.outbox.add(|out| out.extend_from_slice(b"late"));
    driven.outbox.end(Ending::GivenUp);
    driven.outbox.abort();
    assert_eq!(driven.over.recv_timeout(PATIENT), Ok(Ending::Idle));
}

/// Where a coroutine runs at first, and after what it does: by the ids of the threads.
fn threads_before_and_after(act: impl FnOnce() + Send + 'static) -> [std::thread::ThreadId; 2] {
    one_thread();
    let (sends, sent) = channel();
    may::go!(move || {
        let before = std::thread::current().id();
        act();
        sends.send([before, std::thread::current().id()]).expect("the test listens");
    });
    sent.recv_timeout(PATIENT).expect("it ends")
}

/// What begins to wait for a connection on another thread may be over before the library has done with it.
#[test]
fn a_coroutine_that_has_slept_is_on_the_thread_of_the_connections_again() {
    let [before, after] = threads_before_and_after(|| sleep(Duration::from_millis(3)));
    assert_eq!(before, after);
}

#[test]
fn a_coroutine_whose_wait_for_a_message_is_over_goes_back_to_the_thread_of_the_connections() {
    let [before, after] = threads_before_and_after(|| {
        let (_sends, waits) = may::sync::mpsc::channel::<()>();
        assert!(waits.recv_timeout(Duration::from_millis(3)).is_err());
        return_to_worker();
    });
    assert_eq!(before, after);
}
