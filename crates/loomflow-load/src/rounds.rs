//! Each machine of a fleet taken out once under load: who goes when is the fleet's own affair; here the machines' part is
//! played (whoever has ended is started again after its work), and it is seen from outside how many were out at once.

use std::time::{Duration, Instant};

use loomflow_standins::fleet::Fleet;

/// What is to be played.
pub struct Round {
    /// How long a machine's work takes.
    pub work: Duration,
    /// After so long one that runs and is not on its way out is killed, and started again a while later.
    pub kill_after: Option<Duration>,
    /// The round is given up after this.
    pub limit: Duration,
}

/// What was seen.
pub struct Seen {
    /// Machines that were out of service at once because they ended by themselves, at the most.
    pub most_out: usize,
    /// Machines that ended by themselves, in their order.
    pub went: Vec<usize>,
    /// Exit codes other than 0.
    pub bad_ends: usize,
    pub took: Duration,
    /// Every machine went once and no ticket is open.
    pub complete: bool,
    pub timeline: Vec<(Duration, String)>,
}

/// A killed machine is started again after this.
const DEAD_FOR: Duration = Duration::from_secs(2);
/// How often the fleet is asked whether it is done.
const ASK: Duration = Duration::from_millis(250);

enum Absent {
    Works(Instant),
    Dead(Instant),
}

fn name(one: usize) -> String {
    format!("n{}", one + 1)
}

/// Plays the round: asks for all, and sees it through.
pub fn play(fleet: &mut Fleet, round: &Round) -> Seen {
    let start = Instant::now();
    let mut seen = Seen {
        most_out: 0,
        went: Vec::new(),
        bad_ends: 0,
        took: Duration::ZERO,
        complete: false,
        timeline: Vec::new(),
    };
    let note = |seen: &mut Seen, what: String| seen.timeline.push((start.elapsed(), what));
    let minutes = format!("{}s", round.work.as_secs() + 30);
    let (code, told, errors) =
        fleet.say(0, &["work", "ask", "--all", "--reason", "round", "--for", &minutes]);
    note(&mut seen, format!("asked for all: {}{}", told.trim(), errors.trim()));
    if code != 0 {
        return seen;
    }
    let mut absent: Vec<Option<Absent>> = fleet.members.iter().map(|_| None).collect();
    let (mut killed, mut asked_at) = (round.kill_after.is_none(), Instant::now());
    while start.elapsed() < round.limit {
        for one in 0..absent.len() {
            match absent[one] {
                Some(Absent::Works(until) | Absent::Dead(until)) if Instant::now() >= until => {
                    note(&mut seen, format!("{} is back", name(one)));
                    fleet.start_one(one);
                    absent[one] = None;
                }
                None if !fleet.runs(one) => {
                    let code = fleet.members[one].world.exit_code();
                    seen.bad_ends += usize::from(code != Some(0));
                    seen.went.push(one);
                    absent[one] = Some(Absent::Works(Instant::now() + round.work));
                    let out = absent.iter().filter(|a| matches!(a, Some(Absent::Works(_)))).count();
                    seen.most_out = seen.most_out.max(out);
                    note(&mut seen, format!("{} has drained and is out, {out} at once", name(one)));
                }
                _ => {}
            }
        }
        if !killed && round.kill_after.is_some_and(|after| start.elapsed() >= after) {
            // One that is not the fleet's next: whoever has been out already and is back.
            if let Some(one) = (0..absent.len()).find(|one| seen.went.contains(one) && absent[*one].is_none())
            {
                killed = true;
                note(&mut seen, format!("{} is killed", name(one)));
                fleet.kill(one);
                absent[one] = Some(Absent::Dead(Instant::now() + DEAD_FOR));
            }
        }
        if absent.iter().all(Option::is_none) && asked_at.elapsed() >= ASK && seen.went.len() >= absent.len()
        {
            asked_at = Instant::now();
            let (code, open, _) = fleet.say(0, &["work", "list", "--json"]);
            if code == 0 && open.trim() == "[]" {
                seen.complete = killed && seen.went.len() == absent.len();
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    seen.took = start.elapsed();
    let end = if seen.complete { "all have been out and are back" } else { "not all came back" };
    note(&mut seen, end.into());
    seen
}
