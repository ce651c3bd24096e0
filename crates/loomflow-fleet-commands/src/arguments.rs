//! Parses the command line of `loomflow fleet` into a [`CommandLine`].

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

/// Default of `--timeout`: how long `work wait` waits.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(30 * 60);
/// Default of `--longest`: how long a duty's process may run.
const DEFAULT_MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Options that take a value. `--json`, `--yes` and `--all` take none.
const OPTIONS_WITH_VALUE: [&str; 16] = [
    "options", "socket", "server", "zone", "file", "reason", "urgency", "for", "window", "timeout", "duty",
    "token", "wait", "longest", "campaign", "batch",
];

/// A parsed command line.
pub enum CommandLine {
    /// Print the help text.
    Help,
    /// A command that is sent to the server.
    Server {
        command: FleetSubcommand,
        /// The path of the operators' socket.
        socket: PathBuf,
        /// Whether to print JSON instead of tables.
        is_json: bool,
    },
    /// Run a command behind a fence file; needs no server.
    Fence { file: PathBuf, duty: String, token: Token, command: Vec<OsString> },
}

/// A command that is sent to the server.
pub enum FleetSubcommand {
    Status,
    Explain(String),
    CreateTickets(TicketOptions),
    TransitionTickets(Transition, Vec<TicketId>),
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

/// All arguments as given, before they are combined into a [`CommandLine`].
struct Arguments {
    /// Arguments that are neither options nor values of options.
    positional: Vec<String>,
    /// The program after `--`, with its arguments.
    command: Vec<OsString>,
    options_file: Option<PathBuf>,
    socket: Option<PathBuf>,
    is_json: bool,
    /// `--yes`, which `recover` requires.
    is_confirmed: bool,
    tickets: TicketOptions,
    /// `--timeout` of `work wait`.
    wait_timeout: Duration,
    duty: Option<String>,
    token: Option<Token>,
    /// `--wait` of `duty run`.
    ownership_timeout: Duration,
    /// `--longest` of `duty run`.
    max_duration: Duration,
}

/// Parses a command line.
///
/// # Errors
/// It is invalid, or the options file that names the socket cannot be used.
pub fn parse(mut parser: lexopt::Parser) -> Result<CommandLine, UsageError> {
    let mut arguments = Arguments::read(&mut parser)?;
    match arguments.positional.first().map(String::as_str) {
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

/// Splits the arguments at `--`: returns a parser of those before it, and the command after it.
fn split_command(parser: &mut lexopt::Parser) -> Result<(lexopt::Parser, Vec<OsString>), UsageError> {
    let mut arguments: Vec<OsString> = parser.raw_args()?.collect();
    let separator = arguments.iter().position(|argument| argument == "--").unwrap_or(arguments.len());
    let command = arguments.split_off(separator).into_iter().skip(1).collect();
    Ok((lexopt::Parser::from_args(arguments), command))
}

impl Arguments {
    fn read(parser: &mut lexopt::Parser) -> Result<Arguments, UsageError> {
        let (mut parser, command) = split_command(parser)?;
        let mut arguments = Arguments {
            positional: Vec::new(),
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
                Value(argument) => arguments.positional.push(argument.to_string_lossy().into_owned()),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }

    /// Sets one option of [`OPTIONS_WITH_VALUE`].
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
            "for" => tickets.duration = Some(duration(&text)?),
            "window" => tickets.window = Some(parse_window(&text)?),
            "campaign" => tickets.campaign = Some(text),
            "batch" => {
                tickets.batch_size = text.parse().map_err(|_| UsageError::InvalidBatchSize(text))?;
            }
            "duty" => self.duty = Some(text),
            "token" => self.token = Some(text.parse().map_err(|_| UsageError::InvalidToken(text))?),
            "wait" => self.ownership_timeout = duration(&text)?,
            "longest" => self.max_duration = duration(&text)?,
            _ => self.wait_timeout = duration(&text)?,
        }
        Ok(())
    }

    fn positional(&self) -> Vec<&str> {
        self.positional.iter().map(String::as_str).collect()
    }

    fn fence(self) -> Result<CommandLine, UsageError> {
        let file = self.positional.get(1).ok_or(UsageError::Missing("fence: FILE is missing"))?.into();
        let duty = self.duty.ok_or(UsageError::Missing("fence: --duty is missing"))?;
        let token = self.token.ok_or(UsageError::Missing("fence: --token is missing"))?;
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
                return Err(UsageError::Missing("no server given: use --options FILE or --socket PATH"));
            }
        };
        Ok(CommandLine::Server { command, socket, is_json: self.is_json })
    }

    fn fleet_command(&mut self) -> Result<FleetSubcommand, UsageError> {
        let command = match self.positional().as_slice() {
            ["status"] => FleetSubcommand::Status,
            ["explain", server] => FleetSubcommand::Explain((*server).to_owned()),
            ["work", work @ ..] => return self.work_command(&to_strings(work)),
            ["found"] => FleetSubcommand::Bootstrap,
            ["recover"] if self.is_confirmed => FleetSubcommand::Recover,
            ["recover"] => return Err(UsageError::NotConfirmed),
            [] => return Err(UsageError::Missing("fleet: no command given")),
            arguments => return Err(UsageError::UnknownCommand(arguments.join(" "))),
        };
        Ok(command)
    }

    /// Parses the arguments after `work`.
    fn work_command(&mut self, arguments: &[String]) -> Result<FleetSubcommand, UsageError> {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        Ok(match arguments.as_slice() {
            ["ask"] if self.tickets.server_selectors() == 1 => {
                FleetSubcommand::CreateTickets(std::mem::take(&mut self.tickets))
            }
            ["ask"] => {
                let message = "work ask: exactly one of --server, --zone, --all and --file is required";
                return Err(UsageError::Missing(message));
            }
            ["campaigns"] => FleetSubcommand::ListCampaigns,
            ["resume", name] => FleetSubcommand::Campaign(CampaignCommand::Resume((*name).to_owned())),
            ["drop", name] => FleetSubcommand::Campaign(CampaignCommand::Drop((*name).to_owned())),
            ["withdraw", ids @ ..] => {
                FleetSubcommand::TransitionTickets(Transition::Withdraw, ticket_ids(ids)?)
            }
            ["write-off", ids @ ..] => {
                FleetSubcommand::TransitionTickets(Transition::Abandon, ticket_ids(ids)?)
            }
            ["pause", reason @ ..] => FleetSubcommand::Pause(reason.join(" ")),
            ["resume"] => FleetSubcommand::Resume,
            ["list"] => FleetSubcommand::ListTickets,
            ["history"] => FleetSubcommand::History,
            ["watch"] => FleetSubcommand::Watch,
            ["wait"] => match self.tickets.servers.as_slice() {
                [server] => FleetSubcommand::Wait { server: server.clone(), timeout: self.wait_timeout },
                _ => return Err(UsageError::Missing("work wait: exactly one --server is required")),
            },
            _ => return Err(UsageError::UnknownCommand(self.positional.join(" "))),
        })
    }

    /// Parses the arguments after `duty`.
    fn duty_command(&mut self) -> Result<DutySubcommand, UsageError> {
        let arguments = to_strings(&self.positional()[1..]);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        Ok(match arguments.as_slice() {
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
            ["run", _] => return Err(UsageError::Missing("duty run NAME -- COMMAND: COMMAND is missing")),
            arguments => return Err(UsageError::UnknownDutyCommand(arguments.join(" "))),
        })
    }
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(|argument| (*argument).to_owned()).collect()
}

fn duration(text: &str) -> Result<Duration, UsageError> {
    Ok(parse_duration(text)?)
}

fn ticket_ids(arguments: &[&str]) -> Result<Vec<TicketId>, UsageError> {
    if arguments.is_empty() {
        return Err(UsageError::Missing("work: no ticket number given"));
    }
    let id =
        |argument: &&str| argument.parse().map_err(|_| UsageError::InvalidTicket((*argument).to_owned()));
    arguments.iter().map(id).collect()
}

fn urgency(text: &str) -> Result<Urgency, UsageError> {
    match text {
        "routine" => Ok(Urgency::Routine),
        "urgent" => Ok(Urgency::Urgent),
        "broken" => Ok(Urgency::Broken),
        other => Err(UsageError::UnknownUrgency(other.to_owned())),
    }
}
