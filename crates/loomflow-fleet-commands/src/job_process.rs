//! `loomflow fleet duty run`: runs a program as the owner of a duty, in its own process group, and terminates it before
//! the lease can expire. `loomflow_fleet::duty::supervisor` decides when; this module handles the process and the clock.

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

/// How often the process and its supervisor are polled.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often ownership is queried until the server owns the duty.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How many times per lease ownership is queried while the process runs.
const OWNERSHIP_POLLS_PER_LEASE: u64 = 10;

/// The options of `duty run`.
pub struct RunOptions {
    /// The duty whose owner runs the command.
    pub duty: DutyName,
    /// If set, the command runs only while this is the owner's fencing token.
    pub token: Option<Token>,
    /// How long to wait for ownership before giving up.
    pub ownership_timeout: Duration,
    /// The process is terminated after this time.
    pub max_duration: Duration,
    /// The program with its arguments; never empty.
    pub command: Vec<OsString>,
}

/// A confirmation that the server owns a duty.
struct ConfirmedOwnership {
    confirmation: OwnershipConfirmation,
    /// Earliest possible end of the lease, ms on the boot-time clock.
    valid_until: IntegerMillis,
}

/// The result of an ownership query; `None` if the server does not own the duty.
type OwnershipResult = Result<Option<ConfirmedOwnership>, CommandError>;

/// Waits until the server owns the duty, then runs the program under supervision.
pub fn run(socket: &Path, options: &RunOptions) -> Result<ExitCode, CommandError> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    let Some(ownership) = wait_for_ownership(socket, options, &stop_requested)? else {
        // The server may have recorded this process, under another token than the required one.
        let _ = call(socket, &OperatorRequest::WorkEnded(options.duty.clone()));
        eprintln!("loomflow: {}: this server does not own the duty", options.duty);
        return Ok(ExitCode::from(exit_code::NEVER_OWNED));
    };
    let mut child = start(options, &ownership.confirmation)?;
    let lease_settings = ownership.confirmation.lease_settings;
    let ownership_results = poll_ownership(socket, &options.duty, lease_settings.lease_millis);
    let max_duration = whole_millis(options.max_duration);
    let mut supervisor =
        ProcessSupervisor::new(lease_settings, ownership.valid_until, max_duration, boot_millis());
    let token = ownership.confirmation.token;
    let status = supervise(&mut child, &mut supervisor, token, &ownership_results, &stop_requested)?;
    // Kills the processes that the program left behind in its group.
    send_signal(&child, Signal::KILL);
    let _ = call(socket, &OperatorRequest::WorkEnded(options.duty.clone()));
    exit_code_of(&options.duty, token, supervisor.stop_reason(), status)
}

/// Asks the server whether it owns a duty. The remaining lease is counted from before the query, so that the end is never
/// later than the fleet's.
fn query_ownership(socket: &Path, duty: &str) -> OwnershipResult {
    let queried_at = boot_millis();
    match call(socket, &OperatorRequest::CheckOwnership(duty.to_owned()))? {
        OperatorResponse::Owned(confirmation) => {
            let valid_until = queried_at + confirmation.remaining_millis;
            Ok(Some(ConfirmedOwnership { confirmation, valid_until }))
        }
        OperatorResponse::NotOwned => Ok(None),
        other => Err(CommandError::unexpected(&other)),
    }
}

/// Polls until the server owns the duty with the required token. Returns `None` if it does not within the timeout, or if a
/// stop is requested first.
fn wait_for_ownership(socket: &Path, options: &RunOptions, stop_requested: &AtomicBool) -> OwnershipResult {
    let deadline = Instant::now() + options.ownership_timeout;
    let has_token = |token: Token| options.token.is_none_or(|required| required == token);
    loop {
        let ownership = query_ownership(socket, &options.duty)?;
        let usable = ownership.filter(|ownership| {
            !ownership.confirmation.is_recalled && has_token(ownership.confirmation.token)
        });
        if usable.is_some() || Instant::now() >= deadline || stop_requested.load(Ordering::Relaxed) {
            return Ok(usable);
        }
        std::thread::sleep(OWNERSHIP_POLL_INTERVAL);
    }
}

fn start(options: &RunOptions, ownership: &OwnershipConfirmation) -> Result<Child, CommandError> {
    let (program, arguments) =
        options.command.split_first().expect("the command line parser rejects `duty run` without a program");
    Command::new(program)
        .args(arguments)
        .env("LOOMFLOW_DUTY", &options.duty)
        .env("LOOMFLOW_TOKEN", ownership.token.to_string())
        .env("LOOMFLOW_CHECKPOINT", String::from_utf8_lossy(&ownership.checkpoint).as_ref())
        .process_group(0)
        .spawn()
        .map_err(|source| CommandError::Program { program: program.to_string_lossy().into(), source })
}

/// Queries ownership periodically on a separate thread: the server may be stopped in the middle of a response, which must
/// not block the supervision.
fn poll_ownership(socket: &Path, duty: &str, lease_millis: IntegerMillis) -> Receiver<OwnershipResult> {
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

/// Supervises the process until it has ended and returns its exit status.
fn supervise(
    child: &mut Child,
    supervisor: &mut ProcessSupervisor,
    token: Token,
    ownership_results: &Receiver<OwnershipResult>,
    stop_requested: &AtomicBool,
) -> Result<ExitStatus, CommandError> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        let now = boot_millis();
        for result in ownership_results.try_iter() {
            apply_ownership_result(supervisor, token, result, now);
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

fn apply_ownership_result(
    supervisor: &mut ProcessSupervisor,
    token: Token,
    result: OwnershipResult,
    now: IntegerMillis,
) {
    match result {
        Ok(Some(ownership)) if ownership.confirmation.token == token => {
            supervisor.extend_ownership(ownership.valid_until);
            if ownership.confirmation.is_recalled {
                supervisor.request_stop(now);
            }
        }
        // Another token, or none: another server may own the duty by now.
        Ok(_) => supervisor.ownership_lost(now),
        // The query failed: the process may run until the confirmed lease runs out.
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
        // The process succeeded, before or after it was told to stop.
        _ if status.success() => Ok(ExitCode::SUCCESS),
        Some(StopReason::HandOver | StopReason::LeaseExpiring) => {
            eprintln!("loomflow: {duty}: the process was stopped and token {token} given up; {status}");
            Ok(ExitCode::from(exit_code::OWNERSHIP_LOST))
        }
        Some(StopReason::TimedOut) => Err(CommandError::TimedOut { duty, status }),
        None => Err(CommandError::ProcessFailed { duty, status }),
    }
}

/// Sends a signal to the child's process group.
fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process_group(pid, signal);
    }
}
