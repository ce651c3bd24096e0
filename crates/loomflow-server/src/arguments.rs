//! The command line of `loomflow`, parsed into a [`Subcommand`].

use std::path::PathBuf;

use lexopt::prelude::*;
use thiserror::Error;

use crate::files::Files;

/// The help text of `loomflow`.
pub const USAGE: &str = "\
usage: loomflow <command> [--config FILE] [--options FILE]

  try            run a demonstration of ten seconds against test servers on loopback, print a table
                 (--front amqp: through a queue; --fleet: five servers, each maintained once)
  serve          run one server until SIGTERM, which shuts it down gracefully
  check-config   validate the configuration and the options, print each fault
                 (--against FILE: and what a server with that configuration would change on a reload)
  fleet          show and maintain the servers of a fleet: `loomflow fleet help`
  schema         print the JSON schema of the options file
  version        print the version
  help           print this help

  --config FILE   the configuration (default: the file that PROXY_CONFIG names)
  --options FILE  options beyond those of the platform, as YAML (default: the file that
                  LOOMFLOW_OPTIONS names, or none)
";

/// The subcommand of the command line, with its arguments.
pub enum Subcommand {
    /// `try`: demonstrate a single server, whose requests arrive by this front.
    #[cfg(feature = "try")]
    Try(loomflow_load::Front),
    /// `try --fleet`: demonstrate a fleet.
    #[cfg(feature = "try")]
    TryFleet,
    /// `serve`: run a server.
    Serve(Files),
    /// `check-config`: validate the files, and compare the configuration with that of a running server.
    CheckConfig {
        /// The files to validate.
        files: Files,
        /// The configuration of the running server; none if there is nothing to compare with.
        against: Option<PathBuf>,
    },
    /// `schema`: print the JSON schema of the options file.
    Schema,
    /// `version` or `--version`: print the version.
    Version,
    /// `help` or `--help`: print the help text.
    Help,
    /// `fleet`: run a command on a fleet. The remaining arguments are parsed by `loomflow-fleet-commands`.
    Fleet(lexopt::Parser),
}

/// The command line is invalid.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An unknown option, or one without its value.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
    /// Neither `--config` nor `PROXY_CONFIG` names a configuration.
    #[error("no configuration: give --config FILE or set PROXY_CONFIG")]
    NoConfig,
    /// The value of `--front` is not a front.
    #[cfg(feature = "try")]
    #[error("unknown front {0:?}: expected resp or amqp")]
    UnknownFront(String),
    /// The option belongs to another command.
    #[error("the option {option} is only valid with the command {command}")]
    MisplacedOption {
        /// Name of the option.
        option: &'static str,
        /// The command that has this option.
        command: &'static str,
    },
    /// There is no command with this name.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// The command line has no command.
    #[error("no command given")]
    NoCommand,
}

/// The command line before it is checked: the name of the subcommand, and all options.
struct Arguments {
    command: Option<String>,
    config: Option<PathBuf>,
    options: Option<PathBuf>,
    against: Option<PathBuf>,
    front: Option<String>,
    is_fleet: bool,
}

/// Parses the command line. Environment variables replace `--config` and `--options` if these are missing.
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
            Value(name) if arguments.command.is_none() && name == "fleet" => {
                return Ok(Subcommand::Fleet(parser));
            }
            Value(name) if arguments.command.is_none() => {
                arguments.command = Some(name.to_string_lossy().into_owned());
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
