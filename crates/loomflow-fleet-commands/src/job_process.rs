//! `loomflow fleet duty run`: runs a program as the owner of a duty, in a process group of its own, and ends it before the lease
//! can expire. When it has to end is decided in `loomflow_fleet::duty::supervisor`; here are the process and the clock.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitCode, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use loomflow_boot_clock::boot_millis;
use loomflow_fleet::duty::supervisor::{ProcessSupervisor, StopReason, StopSignal};
use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::operator::{OperatorRequest, OperatorResponse, OwnershipConfirmation};
use loomflow_fleet::time::{IntegerMillis, whole_millis};
use rustix::process::{Pid, Signal, kill_process_group};

use crate::client::call;
use crate::error::CommandError;
use crate::exit_code;

/// How often the process is looked at.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often ownership is asked for where it is not there yet.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Ownership is asked for this many times within a lease while the process runs.
const OWNERSHIP_POLLS_PER_LEASE: u64 = 10;

/// The options of `duty run`.
pub struct RunOptions {
    pub duty: DutyName,
    /// Run only as the owner with this token.
    pub token: Option<Token>,
    /// How long ownership is waited for.
    pub ownership_timeout: Duration,
    /// How long the process may run.
    pub max_duration: Duration,
    /// The program with its arguments.
    pub command: Vec<OsString>,
}

/// A duty that the server owns, and until when by the clock of this machine.
struct ConfirmedOwnership {
    duty: OwnershipConfirmation,
    valid_until: IntegerMillis,
}

/// What was answered to one question about ownership; none where it is not there.
type OwnershipAnswer = Result<Option<ConfirmedOwnership>, CommandError>;

/// Runs the program, once the server owns the duty.
pub fn run(socket: &Path, options: &RunOptions) -> Result<ExitCode, CommandError> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    let Some(ownership) = wait_for_ownership(socket, options, &stop_requested)? else {
        eprintln!("loomflow: {}: this server does not own it", options.duty);
        return Ok(ExitCode::from(exit_code::NEVER_OWNED));
    };
    let mut child = start(options, &ownership.duty)?;
    let answers = poll_ownership(socket, &options.duty, ownership.duty.lease_settings.lease_millis);
    let max_duration = whole_millis(options.max_duration);
    let mut supervisor = ProcessSupervisor::new(
        ownership.duty.lease_settings,
        ownership.valid_until,
        max_duration,
        boot_millis(),
    );
    let token = ownership.duty.token;
    let status = supervise(&mut child, &mut supervisor, token, &answers, &stop_requested)?;
    // What the process left behind in its group goes with it.
    send_signal(&child, Signal::KILL);
    let _ = call(socket, &OperatorRequest::WorkEnded(options.duty.clone()));
    exit_code_of(&options.duty, token, supervisor.stop_reason(), status)
}

/// Asks whether the server owns a duty now; the lease counts from before it was asked.
fn query_ownership(socket: &Path, duty: &str) -> OwnershipAnswer {
    let queried_at = boot_millis();
    match call(socket, &OperatorRequest::CheckOwnership(duty.to_owned()))? {
        OperatorResponse::Owned(duty) => {
            let valid_until = queried_at + duty.remaining_millis;
            Ok(Some(ConfirmedOwnership { duty, valid_until }))
        }
        OperatorResponse::NotOwned => Ok(None),
        other => Err(CommandError::unexpected(&other)),
    }
}

/// Waits until the server owns the duty; none where it does not in time.
fn wait_for_ownership(socket: &Path, options: &RunOptions, stop_requested: &AtomicBool) -> OwnershipAnswer {
    let deadline = Instant::now() + options.ownership_timeout;
    let has_token = |token: Token| options.token.is_none_or(|wanted| wanted == token);
    loop {
        let answer = query_ownership(socket, &options.duty)?;
        let usable = answer.filter(|one| !one.duty.is_recalled && has_token(one.duty.token));
        if usable.is_some() || Instant::now() >= deadline || stop_requested.load(Ordering::Relaxed) {
            return Ok(usable);
        }
        std::thread::sleep(OWNERSHIP_POLL_INTERVAL);
    }
}

fn start(options: &RunOptions, duty: &OwnershipConfirmation) -> Result<Child, CommandError> {
    let (program, arguments) =
        options.command.split_first().expect("a command line without a program is refused");
    Command::new(program)
        .args(arguments)
        .env("LOOMFLOW_DUTY", &options.duty)
        .env("LOOMFLOW_TOKEN", duty.token.to_string())
        .env("LOOMFLOW_CHECKPOINT", String::from_utf8_lossy(&duty.checkpoint).as_ref())
        .process_group(0)
        .spawn()
        .map_err(|source| CommandError::Program { program: program.to_string_lossy().into(), source })
}

/// Asks for ownership again and again, on a thread of its own: it must not hold up the supervision, as the server may be
/// stopped in the middle of an answer.
fn poll_ownership(socket: &Path, duty: &str, lease_millis: IntegerMillis) -> Receiver<OwnershipAnswer> {
    let (sender, receiver) = channel();
    let interval = Duration::from_millis(lease_millis / OWNERSHIP_POLLS_PER_LEASE);
    let (socket, duty) = (socket.to_owned(), duty.to_owned());
    std::thread::spawn(move || {
        while sender.send(query_ownership(&socket, &duty)).is_ok() {
            std::thread::sleep(interval);
        }
    });
    receiver
}

/// Watches the process until it has ended.
fn supervise(
    child: &mut Child,
    supervisor: &mut ProcessSupervisor,
    token: Token,
    answers: &Receiver<OwnershipAnswer>,
    stop_requested: &AtomicBool,
) -> Result<ExitStatus, CommandError> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        let now = boot_millis();
        for answer in answers.try_iter() {
            apply_answer(supervisor, token, answer, now);
        }
        if stop_requested.load(Ordering::Relaxed) {
            supervisor.request_stop(now);
        }
        match supervisor.step(now) {
            Some(StopSignal::Terminate) => send_signal(child, Signal::TERM),
            Some(StopSignal::Kill) => send_signal(child, Signal::KILL),
            None => std::thread::sleep(PROCESS_POLL_INTERVAL),
        }
    }
}

fn apply_answer(
    supervisor: &mut ProcessSupervisor,
    token: Token,
    answer: OwnershipAnswer,
    now: IntegerMillis,
) {
    match answer {
        Ok(Some(ownership)) if ownership.duty.token == token => {
            supervisor.extend_ownership(ownership.valid_until);
            if ownership.duty.is_recalled {
                supervisor.request_stop(now);
            }
        }
        // Another token, or none: the duty is somebody else's by now.
        Ok(_) => supervisor.ownership_lost(now),
        // Not reached: what is left of the lease counts.
        Err(_) => {}
    }
}

fn exit_code_of(
    duty: &str,
    token: Token,
    stop_reason: Option<StopReason>,
    status: ExitStatus,
) -> Result<ExitCode, CommandError> {
    let duty = duty.to_owned();
    match stop_reason {
        // It succeeded before it was asked to end, or in time after.
        _ if status.success() => Ok(ExitCode::SUCCESS),
        Some(StopReason::HandOver | StopReason::LeaseExpiring) => {
            eprintln!("loomflow: {duty}: token {token} was given up; {status}");
            Ok(ExitCode::from(exit_code::OWNERSHIP_LOST))
        }
        Some(StopReason::TimedOut) => Err(CommandError::TimedOut { duty, status }),
        None => Err(CommandError::ProcessFailed { duty, status }),
    }
}

/// To the whole process group.
fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process_group(pid, signal);
    }
}
