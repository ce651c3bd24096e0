//! `loomflow fleet …`: what an operator says to the server on this machine, and through it to the fleet.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use lexopt::prelude::*;
use loomflow_fleet::operator::{Hear, Say};
use loomflow_fleet::order::campaign as campaign_order;
use loomflow_fleet::order::state::Happened;
use loomflow_fleet::order::ticket::{Move, Stage, Ticket, TicketId, Urgency, Wanted};
use loomflow_fleet::order::{Answer, Ask, By, Command, Status};
use loomflow_settings::Options;
use loomflow_settings::campaign::{self, Campaign};

use super::{duty_command, said};

pub const USAGE: &str = "\
usage: loomflow fleet <what> [--options FILE | --socket PATH] [--json]

  status                      members by zone, shares, leader, who is out and why
  explain NAME                why this server waits, rule by rule, with figures
  work ask (--server NAME)… | --zone ZONE | --all | --file FILE
           [--reason TEXT] [--urgency routine|urgent|broken] [--for 20m] [--window 30m..4h]
                              tickets to be taken out for work
           [--campaign NAME --batch N]
                              the same N at a time; halts when a batch comes back worse (needs fleet.duties)
  work campaigns | resume NAME | drop NAME
                              how far each is; on where it halted; no further
  work withdraw|write-off TICKET…
  work pause REASON | resume  no grants until resumed
  work list | history         open tickets; what happened
  work watch                  until no ticket is open, with a bar
  work wait --server NAME [--timeout 30m]
                              until it has drained: 0 then, 3 when it may not go, 4 when superseded
  duty list | show NAME | history
                              who owns which duty, by which token; who did when
  duty run NAME [--wait 30s] [--longest 1h] -- COMMAND
                              as the owner of the duty, with LOOMFLOW_DUTY and LOOMFLOW_TOKEN set; ended before its
                              lease can be over: 0 done, 1 it failed, 3 never the owner, 4 given up
  duty start NAME             its owner runs its program once, now
  duty release|park|resume NAME [REASON]
                              to another owner; to none; again
  fence FILE --duty NAME --token N -- COMMAND
                              runs it unless a later owner was here: 4 then; else its own code
  found                       begin a fleet with this voter, once
  recover --yes               make the fleet anew from this voter's folder, when a majority of folders is lost

  --options FILE   the server's options file; without it, the file that LOOMFLOW_OPTIONS names
  --socket PATH    the operators' socket itself

exit codes: 0 done, 1 refused or not reached, 2 wrong command line, 3 it may not go or never owned, 4 superseded
";

/// An answer is waited for so long: longer than the server itself waits for the leader.
const PATIENCE: Duration = Duration::from_secs(15);
/// How often the fleet is looked at while something is waited for.
const LOOK: Duration = Duration::from_millis(500);
const MAY_NOT_GO: u8 = 3;
const SUPERSEDED: u8 = 4;
/// A server may be silent for so long before it counts as gone: it was being asked while it ended.
const GONE: usize = 4;

enum What {
    Status,
    Explain(String),
    Ask(Asking),
    Move(Move, Vec<TicketId>),
    Pause(String),
    Resume,
    List,
    History,
    Watch,
    Wait { server: String, timeout: Duration },
    Duty(duty_command::What),
    Campaigns,
    Campaign(campaign_order::Command),
    Found,
    Recover,
}

#[derive(Default)]
struct Asking {
    servers: Vec<String>,
    zone: Option<String>,
    all: bool,
    file: Option<PathBuf>,
    reason: String,
    urgency: Urgency,
    lasts: Option<Duration>,
    window: Option<(Duration, Duration)>,
    /// A campaign of that name, and its tickets at once.
    campaign: Option<String>,
    batch: u32,
}

/// What the command line asks for.
enum Asked {
    /// Of a server by its socket, and whether JSON is wanted.
    Server { what: What, socket: PathBuf, json: bool },
    /// Of no server: a receiver's fence.
    Fence { file: PathBuf, duty: String, token: u64, command: Vec<OsString> },
}

/// Runs it. Errors: the command line is wrong, in words.
pub fn run(parser: lexopt::Parser) -> Result<ExitCode, String> {
    let done = match read(parser)? {
        Asked::Server { what, socket, json } => Fleet { socket, json }.run(what),
        Asked::Fence { file, duty, token, command } => duty_command::fence(&file, &duty, token, &command),
    };
    Ok(done.unwrap_or_else(|why| {
        eprintln!("loomflow: {why}");
        ExitCode::FAILURE
    }))
}

/// The command behind `--`, and what stands before it.
fn split(parser: &mut lexopt::Parser) -> Result<(lexopt::Parser, Vec<OsString>), String> {
    let mut words: Vec<OsString> = parser.raw_args().map_err(|e| e.to_string())?.collect();
    let at = words.iter().position(|word| word == "--").unwrap_or(words.len());
    let command = words.split_off(at).into_iter().skip(1).collect();
    Ok((lexopt::Parser::from_args(words), command))
}

fn read(mut parser: lexopt::Parser) -> Result<Asked, String> {
    let (mut parser, command) = split(&mut parser)?;
    let (mut duty, mut token, mut wait) = (None, None, Duration::ZERO);
    let mut longest = Duration::from_secs(3_600);
    let mut options = std::env::var_os("LOOMFLOW_OPTIONS").map(PathBuf::from);
    let (mut socket, mut json, mut yes) = (None, false, false);
    let mut asking = Asking::default();
    let mut timeout = Duration::from_secs(30 * 60);
    let mut words: Vec<String> = Vec::new();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let known = matches!(
            arg,
            Long(
                "options"
                    | "socket"
                    | "server"
                    | "zone"
                    | "file"
                    | "reason"
                    | "urgency"
                    | "for"
                    | "window"
                    | "timeout"
                    | "duty"
                    | "token"
                    | "wait"
                    | "longest"
                    | "campaign"
                    | "batch"
            )
        );
        let name = match arg {
            Long("json") => {
                json = true;
                continue;
            }
            Long("yes") => {
                yes = true;
                continue;
            }
            Long("all") => {
                asking.all = true;
                continue;
            }
            Long(name) if known => name.to_owned(),
            Value(word) => {
                words.push(word.to_string_lossy().into_owned());
                continue;
            }
            other => return Err(other.unexpected().to_string()),
        };
        let value = parser.value().map_err(|e| e.to_string())?;
        let text = value.to_string_lossy().into_owned();
        match name.as_str() {
            "options" => options = Some(value.into()),
            "socket" => socket = Some(PathBuf::from(value)),
            "server" => asking.servers.push(text),
            "zone" => asking.zone = Some(text),
            "file" => asking.file = Some(value.into()),
            "reason" => asking.reason = text,
            "urgency" => asking.urgency = urgency(&text)?,
            "for" => asking.lasts = Some(campaign::duration(&text)?),
            "window" => asking.window = Some(campaign::span_of(&text)?),
            "campaign" => asking.campaign = Some(text),
            "batch" => asking.batch = text.parse().map_err(|_| format!("{text:?} is no number"))?,
            "duty" => duty = Some(text),
            "token" => token = Some(text.parse().map_err(|_| format!("{text:?} is no token"))?),
            "wait" => wait = campaign::duration(&text)?,
            "longest" => longest = campaign::duration(&text)?,
            _ => timeout = campaign::duration(&text)?,
        }
    }
    if words.first().is_some_and(|word| word == "help") {
        print!("{USAGE}");
        std::process::exit(0);
    }
    if let Some("fence") = words.first().map(String::as_str) {
        let file = words.get(1).ok_or("fence: which file?")?;
        let (duty, token) = (duty.ok_or("fence: --duty")?, token.ok_or("fence: --token")?);
        return Ok(Asked::Fence { file: file.into(), duty, token, command });
    }
    let what = match words.split_first() {
        Some((first, rest)) if first == "duty" => {
            let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
            What::Duty(duty_command::what(&rest, token, wait, longest, command)?)
        }
        _ if !command.is_empty() => return Err("-- COMMAND is for duty run and fence".into()),
        _ => what(&words, asking, timeout, yes)?,
    };
    let socket = match (socket, options) {
        (Some(socket), _) => socket,
        (None, Some(file)) => {
            let fleet = Options::load(&file)?.fleet;
            fleet.ok_or_else(|| format!("{}: fleet: missing", file.display()))?.socket()
        }
        (None, None) => return Err("which server? give --options FILE or --socket PATH".into()),
    };
    Ok(Asked::Server { what, socket, json })
}

fn what(words: &[String], asking: Asking, timeout: Duration, yes: bool) -> Result<What, String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let tickets = |words: &[&str]| -> Result<Vec<TicketId>, String> {
        let numbers = words.iter().map(|word| word.parse().map_err(|_| format!("{word:?} is no ticket")));
        let numbers: Vec<_> = numbers.collect::<Result<_, _>>()?;
        if numbers.is_empty() { Err("which ticket?".into()) } else { Ok(numbers) }
    };
    match words.as_slice() {
        ["status"] => Ok(What::Status),
        ["explain", name] => Ok(What::Explain((*name).to_owned())),
        ["work", "ask"] => {
            let ways = [!asking.servers.is_empty(), asking.zone.is_some(), asking.all, asking.file.is_some()];
            if ways.into_iter().filter(|way| *way).count() != 1 {
                return Err("one of --server, --zone, --all and --file says which servers".into());
            }
            Ok(What::Ask(asking))
        }
        ["work", "campaigns"] => Ok(What::Campaigns),
        ["work", "resume", name] => Ok(What::Campaign(campaign_order::Command::Resume((*name).to_owned()))),
        ["work", "drop", name] => Ok(What::Campaign(campaign_order::Command::Drop((*name).to_owned()))),
        ["work", "withdraw", rest @ ..] => Ok(What::Move(Move::Withdraw, tickets(rest)?)),
        ["work", "write-off", rest @ ..] => Ok(What::Move(Move::WriteOff, tickets(rest)?)),
        ["work", "pause", reason @ ..] => Ok(What::Pause(reason.join(" "))),
        ["work", "resume"] => Ok(What::Resume),
        ["work", "list"] => Ok(What::List),
        ["work", "history"] => Ok(What::History),
        ["work", "watch"] => Ok(What::Watch),
        ["work", "wait"] => match asking.servers.as_slice() {
            [server] => Ok(What::Wait { server: server.clone(), timeout }),
            _ => Err("work wait: one --server".into()),
        },
        ["found"] => Ok(What::Found),
        ["recover"] if yes => Ok(What::Recover),
        ["recover"] => {
            Err("recover loses what only the lost folders had agreed on: say --yes if that is meant".into())
        }
        [] => Err("fleet: what?".into()),
        _ => Err(format!("fleet: unknown: {}", words.join(" "))),
    }
}

fn urgency(text: &str) -> Result<Urgency, String> {
    match text {
        "routine" => Ok(Urgency::Routine),
        "urgent" => Ok(Urgency::Urgent),
        "broken" => Ok(Urgency::Broken),
        other => Err(format!("urgency: {other:?} is none of routine, urgent, broken")),
    }
}

/// Open tickets, those that are over, and what happened, newest first where they are over.
type Told = (Vec<Ticket>, Vec<Ticket>, Vec<Happened>);

struct Fleet {
    socket: PathBuf,
    json: bool,
}

impl Fleet {
    fn run(&self, what: What) -> Result<ExitCode, String> {
        match what {
            What::Status => {
                // Without a leader, what this server sees is better than nothing.
                let status = match self.ask(Ask::Status) {
                    Ok(Answer::Status(status)) => status,
                    _ => match self.say(&Say::Here)? {
                        Hear::Here(status) => status,
                        other => return Err(unexpected(&other)),
                    },
                };
                self.print(&*status, || said::status(&status))
            }
            What::Explain(name) => match self.ask(Ask::Explain(name))? {
                Answer::Explained(told) => self.print(&told, || said::explained(&told)),
                other => Err(unexpected(&other)),
            },
            What::Ask(asking) => {
                let wanted = self.wanted(&asking)?;
                match asking.campaign {
                    Some(name) => {
                        let batch = asking.batch.max(1);
                        self.order(Command::Campaign(campaign_order::Command::Start { name, wanted, batch }))
                    }
                    None => self.order(Command::Ask(wanted)),
                }
            }
            What::Move(by, tickets) => {
                let mut code = ExitCode::SUCCESS;
                for ticket in tickets {
                    if let Err(why) = self.order(Command::Move { ticket, by, grant: 0, incarnation: 0 }) {
                        eprintln!("loomflow: ticket {ticket}: {why}");
                        code = ExitCode::FAILURE;
                    }
                }
                Ok(code)
            }
            What::Campaign(command) => self.order(Command::Campaign(command)),
            What::Campaigns => match self.ask(Ask::Campaigns)? {
                Answer::Campaigns(views) => self.print(&views, || said::campaigns(&views)),
                other => Err(unexpected(&other)),
            },
            What::Pause(reason) => self.order(Command::Pause(reason)),
            What::Resume => self.order(Command::Resume),
            What::List => {
                let (open, ..) = self.tickets()?;
                let now = self.status().ok().map(|status| status.time);
                self.print(&open, || said::tickets(&open, now))
            }
            What::History => {
                let (_, _, mut events) = self.tickets()?;
                events.reverse();
                self.print(&events, || said::events(&events))
            }
            What::Watch => self.watch(),
            What::Wait { server, timeout } => self.wait(&server, timeout),
            What::Duty(what) => duty_command::run(what, &self.socket, self.json),
            What::Found => self.done(&Say::Found),
            What::Recover => self.done(&Say::Recover),
        }
    }

    fn print<T: serde::Serialize>(
        &self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<ExitCode, String> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value).map_err(|e| e.to_string())?);
        } else {
            println!("{}", text().trim_end());
        }
        Ok(ExitCode::SUCCESS)
    }

    fn say(&self, say: &Say) -> Result<Hear, String> {
        say_to(&self.socket, say)
    }

    fn ask(&self, ask: Ask) -> Result<Answer, String> {
        match self.say(&Say::Fleet(ask))? {
            Hear::Answer(Answer::Refused(why)) => Err(said::refusal(&why)),
            Hear::Answer(answer) => Ok(answer),
            other => Err(unexpected(&other)),
        }
    }

    fn done(&self, say: &Say) -> Result<ExitCode, String> {
        match self.say(say)? {
            Hear::Done => Ok(ExitCode::SUCCESS),
            other => Err(unexpected(&other)),
        }
    }

    fn order(&self, command: Command) -> Result<ExitCode, String> {
        let who = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        match self.ask(Ask::Do { by: By::Operator(who), command })? {
            Answer::Done(tickets) => self.print(&tickets, || {
                let numbers: Vec<String> = tickets.iter().map(ToString::to_string).collect();
                if numbers.is_empty() { "done".into() } else { format!("tickets {}", numbers.join(" ")) }
            }),
            other => Err(unexpected(&other)),
        }
    }

    fn status(&self) -> Result<Box<Status>, String> {
        match self.ask(Ask::Status)? {
            Answer::Status(status) => Ok(status),
            other => Err(unexpected(&other)),
        }
    }

    fn tickets(&self) -> Result<Told, String> {
        match self.ask(Ask::Tickets)? {
            Answer::Tickets { open, over, events } => Ok((open, over, events)),
            other => Err(unexpected(&other)),
        }
    }

    /// The servers that are meant, with their zones as the fleet knows them.
    fn wanted(&self, asking: &Asking) -> Result<Vec<Wanted>, String> {
        let members = self.status()?.members;
        let zone = |name: &str| members.iter().find(|m| m.name == name).map(|m| m.zone.clone());
        let ms = |span: Duration| span.as_millis() as u64;
        if let Some(file) = &asking.file {
            let tickets = Campaign::load(file)?.tickets;
            return tickets
                .into_iter()
                .map(|work| {
                    let window = work.window.as_deref().map(campaign::span_of).transpose()?;
                    Ok(Wanted {
                        zone: zone(&work.server).ok_or_else(|| format!("{}: no such server", work.server))?,
                        server: work.server,
                        reason: work.reason,
                        urgency: match work.urgency {
                            campaign::Urgency::Routine => Urgency::Routine,
                            campaign::Urgency::Urgent => Urgency::Urgent,
                            campaign::Urgency::Broken => Urgency::Broken,
                        },
                        lasts: ms(campaign::duration(&work.lasts)?),
                        window: window.map(|(from, before)| (ms(from), ms(before))),
                    })
                })
                .collect();
        }
        let servers: BTreeSet<String> = if asking.servers.is_empty() {
            let meant =
                |m: &&loomflow_fleet::order::MemberRow| asking.zone.as_ref().is_none_or(|z| *z == m.zone);
            members.iter().filter(meant).map(|member| member.name.clone()).collect()
        } else {
            asking.servers.iter().cloned().collect()
        };
        if servers.is_empty() {
            return Err("no server stands there".into());
        }
        let one = |server: String| {
            Ok(Wanted {
                zone: zone(&server).ok_or_else(|| format!("{server}: no such server"))?,
                server,
                reason: asking.reason.clone(),
                urgency: asking.urgency,
                lasts: ms(asking.lasts.unwrap_or(Duration::from_secs(20 * 60))),
                window: asking.window.map(|(from, before)| (ms(from), ms(before))),
            })
        };
        servers.into_iter().map(one).collect()
    }

    /// Until no ticket is open. A leader that changes meanwhile is waited for.
    fn watch(&self) -> Result<ExitCode, String> {
        let bar = ProgressBar::new(0);
        let style = ProgressStyle::with_template("{bar:30} {pos}/{len} done  {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        let mut seen: BTreeSet<TicketId> = BTreeSet::new();
        let mut silent = 0;
        loop {
            match self.tickets() {
                Ok((open, ..)) => {
                    silent = 0;
                    seen.extend(open.iter().map(|ticket| ticket.id));
                    bar.set_length(seen.len() as u64);
                    bar.set_position((seen.len() - open.len()) as u64);
                    let out = open.iter().filter(|ticket| ticket.stage.holds_place());
                    let out: Vec<String> =
                        out.map(|t| format!("{} {}", t.wanted.server, t.stage.word())).collect();
                    bar.set_message(out.join(", "));
                    if open.is_empty() {
                        bar.finish();
                        return Ok(ExitCode::SUCCESS);
                    }
                }
                Err(why) if silent >= 40 => return Err(why),
                Err(why) => {
                    silent += 1;
                    bar.set_message(why);
                }
            }
            std::thread::sleep(LOOK);
        }
    }

    /// For a script before a reboot: until the server has drained.
    fn wait(&self, server: &str, timeout: Duration) -> Result<ExitCode, String> {
        let until = Instant::now() + timeout;
        let (mut ticket, mut went, mut silent): (Option<TicketId>, _, _) = (None, false, 0);
        let over = |code: u8, what: &str| {
            println!("{server}: {what}");
            Ok(ExitCode::from(code))
        };
        while Instant::now() < until {
            match self.tickets() {
                Ok((open, closed, _)) => {
                    silent = 0;
                    // The first that is open is the one that is waited for, whatever is asked later.
                    let mine = |t: &&Ticket| t.wanted.server == server && ticket.is_none_or(|id| id == t.id);
                    let found = open
                        .iter()
                        .find(mine)
                        .or_else(|| closed.iter().filter(|_| ticket.is_some()).find(mine));
                    let Some(found) = found else {
                        return over(MAY_NOT_GO, "no ticket of it is open");
                    };
                    ticket = Some(found.id);
                    match found.stage {
                        Stage::Asked | Stage::Granted => {}
                        Stage::Begun | Stage::Draining => went = true,
                        Stage::Out => return over(0, "drained"),
                        Stage::Overdue if found.returned == 0 => return over(0, "drained, and overdue"),
                        Stage::Withdrawn => return over(MAY_NOT_GO, "its ticket was withdrawn"),
                        Stage::Lapsed => return over(MAY_NOT_GO, "its ticket lapsed"),
                        _ => return over(SUPERSEDED, "its turn is past"),
                    }
                }
                // The server that is asked may be the one that goes: its socket ends with it.
                Err(_) if went && !is_there(&self.socket) => {
                    silent += 1;
                    if silent >= GONE {
                        return over(0, "drained, and gone");
                    }
                }
                Err(why) => {
                    silent += 1;
                    if silent >= 40 {
                        return Err(why);
                    }
                }
            }
            std::thread::sleep(LOOK);
        }
        over(MAY_NOT_GO, "it was not its turn in time")
    }
}

fn is_there(socket: &Path) -> bool {
    UnixStream::connect(socket).is_ok()
}

fn unexpected(what: &impl std::fmt::Debug) -> String {
    match format!("{what:?}") {
        text if text.len() < 300 => text,
        _ => "an answer to something else".into(),
    }
}

/// Says one thing on an operators' socket and gives the answer. Errors: nobody listens there, or it does not answer.
pub fn say_to(socket: &Path, say: &Say) -> Result<Hear, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    let mut line = serde_json::to_vec(say).map_err(|e| e.to_string())?;
    line.push(b'\n');
    stream.write_all(&line).map_err(fault)?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(fault)?;
    match serde_json::from_str(&answer).map_err(|e| format!("{}: {e}", socket.display()))? {
        Hear::Fault(why) => Err(why),
        hear => Ok(hear),
    }
}
