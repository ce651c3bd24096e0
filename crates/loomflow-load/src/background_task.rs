//! A thread that runs during the load.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// A thread that runs until it is requested to stop, and returns a result.
pub struct BackgroundTask<T> {
    stop: Sender<()>,
    thread: thread::JoinHandle<T>,
}

impl<T: Send + 'static> BackgroundTask<T> {
    /// Starts the thread. `work` receives the request to stop.
    pub fn start(work: impl FnOnce(Receiver<()>) -> T + Send + 'static) -> BackgroundTask<T> {
        let (stop, stopped) = channel();
        BackgroundTask { stop, thread: thread::spawn(move || work(stopped)) }
    }

    /// Asks the thread to stop and returns its result.
    pub fn stop(self) -> T {
        let _ = self.stop.send(());
        self.thread.join().expect("the thread does not panic")
    }
}
