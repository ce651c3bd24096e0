//! `loomflow`: the decision module on real sockets.

mod budget;
mod clock;
mod close_reason;
mod connection;
mod control_plane;
mod engine;
mod fleet;
mod front;
mod idempotency;
mod ledger;
mod log;
mod mailbox;
mod owner;
mod request_table;
mod signals;
#[cfg(feature = "try")]
mod trial;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use loomflow_settings::guard::{self, Change, ReloadCheck, TakesEffect};
use loomflow_settings::{Config, Options};

const USAGE: &str = "\
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

enum Command {
    #[cfg(feature = "try")]
    Try(loomflow_load::Front),
    #[cfg(feature = "try")]
    TryFleet,
    Serve(Files),
    CheckConfig(Files, Option<PathBuf>),
    Schema,
    Version,
    Help,
    /// What follows is the fleet's own.
    Fleet(lexopt::Parser),
}

/// What a server is told, by the files that tell it.
struct Files {
    config: PathBuf,
    options: Option<PathBuf>,
}

impl Files {
    /// Reads and checks both. Errors name file and key, a line for each fault.
    fn load(&self) -> Result<(Config, Options), String> {
        let config = Config::load(&self.config)?;
        let Some(file) = &self.options else { return Ok((config, Options::default())) };
        let options = Options::load(file)?;
        options.check(&config.site, &config.name).map_err(|faults| {
            let named = faults.lines().map(|fault| format!("{}: {fault}", file.display()));
            named.collect::<Vec<_>>().join("\n")
        })?;
        Ok((config, options))
    }
}

/// What the command line asks for, or what is wrong with it.
fn command(mut parser: lexopt::Parser) -> Result<Command, String> {
    let from = |name| std::env::var_os(name).map(PathBuf::from);
    let (mut name, mut config, mut options) = (None, from("PROXY_CONFIG"), from("LOOMFLOW_OPTIONS"));
    let (mut front, mut against, mut fleet) = (None, None, false);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("config") => config = Some(parser.value().map_err(|e| e.to_string())?.into()),
            Long("options") => options = Some(parser.value().map_err(|e| e.to_string())?.into()),
            Long("against") => against = Some(parser.value().map_err(|e| e.to_string())?.into()),
            Long("fleet") => fleet = true,
            Long("front") => front = Some(parser.value().map_err(|e| e.to_string())?),
            Value(word) if name.is_none() && word == "fleet" => return Ok(Command::Fleet(parser)),
            Value(word) if name.is_none() => name = Some(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let config = config.ok_or("no configuration: give --config FILE or set PROXY_CONFIG");
    let files = config.map(|config| Files { config, options });
    let front = front.as_ref().map(|front| front.to_string_lossy());
    match name.as_deref() {
        #[cfg(feature = "try")]
        Some("try") if fleet => Ok(Command::TryFleet),
        #[cfg(feature = "try")]
        Some("try") => match front.as_deref() {
            None | Some("resp") => Ok(Command::Try(loomflow_load::Front::Resp)),
            Some("amqp") => Ok(Command::Try(loomflow_load::Front::Amqp)),
            Some(other) => Err(format!("unknown front {other:?}: resp or amqp")),
        },
        _ if fleet => Err("--fleet is for try".into()),
        _ if front.is_some() => Err("--front is for try".into()),
        Some("serve") => Ok(Command::Serve(files?)),
        Some("check-config") => Ok(Command::CheckConfig(files?, against)),
        _ if against.is_some() => Err("--against is for check-config".into()),
        Some("schema") => Ok(Command::Schema),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("unknown command {other:?}")),
        None => Err("no command".into()),
    }
}

/// Says whether files are good and, beside those of a server that serves, what it would take up of them and when.
/// Errors: what is wrong with them, or would break a rule there.
fn check(files: &Files, against: Option<&Path>) -> Result<(), String> {
    let (new, _) = files.load()?;
    if let Some(file) = against {
        let old = Config::load(file)?;
        // Nothing is known here of what that server holds: all of it may be in use.
        let changes =
            guard::check_reload(&ReloadCheck { current: &old, new: &new, is_class_in_use: &|_| true })
                .map_err(|faults| {
                    let lines = faults.iter().map(|fault| format!("{}: {fault}", files.config.display()));
                    lines.collect::<Vec<_>>().join("\n")
                })?;
        for Change { key, old, new, takes_effect: when } in changes {
            let when = if when == TakesEffect::Immediately { "at once" } else { "from the next start on" };
            println!("{key}: {old} to {new}, {when}");
        }
    }
    println!("{}: good", new.name);
    Ok(())
}

/// Signals first: from then on none of them ends the process unasked.
fn serve(files: Files) -> Result<(), String> {
    let signals = signals::Signals::install().map_err(|error| error.to_string())?;
    let (config, options) = files.load()?;
    log::start(options.log.format);
    owner::serve(config, &options, files.config, signals).map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let done = match command(lexopt::Parser::from_env()) {
        #[cfg(feature = "try")]
        Ok(Command::TryFleet) => match trial::fleet() {
            Ok(code) => return code,
            Err(why) => Err(why),
        },
        #[cfg(feature = "try")]
        Ok(Command::Try(by)) => match trial::run(by) {
            Ok(code) => return code,
            Err(why) => Err(why),
        },
        Ok(Command::Fleet(parser)) => match fleet::command::run(parser) {
            Ok(code) => return code,
            Err(message) => {
                eprint!("loomflow: {message}\n{}", fleet::command::USAGE);
                return ExitCode::from(2);
            }
        },
        Ok(Command::Serve(files)) => serve(files),
        Ok(Command::CheckConfig(files, against)) => check(&files, against.as_deref()),
        Ok(Command::Schema) => {
            println!("{}", Options::schema());
            Ok(())
        }
        Ok(Command::Version) => {
            println!("loomflow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Help) => {
            print!("{USAGE}");
            Ok(())
        }
        Err(message) => {
            eprint!("loomflow: {message}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("loomflow: {message}");
            ExitCode::FAILURE
        }
    }
}
