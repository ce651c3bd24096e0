//! A server is told to drain while it runs a job. The job ends its work on SIGTERM and succeeds.

use std::time::Duration;

use crate::base::{BROKEN, HELD, has_trouble, need, note, pause, wait};
use crate::fleet::{Fleet, lines_of, note_job};

pub fn play() -> i32 {
    // The default lease; the job takes 4 s, or half a second from SIGTERM.
    let fleet = Fleet::start(10, 10_000, 40, 5);
    let owner = fleet.start_one_run(Duration::from_secs(30));
    let observer = (owner + 1) % 3;
    if has_trouble() {
        pause(1000);
        fleet.members[owner].process.signal("TERM");
        note(&format!("{} is told to drain (SIGTERM)", fleet.members[owner].name));
    }
    need("the job has ended with success", Duration::from_secs(10), || !lines_of("done").is_empty());
    note("the job has ended with exit code 0");
    let is_repeated = wait(Duration::from_secs(20), || lines_of("began").len() > 1);
    pause(if is_repeated { 5000 } else { 0 });
    note_job();
    fleet.note_history(observer);
    let (began, done) = (lines_of("began").len(), lines_of("done").len());
    note(&format!("one run was requested; its job began {began} times and ended with success {done} times"));
    if is_repeated { BROKEN } else { HELD }
}
