use std::io::Read;
use std::net::TcpListener;
use std::sync::mpsc::channel;

use super::*;
use crate::connection::connect;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_read_timeout_below_a_millisecond_ends() {
    configure_runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("its address");
    let (results, received) = channel();
    may::go!(move || {
        let mut stream = connect(address).expect("the peer listens");
        for micros in [1, 300, 999] {
            set_read_timeout(&stream, Duration::from_micros(micros)).expect("a timeout");
            results.send(stream.read(&mut [0]).is_err()).expect("the test listens");
        }
    });
    let (_silent, _) = listener.accept().expect("the connection");
    assert_eq!([(); 3].map(|()| received.recv_timeout(TEST_TIMEOUT)), [Ok(true); 3]);
}

#[test]
fn a_timeout_is_cut_to_whole_milliseconds_and_is_at_least_one() {
    let whole = |nanos| to_whole_millis(Duration::from_nanos(nanos)).as_nanos();
    assert_eq!([0, 1, 999_999].map(whole), [1_000_000; 3]);
    assert_eq!([1_000_000, 1_999_999, 798_770_001].map(whole), [1_000_000, 1_000_000, 798_000_000]);
    assert_eq!(to_whole_millis(Duration::MAX), Duration::from_millis(u64::MAX));
}

/// The threads that a coroutine runs on before and after `act`.
fn threads_before_and_after(act: impl FnOnce() + Send + 'static) -> [std::thread::ThreadId; 2] {
    configure_runtime();
    let (sender, receiver) = channel();
    may::go!(move || {
        let before = std::thread::current().id();
        act();
        sender.send([before, std::thread::current().id()]).expect("the test listens");
    });
    receiver.recv_timeout(TEST_TIMEOUT).expect("it ends")
}

/// A wait for a connection that begins on another thread may be over before the library has finished registering it.
#[test]
fn a_coroutine_is_on_the_worker_thread_after_a_sleep() {
    let [before, after] = threads_before_and_after(|| sleep(Duration::from_millis(3)));
    assert_eq!(before, after);
}

#[test]
fn a_coroutine_is_on_the_worker_thread_after_a_wait_for_a_message() {
    let [before, after] = threads_before_and_after(|| {
        let (_sender, receiver) = may::sync::mpsc::channel::<()>();
        assert!(receiver.recv_timeout(Duration::from_millis(3)).is_err());
        return_to_worker();
    });
    assert_eq!(before, after);
}
