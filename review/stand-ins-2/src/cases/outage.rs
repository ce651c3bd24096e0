//! A majority of the voters is killed for a while, within the lease of the owner. The owner's job ends meanwhile.

use std::time::Duration;

use crate::base::{BROKEN, HELD, has_trouble, need, note, pause, wait};
use crate::fleet::{Fleet, lines_of, note_job};

pub fn play() -> i32 {
    let mut fleet = Fleet::start(30, 10_000, 30, 5);
    let owner = fleet.start_one_run(Duration::from_secs(60));
    let others = [(owner + 1) % 3, (owner + 2) % 3];
    pause(500);
    if has_trouble() {
        others.iter().for_each(|member| fleet.kill(*member));
    }
    need("the job has ended with success", Duration::from_secs(10), || !lines_of("done").is_empty());
    note("the job has ended with exit code 0");
    pause(13_000);
    if has_trouble() {
        others.iter().for_each(|member| fleet.restart(*member));
    }
    need("the fleet has a leader", Duration::from_secs(15), || {
        fleet.command(owner, &["duty", "list"]).0 == 0 && fleet.owner(owner).is_some()
    });
    let still = fleet.owner(owner) == Some(owner);
    note(&format!("the fleet has a leader; the duty is still with {}: {still}", fleet.members[owner].name));
    fleet.note_history(owner);
    // The servers that were started again get no session until those of their former processes have expired.
    note("waiting for a lease, so that the other servers may own the duty");
    pause(34_000);
    let (code, _) = fleet.command(owner, &["duty", "release", "filing"]);
    note(&format!("operator: fleet duty release filing: exit code {code}"));
    let is_repeated = wait(Duration::from_secs(15), || lines_of("began").len() > 1);
    pause(if is_repeated { 4500 } else { 0 });
    note_job();
    fleet.note_history(owner);
    let (began, done) = (lines_of("began").len(), lines_of("done").len());
    note(&format!("one run was requested; its job began {began} times and ended with success {done} times"));
    if is_repeated { BROKEN } else { HELD }
}
