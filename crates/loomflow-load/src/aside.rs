//! Something that goes on beside the load.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// A thread that does something until it is told to stop; `stop` gives what it has made.
pub struct Aside<T> {
    stop: Sender<()>,
    thread: thread::JoinHandle<T>,
}

impl<T: Send + 'static> Aside<T> {
    /// Starts the thread. `work` receives the request to stop.
    pub fn start(work: impl FnOnce(Receiver<()>) -> T + Send + 'static) -> Aside<T> {
        let (stop, stopped) = channel();
        Aside { stop, thread: thread::spawn(move || work(stopped)) }
    }

    /// Asks the thread to stop and returns its result.
    pub fn stop(self) -> T {
        let _ = self.stop.send(());
        self.thread.join().expect("it ends")
    }
}
