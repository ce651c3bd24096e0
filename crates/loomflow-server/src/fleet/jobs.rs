//! The operators' jobs on this server: each run is a process of this same program, `loomflow fleet duty run`, which starts the
//! job, asks for its ownership again and again, and ends it before the lease can be over, whatever becomes of this server.
//! What is decided is decided in `loomflow_fleet::duty::job`; here are the processes.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

use loomflow_fleet::duty::job::{Act, Exit, Runs};
use loomflow_fleet::duty::tenure::Change;
use loomflow_fleet::duty::{Answer, DutyName, Note, Token};
use loomflow_fleet::member::{Ms, RequestId};
use loomflow_fleet::node::Node;
use loomflow_settings::duties::{Duties as Options, Job};
use rustix::process::{Pid, Signal, kill_process};

use super::duty_command::{GAVE_UP, NEVER_OWNED};
use crate::log;

/// Whoever does a duty's work by hand asks at least so often; one that was silent for longer is gone, ms.
const SILENT: Ms = 2_000;

struct One {
    runs: Runs,
    child: Option<Child>,
}

pub struct Jobs {
    /// Those with a program, where programs are switched on.
    set: BTreeMap<DutyName, Job>,
    at_work: BTreeMap<DutyName, One>,
    /// Processes of former tokens that have not ended yet.
    former: Vec<Child>,
    /// Runs whose beginning or end is on its way into the record.
    writes: BTreeMap<RequestId, (DutyName, Token, bool)>,
    /// Duties whose work somebody does by hand, with when they last asked.
    by_hand: BTreeMap<DutyName, Ms>,
    socket: PathBuf,
}

impl Jobs {
    pub fn new(options: Option<&Options>, socket: &Path) -> Jobs {
        let with_program = |options: &Options| {
            let jobs = options.jobs.iter().filter(|job| options.programs && !job.run.is_empty());
            jobs.map(|job| (job.name.clone(), job.clone())).collect()
        };
        Jobs {
            set: options.map(with_program).unwrap_or_default(),
            at_work: BTreeMap::new(),
            former: Vec::new(),
            writes: BTreeMap::new(),
            by_hand: BTreeMap::new(),
            socket: socket.to_owned(),
        }
    }

    /// Whether a process is about to end, so that it is to be looked at soon.
    pub fn is_ending(&self) -> bool {
        self.at_work.values().any(|one| one.child.is_some() && one.runs.is_ending())
    }

    /// A duty came, is to go, or is gone.
    pub fn changed(&mut self, change: Change, node: &mut Node, now: Ms) {
        match change {
            Change::Took(grant) if self.set.contains_key(&grant.duty) => {
                // One of a former token may still be ending: its process sees that it is not the owner any more.
                let one = One { runs: Runs::new(&grant), child: None };
                if let Some(child) = self.at_work.insert(grant.duty, one).and_then(|before| before.child) {
                    // By a word and not by force: it ends the job's group before itself.
                    signal(&child, Signal::TERM);
                    self.former.push(child);
                }
            }
            Change::Took(_) => {}
            Change::HandOver(duty, _) if self.at_work.contains_key(&duty) => {}
            Change::HandOver(duty, _) => {
                if self.by_hand.get(&duty).is_none_or(|at| now > at + SILENT) {
                    node.release(&duty, now);
                }
            }
            Change::Lost(duty, _) => drop(self.by_hand.remove(&duty)),
        }
    }

    /// Somebody asks whether this server owns a duty, to do its work by hand.
    pub fn by_hand(&mut self, duty: &str, now: Ms) {
        self.by_hand.insert(duty.to_owned(), now);
    }

    /// Whoever did a duty's work by hand has ended.
    pub fn let_go(&mut self, duty: &str, node: &mut Node, now: Ms) {
        self.by_hand.remove(duty);
        if node.grant(duty).is_some_and(|grant| grant.recalled) {
            node.release(duty, now);
        }
    }

    /// An answer to something that was written down; true where it was one.
    pub fn answered(
        &mut self,
        id: RequestId,
        answer: &loomflow_fleet::order::Answer,
        node: &mut Node,
        now: Ms,
    ) -> bool {
        let Some((duty, token, began)) = self.writes.remove(&id) else { return false };
        if began && let Some(one) = self.at_work.get_mut(&duty).filter(|one| one.runs.token == token) {
            let answer = match answer {
                loomflow_fleet::order::Answer::Duty(Answer::Done) => Some(Ok(())),
                loomflow_fleet::order::Answer::Duty(Answer::Refused(why)) => Some(Err(why.clone())),
                _ => None,
            };
            // A grant whose time is over is none.
            let grant = node.owns(&duty, now).and_then(|_| node.grant(&duty)).cloned();
            let act = one.runs.written(answer.as_ref(), grant.as_ref(), now);
            self.carry_out(&duty, act, node, now);
        }
        true
    }

    /// Begins what is due, and sees to what has ended.
    pub fn tick(&mut self, node: &mut Node, now: Ms) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let duties: Vec<DutyName> = self.at_work.keys().cloned().collect();
        for duty in duties {
            let Some(one) = self.at_work.get_mut(&duty) else { continue };
            let exit = match &mut one.child {
                Some(child) => child.try_wait().ok().flatten().map(|status| match status.code() {
                    Some(0) => Exit::Done,
                    Some(code) if code == i32::from(GAVE_UP) || code == i32::from(NEVER_OWNED) => {
                        Exit::GaveUp
                    }
                    _ => Exit::Failed(status.to_string()),
                }),
                None => None,
            };
            if let Some(exit) = exit {
                one.child = None;
                let act = one.runs.ended(exit, now);
                self.carry_out(&duty, act, node, now);
            }
            let grant = node.owns(&duty, now).and_then(|_| node.grant(&duty)).cloned();
            let Some(one) = self.at_work.get_mut(&duty) else { continue };
            let act = one.runs.step(grant.as_ref(), now, wall);
            if grant.is_none() && !one.runs.is_running() {
                self.at_work.remove(&duty);
            }
            self.carry_out(&duty, act, node, now);
        }
        self.former.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        // Whoever asked by hand and is silent has gone: what waits for it is handed over.
        let silent: Vec<DutyName> =
            self.by_hand.iter().filter(|(_, at)| now > **at + SILENT).map(|(duty, _)| duty.clone()).collect();
        silent.iter().for_each(|duty| self.let_go(duty, node, now));
    }

    fn carry_out(&mut self, duty: &DutyName, act: Option<Act>, node: &mut Node, now: Ms) {
        let Some(one) = self.at_work.get_mut(duty) else { return };
        match act {
            None => {}
            Some(Act::Write(note)) => {
                let began = matches!(note, Note::Began(_));
                let token = one.runs.token;
                let id = node.write(duty, token, note, now);
                self.writes.insert(id, (duty.clone(), token, began));
            }
            Some(Act::Start(run)) => match self.start(duty) {
                Ok(child) => {
                    log!(part = "fleet", duty = duty.as_str(), run, "a run begins");
                    if let Some(one) = self.at_work.get_mut(duty) {
                        one.child = Some(child);
                    }
                }
                Err(why) => {
                    let act =
                        self.at_work.get_mut(duty).and_then(|one| one.runs.ended(Exit::Failed(why), now));
                    self.carry_out(duty, act, node, now);
                }
            },
            Some(Act::Term) => {
                if let Some(child) = &one.child {
                    signal(child, Signal::TERM);
                }
            }
            Some(Act::Release) => {
                self.at_work.remove(duty);
                node.release(duty, now);
            }
        }
    }

    /// Errors: the process cannot be started, in words.
    fn start(&self, duty: &str) -> Result<Child, String> {
        let job = self.set.get(duty).ok_or("it has no program")?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let token = self.at_work.get(duty).map_or(0, |one| one.runs.token);
        Command::new(program)
            .args(["fleet", "duty", "run", duty, "--socket"])
            .arg(&self.socket)
            .args([
                "--token",
                &token.to_string(),
                "--longest",
                &format!("{}s", job.longest().as_secs()),
                "--",
            ])
            .args(&job.run)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("{}: {e}", job.run[0]))
    }

    /// The server ends: what still runs is told so, and ends by itself at the latest with the lease.
    pub fn end(&mut self) {
        for child in self.at_work.values().filter_map(|one| one.child.as_ref()) {
            signal(child, Signal::TERM);
        }
    }
}

fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}
