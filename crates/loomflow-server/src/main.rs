//! The program `loomflow`: a server protected by the overload controller of the library `loomflow`. [`arguments`]
//! parses the command line, and [`run`] executes the subcommand.

mod arguments;
mod budget;
mod clock;
mod close_reason;
mod connection;
mod control_plane;
mod engine;
mod files;
mod fleet;
mod front;
mod idempotency;
mod ledger;
mod log;
mod mailbox;
mod owner;
mod request_table;
mod signals;
mod time;
#[cfg(feature = "try")]
mod try_command;

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

use arguments::Subcommand;
use files::{FileError, Files};
use loomflow_settings::Options;
use loomflow_settings::guard::TakesEffect;

/// Exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;

/// `check-config`: validates the files. If `against` is the configuration of a running server, also prints what a
/// reload would change there, and when each change would take effect.
fn check_config(files: &Files, against: Option<&Path>) -> Result<(), FileError> {
    let (config, _) = files.load()?;
    if let Some(current) = against {
        for change in files.changes(current, &config)? {
            let when = match change.takes_effect {
                TakesEffect::Immediately => "at once",
                TakesEffect::AtNextStart => "from the next start on",
            };
            println!("{}: {} to {}, {when}", change.key, change.current, change.new);
        }
    }
    println!("{}: good", config.name);
    Ok(())
}

/// `serve`: runs a server. Installs the signal handlers first, so that a signal during the start does not kill the
/// process.
fn serve(files: Files) -> Result<(), Box<dyn Error>> {
    let signals = signals::Signals::install()?;
    let (config, options) = files.load()?;
    log::start(options.log.format);
    owner::serve(config, &options, files.config, signals)?;
    Ok(())
}

fn run(subcommand: Subcommand) -> Result<ExitCode, Box<dyn Error>> {
    match subcommand {
        #[cfg(feature = "try")]
        Subcommand::TryFleet => return Ok(try_command::run_fleet()?),
        #[cfg(feature = "try")]
        Subcommand::Try(front) => return Ok(try_command::run(front)?),
        Subcommand::Fleet(parser) => return Ok(run_fleet_command(parser)),
        Subcommand::Serve(files) => serve(files)?,
        Subcommand::CheckConfig { files, against } => check_config(&files, against.as_deref())?,
        Subcommand::Schema => println!("{}", Options::schema()),
        Subcommand::Version => println!("loomflow {}", env!("CARGO_PKG_VERSION")),
        Subcommand::Help => print!("{}", arguments::USAGE),
    }
    Ok(ExitCode::SUCCESS)
}

fn run_fleet_command(parser: lexopt::Parser) -> ExitCode {
    loomflow_fleet_commands::run(parser)
        .unwrap_or_else(|error| usage_error(&error, loomflow_fleet_commands::USAGE))
}

/// Prints the error in a command line and the help text.
fn usage_error(error: &dyn Error, usage: &str) -> ExitCode {
    eprint!("loomflow: {error}\n{usage}");
    ExitCode::from(EXIT_USAGE)
}

fn main() -> ExitCode {
    let subcommand = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(subcommand) => subcommand,
        Err(error) => return usage_error(&error, arguments::USAGE),
    };
    run(subcommand).unwrap_or_else(|error| {
        eprintln!("loomflow: {error}");
        ExitCode::FAILURE
    })
}
