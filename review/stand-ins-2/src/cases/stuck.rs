//! A majority of the voters is killed for a while, just after an operator has moved a duty to another owner.

use std::time::Duration;

use crate::base::{BROKEN, HELD, NOT_PLAYED, has_trouble, need, note, pause, wait};
use crate::fleet::{Fleet, lines_of, note_job};

pub fn play() -> i32 {
    // The default lease; the job takes 4 s, or 2.5 s from SIGTERM.
    let mut fleet = Fleet::start(10, 10_000, 40, 25);
    let owner = fleet.start_one_run(Duration::from_secs(30));
    let others = [(owner + 1) % 3, (owner + 2) % 3];
    pause(300);
    let (code, _) = fleet.command(others[0], &["duty", "release", "filing"]);
    note(&format!("operator: fleet duty release filing: exit code {code}"));
    need("the job is asked to end", Duration::from_secs(3), || !lines_of("asked-to-end").is_empty());
    if has_trouble() {
        others.iter().for_each(|member| fleet.kill(*member));
    }
    need("the job has ended", Duration::from_secs(10), || !lines_of("done").is_empty());
    note("the job has ended with exit code 0");
    pause(11_500);
    if has_trouble() {
        others.iter().for_each(|member| fleet.restart(*member));
    }
    need("the fleet has a leader", Duration::from_secs(15), || {
        fleet.command(owner, &["duty", "list"]).0 == 0 && fleet.owner(owner).is_some()
    });
    note("the fleet has a leader");
    fleet.note_history(owner);
    pause(25_000);
    note("25 s later, two and a half leases:");
    fleet.note_history(owner);
    need("no run is under way", Duration::from_secs(10), || {
        lines_of("began").len() == lines_of("done").len()
    });
    let before = lines_of("began").len();
    let (code, text) = fleet.command(owner, &["duty", "start", "filing"]);
    note(&format!("operator: fleet duty start filing: exit code {code}, {:?}", text.trim()));
    if code != 0 {
        return NOT_PLAYED;
    }
    let is_run = wait(Duration::from_secs(25), || lines_of("began").len() > before);
    pause(if is_run { 4500 } else { 0 });
    note_job();
    fleet.note_history(owner);
    let runs: Vec<String> =
        fleet.members.iter().map(|member| format!("{} {}", member.name, member.process.runs())).collect();
    note(&format!("servers that run: {}", runs.join(", ")));
    note(&format!("the accepted request was run within 25 s: {is_run}"));
    if is_run { HELD } else { BROKEN }
}
