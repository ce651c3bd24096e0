//! An operator asks for a run of a duty's job while another run of it is under way, and once more when none is.

use std::time::Duration;

use crate::base::{BROKEN, HELD, NOT_PLAYED, has_trouble, need, note, pause, wait};
use crate::fleet::{Fleet, lines_of, note_job};

/// Asks for one run; ends the case if the command is not accepted.
fn start(fleet: &Fleet, member: usize, when: &str) {
    let (code, text) = fleet.command(member, &["duty", "start", "filing"]);
    note(&format!("operator, {when}: fleet duty start filing: exit code {code}, {:?}", text.trim()));
    if code != 0 {
        crate::base::end(NOT_PLAYED);
    }
}

pub fn play() -> i32 {
    // The default lease; the job takes 4 s.
    let fleet = Fleet::start(10, 10_000, 40, 5);
    let owner = fleet.start_one_run(Duration::from_secs(30));
    let observer = (owner + 1) % 3;
    if has_trouble() {
        pause(1500);
        start(&fleet, observer, "while the run is under way");
    }
    need("the first run has ended", Duration::from_secs(10), || !lines_of("done").is_empty());
    note("the first run has ended with exit code 0");
    pause(10_000);
    need("no run is under way", Duration::from_secs(10), || {
        lines_of("began").len() == lines_of("done").len()
    });
    let before = lines_of("began").len();
    note(&format!("10 s later the job has begun {before} times, and no run is under way"));
    start(&fleet, observer, "while no run is under way");
    let is_run = wait(Duration::from_secs(40), || lines_of("began").len() > before);
    pause(if is_run { 4500 } else { 0 });
    note_job();
    fleet.note_history(observer);
    let requested = if has_trouble() { 3 } else { 2 };
    note(&format!(
        "{requested} runs were requested and accepted; the job began {} times",
        lines_of("began").len()
    ));
    note(&format!("the request while no run was under way was run within 40 s: {is_run}"));
    if is_run { HELD } else { BROKEN }
}
