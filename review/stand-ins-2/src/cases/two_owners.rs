//! An operator moves a duty to another owner while its job runs.

use std::time::Duration;

use crate::base::{BROKEN, HELD, has_trouble, note, pause, wait};
use crate::fleet::{Fleet, job_lines, lines_of, note_job};

/// How long two jobs may be seen side by side because of the resolution of what they write.
const RESOLUTION_MS: u64 = 300;

pub fn play() -> i32 {
    // The job takes 15 s, or 14 s from SIGTERM: less than half a lease, in which it may end.
    let fleet = Fleet::start(40, 10_000, 150, 140);
    let owner = fleet.start_one_run(Duration::from_secs(70));
    let observer = (owner + 1) % 3;
    let first = lines_of("began")[0].token;
    if has_trouble() {
        pause(1000);
        let (code, _) = fleet.command(observer, &["duty", "release", "filing"]);
        note(&format!("operator: fleet duty release filing: exit code {code}"));
    }
    wait(Duration::from_secs(18), || {
        let is_over = job_lines().iter().any(|line| line.token == first && line.what == "done");
        is_over || lines_of("began").len() > 1
    });
    pause(6000);
    note_job();
    fleet.note_history(observer);
    let Some(second) = lines_of("began").into_iter().find(|line| line.token != first) else {
        note("no other server has started the job");
        return HELD;
    };
    let lines = job_lines();
    let last_of_first =
        lines.iter().filter(|line| line.token == first).map(|line| line.at_ms).max().unwrap_or(0);
    let overlap = last_of_first.saturating_sub(second.at_ms);
    note(&format!(
        "the job of token {} began while that of token {first} ran; both ran for {overlap} ms",
        second.token
    ));
    if overlap > RESOLUTION_MS { BROKEN } else { HELD }
}
