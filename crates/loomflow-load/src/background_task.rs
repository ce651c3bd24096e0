//! A thread that runs beside the load, such as one that samples the server.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// A thread that runs until it is told to stop, and returns a result.
pub struct BackgroundTask<T> {
    stop: Sender<()>,
    thread: thread::JoinHandle<T>,
}

impl<T: Send + 'static> BackgroundTask<T> {
    /// Starts the thread. `work` receives a message when it should return.
    pub fn start(work: impl FnOnce(Receiver<()>) -> T + Send + 'static) -> BackgroundTask<T> {
        let (stop, stop_receiver) = channel();
        BackgroundTask { stop, thread: thread::spawn(move || work(stop_receiver)) }
    }

    /// Tells the thread to stop, waits for its end and returns its result.
    pub fn stop(self) -> T {
        let _ = self.stop.send(());
        self.thread.join().expect("the thread does not panic")
    }
}
