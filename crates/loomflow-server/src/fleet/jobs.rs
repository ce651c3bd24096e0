//! The operators' jobs on this server. Each run is a process of this same program, `loomflow fleet duty run`, which starts the
//! job's program, polls the ownership of the duty and terminates the program before the lease can expire, even if this server
//! has stopped. `loomflow_fleet::duty::job` decides what to do; this module handles the processes.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

use loomflow_fleet::command::FleetResponse;
use loomflow_fleet::duty::client_session::OwnershipChange;
use loomflow_fleet::duty::job::{Exit, JobAction, JobRuns};
use loomflow_fleet::duty::workers::{WorkerId, Workers};
use loomflow_fleet::duty::{DutyName, DutyResponse, OwnedDuty, OwnerUpdate, Token};
use loomflow_fleet::member::FleetRequestId;
use loomflow_fleet::node::Node;
use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet_commands::exit_code;
use loomflow_settings::duties::{Duties as Options, Job};
use rustix::process::{Pid, Signal, kill_process};

use crate::log;

/// Why the process of a run cannot be started; the fleet stores the message as the reason of the failed run.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("this server has no program for the job of the duty")]
    NoProgram,
    #[error("the path of this program cannot be determined: {0}")]
    CurrentExe(io::Error),
    #[error("the process that runs {program} cannot be started: {source}")]
    Spawn { program: String, source: io::Error },
}

/// A duty that this server owns and has a program for.
struct OwnedJob {
    runs: JobRuns,
    /// The process of the current run.
    child: Option<Child>,
}

/// A write to the fleet's state that has no response yet.
struct PendingWrite {
    duty: DutyName,
    token: Token,
    /// Whether the write records the beginning of a run, which starts once the write is committed.
    is_begin: bool,
}

/// The operators' jobs on this server.
pub struct Jobs {
    /// Jobs with a program; empty unless `fleet.duties.programs` is set.
    configured: BTreeMap<DutyName, Job>,
    owned: BTreeMap<DutyName, OwnedJob>,
    /// Processes started under a former token that have not ended yet.
    former_children: Vec<Child>,
    pending_writes: BTreeMap<FleetRequestId, PendingWrite>,
    /// The processes that may be doing the work of duties: those of runs, and those that others have started.
    workers: Workers,
    /// The operators' socket, which the processes query.
    socket: PathBuf,
}

impl Jobs {
    /// Creates the jobs of the options. `socket` is the path of the operators' socket.
    pub fn new(options: Option<&Options>, socket: &Path) -> Jobs {
        let with_program = |options: &Options| {
            let jobs = options.jobs.iter().filter(|job| options.programs && !job.run.is_empty());
            jobs.map(|job| (job.name.clone(), job.clone())).collect()
        };
        Jobs {
            configured: options.map(with_program).unwrap_or_default(),
            owned: BTreeMap::new(),
            former_children: Vec::new(),
            pending_writes: BTreeMap::new(),
            workers: Workers::default(),
            socket: socket.to_owned(),
        }
    }

    /// Whether a running process was told to terminate, so that it should be polled soon.
    pub fn is_terminating(&self) -> bool {
        self.owned.values().any(|job| job.child.is_some() && job.runs.is_terminating())
    }

    /// Handles a duty that was acquired, has to be released, or is lost.
    pub fn ownership_changed(&mut self, change: OwnershipChange) {
        match change {
            OwnershipChange::Acquired(owned) if self.configured.contains_key(&owned.duty) => {
                self.acquire(owned);
            }
            OwnershipChange::Acquired(_) => {}
            // [`Jobs::tick`] releases the duty once its work has ended. The processes of a lost duty detect that by
            // themselves.
            OwnershipChange::ReleaseRequested(..) | OwnershipChange::Lost(..) => {}
        }
    }

    fn acquire(&mut self, owned: OwnedDuty) {
        // A process started under a former token may still be running. It detects by itself that its token is
        // superseded.
        let job = OwnedJob { runs: JobRuns::new(&owned), child: None };
        let former = self.owned.insert(owned.duty, job).and_then(|former| former.child);
        if let Some(child) = former {
            // SIGTERM, not SIGKILL: the process has to terminate the job's process group before it exits.
            send_signal(&child, Signal::TERM);
            self.former_children.push(child);
        }
    }

    /// The processes that may be doing the work of duties.
    pub fn workers(&mut self) -> &mut Workers {
        &mut self.workers
    }

    /// Handles the response to a write. Returns false if the request `id` is not a write of this module.
    pub fn handle_write_response(
        &mut self,
        id: FleetRequestId,
        response: &FleetResponse,
        node: &mut Node,
        now: IntegerMillis,
    ) -> bool {
        let Some(PendingWrite { duty, token, is_begin }) = self.pending_writes.remove(&id) else {
            return false;
        };
        let job = self.owned.get_mut(&duty).filter(|job| is_begin && job.runs.token == token);
        if let Some(job) = job {
            let result = match response {
                FleetResponse::Duty(DutyResponse::Done) => Some(Ok(())),
                FleetResponse::Duty(DutyResponse::Rejected(rejection)) => Some(Err(rejection.clone())),
                _ => None,
            };
            let owned = currently_owned(node, &duty, now);
            let action = job.runs.begin_result(result.as_ref(), owned.as_ref(), now);
            self.execute(&duty, action, node, now);
        }
        true
    }

    /// Starts runs that are due, and handles processes that have ended or no longer query ownership.
    pub fn tick(&mut self, node: &mut Node, now: IntegerMillis) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let duties: Vec<DutyName> = self.owned.keys().cloned().collect();
        for duty in duties {
            self.reap(&duty, node, now);
            self.advance(&duty, node, now, unix_time.as_secs());
        }
        self.former_children.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        self.workers.expire(now);
        self.release_recalled(node, now);
    }

    /// Releases the recalled duties of which no process does the work any more.
    fn release_recalled(&self, node: &mut Node, now: IntegerMillis) {
        for (duty, _) in node.owned_duties(now) {
            let is_recalled = node.session_duty(&duty).is_some_and(|owned| owned.is_recalled);
            if is_recalled && !self.owned.contains_key(&duty) && !self.workers.is_any_at_work(&duty, now) {
                log!(part = "fleet", duty, "the duty is released: no process does its work any more");
                node.release(&duty, now);
            }
        }
    }

    /// Handles the end of a duty's process, if it has ended.
    fn reap(&mut self, duty: &DutyName, node: &mut Node, now: IntegerMillis) {
        let Some(job) = self.owned.get_mut(duty) else { return };
        let Some(Ok(Some(status))) = job.child.as_mut().map(Child::try_wait) else { return };
        // A supervisor that was killed has not ended the program of its run: that may be at work for the rest of the lease.
        if let Some(child) = job.child.take().filter(|_| status.code().is_some()) {
            self.workers.ended(duty, worker_id(&child));
        }
        let action = job.runs.process_ended(exit_reason(status), now);
        self.execute(duty, action, node, now);
    }

    /// Executes the next action that a duty's runs require.
    fn advance(&mut self, duty: &DutyName, node: &mut Node, now: IntegerMillis, unix_seconds: u64) {
        let owned = currently_owned(node, duty, now);
        let Some(job) = self.owned.get_mut(duty) else { return };
        let action = job.runs.step(owned.as_ref(), now, unix_seconds);
        if owned.is_none() && !job.runs.is_running() {
            self.owned.remove(duty);
        }
        self.execute(duty, action, node, now);
    }

    fn execute(&mut self, duty: &DutyName, action: Option<JobAction>, node: &mut Node, now: IntegerMillis) {
        let Some(job) = self.owned.get_mut(duty) else { return };
        match action {
            None => {}
            Some(JobAction::Write(update)) => {
                let is_begin = matches!(update, OwnerUpdate::Began(_));
                let token = job.runs.token;
                let id = node.write(duty, token, update, now);
                self.pending_writes.insert(id, PendingWrite { duty: duty.clone(), token, is_begin });
            }
            Some(JobAction::Start(run)) => match self.start(duty) {
                Ok(child) => {
                    log!(part = "fleet", duty = duty.as_str(), run, "the run's process has started");
                    if let Some(job) = self.owned.get_mut(duty) {
                        job.child = Some(child);
                    }
                }
                Err(error) => {
                    let exit = Exit::Failed(error.to_string());
                    let job = self.owned.get_mut(duty);
                    let action = job.and_then(|job| job.runs.process_ended(exit, now));
                    self.execute(duty, action, node, now);
                }
            },
            Some(JobAction::Terminate) => {
                if let Some(child) = &job.child {
                    send_signal(child, Signal::TERM);
                }
            }
            // No run goes on: [`Jobs::release_recalled`] follows in the same tick.
            Some(JobAction::Release) => drop(self.owned.remove(duty)),
        }
    }

    /// Starts the process of a run: `loomflow fleet duty run`.
    fn start(&self, duty: &str) -> Result<Child, StartError> {
        let job = self.configured.get(duty).ok_or(StartError::NoProgram)?;
        let program = std::env::current_exe().map_err(StartError::CurrentExe)?;
        let token = self.owned.get(duty).map_or(0, |job| job.runs.token).to_string();
        let max_duration = format!("{}s", job.max_duration().as_secs());
        Command::new(program)
            .args(["fleet", "duty", "run", duty, "--socket"])
            .arg(&self.socket)
            .args(["--token", &token, "--longest", &max_duration, "--"])
            .args(&job.run)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|source| StartError::Spawn { program: job.run[0].clone(), source })
    }

    /// Sends SIGTERM to every process, at shutdown. A process that does not end on this signal still ends
    /// before its lease expires.
    pub fn terminate_all(&mut self) {
        for child in self.owned.values().filter_map(|job| job.child.as_ref()) {
            send_signal(child, Signal::TERM);
        }
    }
}

/// Returns the duty if this server owns it at `now`.
fn currently_owned(node: &Node, duty: &str, now: IntegerMillis) -> Option<OwnedDuty> {
    node.owned_token(duty, now).and_then(|_| node.session_duty(duty)).cloned()
}

/// The id under which a process of this server's queries ownership.
fn worker_id(child: &Child) -> WorkerId {
    WorkerId(child.id() as i32)
}

fn exit_reason(status: ExitStatus) -> Exit {
    let has_code = |code: u8| status.code() == Some(i32::from(code));
    if status.success() {
        Exit::Done
    } else if has_code(exit_code::OWNERSHIP_LOST) || has_code(exit_code::NEVER_OWNED) {
        Exit::OwnershipLost
    } else {
        Exit::Failed(status.to_string())
    }
}

fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}
