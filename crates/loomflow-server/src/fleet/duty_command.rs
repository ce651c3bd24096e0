//! `loomflow fleet duty …` and `loomflow fleet fence …`: duties for operators and their scripts.

use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, ExitCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loomflow_fleet::duty::fence::{Fence, Shut};
use loomflow_fleet::duty::job::{Blow, Ward, Why};
use loomflow_fleet::duty::{self, Command, DutyName, Listed, Token, check_name};
use loomflow_fleet::member::Ms;
use loomflow_fleet::operator::{Hear, Owned, Say};
use loomflow_fleet::order::{Answer, Ask, By};
use rustix::process::{Pid, Signal, kill_process_group};

use super::command::say_to;
use super::{boot_ms, said};

/// It was never the owner, so nothing was started.
pub const NEVER_OWNED: u8 = 3;
/// The duty went to another, or was about to: what was started has ended.
pub const GAVE_UP: u8 = 4;
/// How often a child is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// How often ownership is asked for where it is not there yet.
const ASK: Duration = Duration::from_millis(200);

/// What is asked of duties.
pub enum What {
    List,
    Show(DutyName),
    History,
    Say(Command),
    Run { duty: DutyName, token: Option<Token>, wait: Duration, longest: Duration, command: Vec<OsString> },
}

/// What follows `duty`. Errors: in words.
pub fn what(
    words: &[&str],
    token: Option<Token>,
    wait: Duration,
    longest: Duration,
    command: Vec<OsString>,
) -> Result<What, String> {
    match words {
        ["list"] => Ok(What::List),
        ["history"] => Ok(What::History),
        ["show", duty] => Ok(What::Show((*duty).to_owned())),
        ["release", duty] => Ok(What::Say(Command::Recall((*duty).to_owned()))),
        ["park", duty, reason @ ..] => Ok(What::Say(Command::Park((*duty).to_owned(), reason.join(" ")))),
        ["resume", duty] => Ok(What::Say(Command::Resume((*duty).to_owned()))),
        ["start", duty] => Ok(What::Say(Command::Run((*duty).to_owned(), fastrand::u64(..)))),
        ["run", duty] if !command.is_empty() => {
            Ok(What::Run { duty: (*duty).to_owned(), token, wait, longest, command })
        }
        ["run", _] => Err("duty run NAME -- COMMAND: which command?".into()),
        _ => Err(format!("fleet duty: unknown: {}", words.join(" "))),
    }
}

/// Runs it. Errors: refused or not reached, in words.
pub fn run(what: What, socket: &Path, json: bool) -> Result<ExitCode, String> {
    let list = || match say_to(socket, &Say::Fleet(Ask::Duties))? {
        Hear::Answer(Answer::Duty(duty::Answer::List(list))) => Ok(list),
        Hear::Answer(Answer::Refused(why)) => Err(said::refusal(&why)),
        other => Err(format!("{other:?}")),
    };
    let print = |text: String, value: serde_json::Result<String>| {
        println!("{}", if json { value.map_err(|e| e.to_string())? } else { text.trim_end().to_owned() });
        Ok(ExitCode::SUCCESS)
    };
    match what {
        What::List => {
            let list: Box<Listed> = list()?;
            print(said::duties(&list), serde_json::to_string_pretty(&list.duties))
        }
        What::History => {
            let list = list()?;
            print(said::duty_events(&list.events), serde_json::to_string_pretty(&list.events))
        }
        What::Show(duty) => {
            let mut list = list()?;
            list.duties.retain(|row| row.duty == duty);
            list.events.retain(|event| event.duty == duty);
            let row = list.duties.first().ok_or_else(|| format!("no duty is called {duty:?}"))?;
            print(said::duties(&list) + &said::duty_events(&list.events), serde_json::to_string_pretty(row))
        }
        What::Say(command) => {
            let who = std::env::var("USER").unwrap_or_else(|_| "operator".into());
            let command = loomflow_fleet::order::Command::Duty(command);
            match say_to(socket, &Say::Fleet(Ask::Do { by: By::Operator(who), command }))? {
                Hear::Answer(Answer::Duty(duty::Answer::Done)) => print("done".into(), Ok("\"done\"".into())),
                Hear::Answer(Answer::Duty(duty::Answer::Refused(why))) => Err(said::duty_refusal(&why)),
                Hear::Answer(Answer::Refused(why)) => Err(said::refusal(&why)),
                other => Err(format!("{other:?}")),
            }
        }
        What::Run { duty, token, wait, longest, command } => {
            own_and_run(socket, &duty, token, wait, longest, &command)
        }
    }
}

/// Asks whether the server owns a duty now; counted from before it was asked.
fn owned(socket: &Path, duty: &str) -> Result<Option<(Owned, Ms)>, String> {
    let asked = boot_ms();
    match say_to(socket, &Say::Owns(duty.to_owned()))? {
        Hear::Owned(owned) => {
            let until = asked + owned.left;
            Ok(Some((owned, until)))
        }
        Hear::NotOwned => Ok(None),
        other => Err(format!("{other:?}")),
    }
}

/// Runs a command as the owner of a duty, in a process group of its own, and ends it before the lease can be over.
fn own_and_run(
    socket: &Path,
    duty: &str,
    wanted: Option<Token>,
    wait: Duration,
    longest: Duration,
    command: &[OsString],
) -> Result<ExitCode, String> {
    let told_to_end = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, told_to_end.clone()).map_err(|e| e.to_string())?;
    }
    let patience = Instant::now() + wait;
    let (owned_now, until) = loop {
        let answer = owned(socket, duty)?;
        let ours = answer.filter(|(one, _)| !one.recalled && wanted.is_none_or(|token| token == one.token));
        match ours {
            Some(found) => break found,
            None if Instant::now() >= patience || told_to_end.load(Ordering::Relaxed) => {
                eprintln!("loomflow: {duty}: this server does not own it");
                return Ok(ExitCode::from(NEVER_OWNED));
            }
            None => std::thread::sleep(ASK),
        }
    };
    let token = owned_now.token;
    let mut child = Process::new(&command[0])
        .args(&command[1..])
        .env("LOOMFLOW_DUTY", duty)
        .env("LOOMFLOW_TOKEN", token.to_string())
        .env("LOOMFLOW_CHECKPOINT", String::from_utf8_lossy(&owned_now.checkpoint).as_ref())
        .process_group(0)
        .spawn()
        .map_err(|e| format!("{}: {e}", command[0].to_string_lossy()))?;
    // The asking must not hold up the watch: the server may be stopped in the middle of an answer.
    let (tell, told) = std::sync::mpsc::channel();
    let every = Duration::from_millis(owned_now.terms.lease / 10);
    let (asked_at, asked_for) = (socket.to_owned(), duty.to_owned());
    std::thread::spawn(move || {
        while tell.send(owned(&asked_at, &asked_for)).is_ok() {
            std::thread::sleep(every);
        }
    });
    let mut ward = Ward::new(owned_now.terms, until, longest.as_millis() as Ms, boot_ms());
    let ended = loop {
        if let Some(status) = child.try_wait().map_err(|e| e.to_string())? {
            break status;
        }
        let now = boot_ms();
        for answer in told.try_iter() {
            match answer {
                Ok(Some((one, until))) if one.token == token => {
                    ward.owned(until);
                    if one.recalled {
                        ward.hand_over(now);
                    }
                }
                // Another token, or none: it is somebody else's by now.
                Ok(_) => ward.lost(now),
                // Not reached: what is left of the lease counts.
                Err(_) => {}
            }
        }
        if told_to_end.load(Ordering::Relaxed) {
            ward.hand_over(now);
        }
        match ward.step(now) {
            Some(Blow::Term) => blow(&child, Signal::TERM),
            Some(Blow::Kill) => blow(&child, Signal::KILL),
            None => std::thread::sleep(LOOK),
        }
    };
    // What it left behind in its group goes with it.
    blow(&child, Signal::KILL);
    let _ = say_to(socket, &Say::LetGo(duty.to_owned()));
    match ward.why() {
        // It ended well before it was touched, or by itself on the first word.
        _ if ended.success() => Ok(ExitCode::SUCCESS),
        Some(Why::HandOver | Why::Lease) => {
            eprintln!("loomflow: {duty}: token {token} was given up; {ended}");
            Ok(ExitCode::from(GAVE_UP))
        }
        Some(Why::TooLong) => Err(format!("{duty}: it took longer than it may; {ended}")),
        None => Err(format!("{duty}: {ended}")),
    }
}

/// To the whole group.
fn blow(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process_group(pid, signal);
    }
}

/// `loomflow fleet fence FILE`: the receiver's half for scripts. Under a lock on the file's neighbour, refuses a lower token,
/// writes the higher one down, and runs the command.
pub fn fence(file: &Path, duty: &str, token: Token, command: &[OsString]) -> Result<ExitCode, String> {
    check_name(duty).map_err(|why| said::duty_refusal(&why))?;
    if command.is_empty() {
        return Err("fence FILE --duty D --token N -- COMMAND: which command?".into());
    }
    let fault = |e: std::io::Error| format!("{}: {e}", file.display());
    let beside = |end: &str| -> PathBuf {
        let mut name = file.as_os_str().to_owned();
        name.push(end);
        name.into()
    };
    let lock = OpenOptions::new().create(true).append(true).open(beside(".lock")).map_err(fault)?;
    // Held until this process ends: the effect is done behind it.
    lock.lock().map_err(fault)?;
    let mut fence = match std::fs::read(file) {
        Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| format!("{}: {e}", file.display()))?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Fence::default(),
        Err(e) => return Err(fault(e)),
    };
    match fence.admit(duty, token, |fence| keep(file, &beside(".new"), fence)) {
        Ok(()) => {}
        Err(why @ Shut::Stale { .. }) => {
            eprintln!("loomflow: {duty}: {why}");
            return Ok(ExitCode::from(GAVE_UP));
        }
        Err(why) => return Err(format!("{duty}: {why}")),
    }
    let status = Process::new(&command[0])
        .args(&command[1..])
        .status()
        .map_err(|e| format!("{}: {e}", command[0].to_string_lossy()))?;
    drop(lock);
    Ok(status.code().and_then(|code| u8::try_from(code).ok()).map_or(ExitCode::FAILURE, ExitCode::from))
}

/// Writes the fence beside its file and puts it in its place, durable before this returns.
fn keep(file: &Path, new: &Path, fence: &Fence) -> std::io::Result<()> {
    let bytes = serde_json::to_vec(fence).map_err(std::io::Error::other)?;
    let mut out = File::create(new)?;
    out.write_all(&bytes)?;
    out.sync_all()?;
    std::fs::rename(new, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
