//! The command line of `loomflow fleet`, read into a [`CommandLine`].

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use loomflow_fleet::duty::{DutyCommand, Token};
use loomflow_fleet::maintenance::campaign::CampaignCommand;
use loomflow_fleet::maintenance::ticket::{TicketId, Transition, Urgency};
use loomflow_settings::Options;
use loomflow_settings::campaign::{parse_duration, parse_window};

use crate::duties::DutySubcommand;
use crate::error::UsageError;
use crate::job_process::RunOptions;
use crate::tickets::TicketOptions;

/// How long `work wait` waits without `--timeout`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(30 * 60);
/// How long a duty's process may run without `--longest`.
const DEFAULT_MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Options that take a value.
const OPTIONS_WITH_VALUE: [&str; 16] = [
    "options", "socket", "server", "zone", "file", "reason", "urgency", "for", "window", "timeout", "duty",
    "token", "wait", "longest", "campaign", "batch",
];

/// What the command line asks for.
pub enum CommandLine {
    /// The help text.
    Help,
    /// Something of a server.
    Server {
        command: FleetSubcommand,
        /// The operators' socket.
        socket: PathBuf,
        /// Whether JSON is wanted.
        is_json: bool,
    },
    /// A receiver's fence; of no server.
    Fence { file: PathBuf, duty: String, token: Token, command: Vec<OsString> },
}

/// What is asked of a server.
pub enum FleetSubcommand {
    Status,
    Explain(String),
    CreateTickets(TicketOptions),
    MoveTickets(Transition, Vec<TicketId>),
    Pause(String),
    Resume,
    ListTickets,
    History,
    Watch,
    Wait { server: String, timeout: Duration },
    Duty(DutySubcommand),
    ListCampaigns,
    Campaign(CampaignCommand),
    Bootstrap,
    Recover,
}

/// All options and words, before they are put together.
struct Arguments {
    words: Vec<String>,
    /// What stands behind `--`.
    command: Vec<OsString>,
    options_file: Option<PathBuf>,
    socket: Option<PathBuf>,
    is_json: bool,
    is_confirmed: bool,
    tickets: TicketOptions,
    wait_timeout: Duration,
    duty: Option<String>,
    token: Option<Token>,
    ownership_timeout: Duration,
    max_duration: Duration,
}

/// Reads a command line.
///
/// # Errors
/// It is wrong.
pub fn parse(mut parser: lexopt::Parser) -> Result<CommandLine, UsageError> {
    let mut arguments = Arguments::read(&mut parser)?;
    match arguments.words.first().map(String::as_str) {
        Some("help") => Ok(CommandLine::Help),
        Some("fence") => arguments.fence(),
        Some("duty") => {
            let command = FleetSubcommand::Duty(arguments.duty_command()?);
            arguments.server(command)
        }
        _ if !arguments.command.is_empty() => Err(UsageError::UnusedCommand),
        _ => {
            let command = arguments.fleet_command()?;
            arguments.server(command)
        }
    }
}

/// The command behind `--`, and a parser of what stands before it.
fn split_command(parser: &mut lexopt::Parser) -> Result<(lexopt::Parser, Vec<OsString>), UsageError> {
    let mut words: Vec<OsString> = parser.raw_args()?.collect();
    let at = words.iter().position(|argument| argument == "--").unwrap_or(words.len());
    let command = words.split_off(at).into_iter().skip(1).collect();
    Ok((lexopt::Parser::from_args(words), command))
}

impl Arguments {
    fn read(parser: &mut lexopt::Parser) -> Result<Arguments, UsageError> {
        let (mut parser, command) = split_command(parser)?;
        let mut arguments = Arguments {
            words: Vec::new(),
            command,
            options_file: std::env::var_os("LOOMFLOW_OPTIONS").map(PathBuf::from),
            socket: None,
            is_json: false,
            is_confirmed: false,
            tickets: TicketOptions::default(),
            wait_timeout: DEFAULT_WAIT_TIMEOUT,
            duty: None,
            token: None,
            ownership_timeout: Duration::ZERO,
            max_duration: DEFAULT_MAX_DURATION,
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("json") => arguments.is_json = true,
                Long("yes") => arguments.is_confirmed = true,
                Long("all") => arguments.tickets.is_for_all = true,
                Long(name) if OPTIONS_WITH_VALUE.contains(&name) => {
                    let name = name.to_owned();
                    arguments.set(&name, parser.value()?)?;
                }
                Value(argument) => arguments.words.push(argument.to_string_lossy().into_owned()),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }

    /// Takes in one option of [`OPTIONS_WITH_VALUE`].
    fn set(&mut self, name: &str, value: OsString) -> Result<(), UsageError> {
        let text = value.to_string_lossy().into_owned();
        let tickets = &mut self.tickets;
        match name {
            "options" => self.options_file = Some(value.into()),
            "socket" => self.socket = Some(value.into()),
            "server" => tickets.servers.push(text),
            "zone" => tickets.zone = Some(text),
            "file" => tickets.file = Some(value.into()),
            "reason" => tickets.reason = text,
            "urgency" => tickets.urgency = urgency(&text)?,
            "for" => tickets.duration = Some(span(&text)?),
            "window" => tickets.window = Some(parse_window(&text)?),
            "campaign" => tickets.campaign = Some(text),
            "batch" => {
                tickets.batch_size = text.parse().map_err(|_| UsageError::NotANumber(text))?;
            }
            "duty" => self.duty = Some(text),
            "token" => self.token = Some(text.parse().map_err(|_| UsageError::NotAToken(text))?),
            "wait" => self.ownership_timeout = span(&text)?,
            "longest" => self.max_duration = span(&text)?,
            _ => self.wait_timeout = span(&text)?,
        }
        Ok(())
    }

    fn words(&self) -> Vec<&str> {
        self.words.iter().map(String::as_str).collect()
    }

    fn fence(self) -> Result<CommandLine, UsageError> {
        let file = self.words.get(1).ok_or(UsageError::Missing("fence: which file?"))?.into();
        let duty = self.duty.ok_or(UsageError::Missing("fence: --duty"))?;
        let token = self.token.ok_or(UsageError::Missing("fence: --token"))?;
        Ok(CommandLine::Fence { file, duty, token, command: self.command })
    }

    fn server(self, command: FleetSubcommand) -> Result<CommandLine, UsageError> {
        let socket = match (self.socket, self.options_file) {
            (Some(socket), _) => socket,
            (None, Some(file)) => {
                let options = Options::load(&file)?;
                options.fleet.ok_or(UsageError::NoFleet(file))?.socket()
            }
            (None, None) => {
                return Err(UsageError::Missing("which server? give --options FILE or --socket PATH"));
            }
        };
        Ok(CommandLine::Server { command, socket, is_json: self.is_json })
    }

    fn fleet_command(&mut self) -> Result<FleetSubcommand, UsageError> {
        let command = match self.words().as_slice() {
            ["status"] => FleetSubcommand::Status,
            ["explain", server] => FleetSubcommand::Explain((*server).to_owned()),
            ["work", work @ ..] => return self.work_command(&owned(work)),
            ["found"] => FleetSubcommand::Bootstrap,
            ["recover"] if self.is_confirmed => FleetSubcommand::Recover,
            ["recover"] => return Err(UsageError::NotConfirmed),
            [] => return Err(UsageError::Missing("fleet: what?")),
            words => return Err(UsageError::UnknownCommand(words.join(" "))),
        };
        Ok(command)
    }

    /// What follows `work`.
    fn work_command(&mut self, words: &[String]) -> Result<FleetSubcommand, UsageError> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        Ok(match words.as_slice() {
            ["ask"] if self.tickets.ways_to_choose_servers() == 1 => {
                FleetSubcommand::CreateTickets(std::mem::take(&mut self.tickets))
            }
            ["ask"] => {
                let message = "one of --server, --zone, --all and --file says which servers";
                return Err(UsageError::Missing(message));
            }
            ["campaigns"] => FleetSubcommand::ListCampaigns,
            ["resume", name] => FleetSubcommand::Campaign(CampaignCommand::Resume((*name).to_owned())),
            ["drop", name] => FleetSubcommand::Campaign(CampaignCommand::Drop((*name).to_owned())),
            ["withdraw", ids @ ..] => FleetSubcommand::MoveTickets(Transition::Withdraw, ticket_ids(ids)?),
            ["write-off", ids @ ..] => FleetSubcommand::MoveTickets(Transition::Abandon, ticket_ids(ids)?),
            ["pause", reason @ ..] => FleetSubcommand::Pause(reason.join(" ")),
            ["resume"] => FleetSubcommand::Resume,
            ["list"] => FleetSubcommand::ListTickets,
            ["history"] => FleetSubcommand::History,
            ["watch"] => FleetSubcommand::Watch,
            ["wait"] => match self.tickets.servers.as_slice() {
                [server] => FleetSubcommand::Wait { server: server.clone(), timeout: self.wait_timeout },
                _ => return Err(UsageError::Missing("work wait: one --server")),
            },
            _ => return Err(UsageError::UnknownCommand(self.words.join(" "))),
        })
    }

    /// What follows `duty`.
    fn duty_command(&mut self) -> Result<DutySubcommand, UsageError> {
        let words = owned(&self.words()[1..]);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        Ok(match words.as_slice() {
            ["list"] => DutySubcommand::List,
            ["history"] => DutySubcommand::History,
            ["show", duty] => DutySubcommand::Show((*duty).to_owned()),
            ["release", duty] => DutySubcommand::Execute(DutyCommand::Recall((*duty).to_owned())),
            ["park", duty, reason @ ..] => {
                DutySubcommand::Execute(DutyCommand::Park((*duty).to_owned(), reason.join(" ")))
            }
            ["resume", duty] => DutySubcommand::Execute(DutyCommand::Resume((*duty).to_owned())),
            ["start", duty] => {
                DutySubcommand::Execute(DutyCommand::Run((*duty).to_owned(), fastrand::u64(..)))
            }
            ["run", duty] if !self.command.is_empty() => DutySubcommand::Run(RunOptions {
                duty: (*duty).to_owned(),
                token: self.token,
                ownership_timeout: self.ownership_timeout,
                max_duration: self.max_duration,
                command: std::mem::take(&mut self.command),
            }),
            ["run", _] => return Err(UsageError::Missing("duty run NAME -- COMMAND: which command?")),
            words => return Err(UsageError::UnknownDutyCommand(words.join(" "))),
        })
    }
}

fn owned(words: &[&str]) -> Vec<String> {
    words.iter().map(|argument| (*argument).to_owned()).collect()
}

fn span(text: &str) -> Result<Duration, UsageError> {
    Ok(parse_duration(text)?)
}

fn ticket_ids(words: &[&str]) -> Result<Vec<TicketId>, UsageError> {
    if words.is_empty() {
        return Err(UsageError::Missing("which ticket?"));
    }
    let id = |argument: &&str| argument.parse().map_err(|_| UsageError::NotATicket((*argument).to_owned()));
    words.iter().map(id).collect()
}

fn urgency(text: &str) -> Result<Urgency, UsageError> {
    match text {
        "routine" => Ok(Urgency::Routine),
        "urgent" => Ok(Urgency::Urgent),
        "broken" => Ok(Urgency::Broken),
        other => Err(UsageError::UnknownUrgency(other.to_owned())),
    }
}
