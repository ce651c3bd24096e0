use std::io::Read;
use std::net::TcpListener;
use std::sync::mpsc::channel;

use super::*;
use crate::connection::connect;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_read_timeout_below_a_millisecond_expires() {
    configure_runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds a loopback port");
    let address = listener.local_addr().expect("listener has an address");
    let (results, received) = channel();
    may::go!(move || {
        let mut stream = connect(address).expect("connects to the listener");
        for micros in [1, 300, 999] {
            set_read_timeout(&stream, Duration::from_micros(micros)).expect("sets the read timeout");
            results.send(stream.read(&mut [0]).is_err()).expect("test receives results");
        }
    });
    let (_silent, _) = listener.accept().expect("accepts the connection");
    assert_eq!([(); 3].map(|()| received.recv_timeout(TEST_TIMEOUT)), [Ok(true); 3]);
}

#[test]
fn a_timeout_is_rounded_down_to_whole_milliseconds_but_at_least_one() {
    let whole = |nanos| to_whole_millis(Duration::from_nanos(nanos)).as_nanos();
    assert_eq!([0, 1, 999_999].map(whole), [1_000_000; 3]);
    assert_eq!([1_000_000, 1_999_999, 798_770_001].map(whole), [1_000_000, 1_000_000, 798_000_000]);
    assert_eq!(to_whole_millis(Duration::MAX), Duration::from_millis(u64::MAX));
}

/// The threads on which a coroutine runs before and after `wait`.
fn threads_before_and_after(wait: impl FnOnce() + Send + 'static) -> [std::thread::ThreadId; 2] {
    configure_runtime();
    let (sender, receiver) = channel();
    may::go!(move || {
        let before = std::thread::current().id();
        wait();
        sender.send([before, std::thread::current().id()]).expect("test receives threads");
    });
    receiver.recv_timeout(TEST_TIMEOUT).expect("coroutine ends in time")
}

/// Guards against a use after free in `may`: a wait for a connection that starts on the timer thread may complete on the
/// worker thread before it is registered.
#[test]
fn a_sleep_ends_on_the_worker_thread() {
    let [before, after] = threads_before_and_after(|| sleep(Duration::from_millis(3)));
    assert_eq!(before, after);
}

/// Guards against that use after free for a wait with a timeout that does not go through [`sleep`] and is
/// followed by [`return_to_worker`].
#[test]
fn return_to_worker_leaves_the_timer_thread() {
    let [before, after] = threads_before_and_after(|| {
        let (_sender, receiver) = may::sync::mpsc::channel::<()>();
        assert!(receiver.recv_timeout(Duration::from_millis(3)).is_err());
        return_to_worker();
    });
    assert_eq!(before, after);
}
