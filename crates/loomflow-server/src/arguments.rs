//! The command line of `loomflow`, parsed into a [`Subcommand`].

use std::path::PathBuf;

use lexopt::prelude::*;
use thiserror::Error;

use crate::files::Files;

/// The help text.
pub const USAGE: &str = "\
usage: loomflow <command> [--config FILE] [--options FILE]

  try            see it work: ten seconds among stand-ins on loopback, and a table
                 (--front amqp: by way of a queue; --fleet: five servers, each taken out in turn)
  serve          run one server until it is told to leave by SIGTERM
  check-config   read the configuration, say what is wrong with it, serve nothing
                 (--against FILE: and what of it a server with that one would take up)
  fleet          the servers of a fleet, and their turns to be out for work: `loomflow fleet help`
  schema         print the JSON schema of the options file
  version        print the version
  help           print this

  --config FILE   the configuration; without it, the file that PROXY_CONFIG names
  --options FILE  what is offered beyond the platform, as YAML; without it, the file
                  that LOOMFLOW_OPTIONS names, or nothing
";

/// The subcommand of the command line, with its arguments.
pub enum Subcommand {
    /// Try out a single server.
    #[cfg(feature = "try")]
    Try(loomflow_load::Front),
    /// Try out a fleet.
    #[cfg(feature = "try")]
    TryFleet,
    /// Run a server.
    Serve(Files),
    /// Validate the files, and compare the configuration with that of a running server.
    CheckConfig {
        /// The files to validate.
        files: Files,
        /// The configuration of the running server.
        against: Option<PathBuf>,
    },
    /// Print the schema of the options file.
    Schema,
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
    /// A command of `loomflow fleet`, which parses the remaining arguments itself.
    Fleet(lexopt::Parser),
}

/// The command line is invalid.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An unknown option, or one without its value.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
    /// Neither `--config` nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set PROXY_CONFIG")]
    NoConfig,
    /// A value of `--front` that is not known.
    #[cfg(feature = "try")]
    #[error("unknown front {0:?}: resp or amqp")]
    UnknownFront(String),
    /// An option that the command does not have.
    #[error("{option} is for {command}")]
    MisplacedOption {
        /// The option.
        option: &'static str,
        /// The command that has it.
        command: &'static str,
    },
    /// No such command.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// The command is missing.
    #[error("no command")]
    NoCommand,
}

/// Options and the name of the subcommand, as they were parsed.
struct Arguments {
    command: Option<String>,
    config: Option<PathBuf>,
    options: Option<PathBuf>,
    against: Option<PathBuf>,
    front: Option<String>,
    is_fleet: bool,
}

/// Parses the command line.
pub fn parse(mut parser: lexopt::Parser) -> Result<Subcommand, UsageError> {
    let path_from_environment = |name| std::env::var_os(name).map(PathBuf::from);
    let mut arguments = Arguments {
        command: None,
        config: path_from_environment("PROXY_CONFIG"),
        options: path_from_environment("LOOMFLOW_OPTIONS"),
        against: None,
        front: None,
        is_fleet: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Subcommand::Help),
            Short('V') | Long("version") => return Ok(Subcommand::Version),
            Long("config") => arguments.config = Some(parser.value()?.into()),
            Long("options") => arguments.options = Some(parser.value()?.into()),
            Long("against") => arguments.against = Some(parser.value()?.into()),
            Long("fleet") => arguments.is_fleet = true,
            Long("front") => arguments.front = Some(parser.value()?.to_string_lossy().into_owned()),
            Value(word) if arguments.command.is_none() && word == "fleet" => {
                return Ok(Subcommand::Fleet(parser));
            }
            Value(word) if arguments.command.is_none() => {
                arguments.command = Some(word.to_string_lossy().into_owned());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    arguments.into_subcommand()
}

impl Arguments {
    fn into_subcommand(self) -> Result<Subcommand, UsageError> {
        match self.command.as_deref() {
            #[cfg(feature = "try")]
            Some("try") => self.try_subcommand(),
            _ if self.is_fleet => Err(UsageError::MisplacedOption { option: "--fleet", command: "try" }),
            _ if self.front.is_some() => {
                Err(UsageError::MisplacedOption { option: "--front", command: "try" })
            }
            Some("serve") => Ok(Subcommand::Serve(self.files()?)),
            Some("check-config") => {
                let against = self.against.clone();
                Ok(Subcommand::CheckConfig { files: self.files()?, against })
            }
            _ if self.against.is_some() => {
                Err(UsageError::MisplacedOption { option: "--against", command: "check-config" })
            }
            Some("schema") => Ok(Subcommand::Schema),
            Some("version") => Ok(Subcommand::Version),
            Some("help") => Ok(Subcommand::Help),
            Some(other) => Err(UsageError::UnknownCommand(other.to_owned())),
            None => Err(UsageError::NoCommand),
        }
    }

    #[cfg(feature = "try")]
    fn try_subcommand(&self) -> Result<Subcommand, UsageError> {
        if self.is_fleet {
            return Ok(Subcommand::TryFleet);
        }
        match self.front.as_deref() {
            None | Some("resp") => Ok(Subcommand::Try(loomflow_load::Front::Resp)),
            Some("amqp") => Ok(Subcommand::Try(loomflow_load::Front::Amqp)),
            Some(other) => Err(UsageError::UnknownFront(other.to_owned())),
        }
    }

    fn files(self) -> Result<Files, UsageError> {
        let config = self.config.ok_or(UsageError::NoConfig)?;
        Ok(Files { config, options: self.options })
    }
}
