//! `loomflow fleet fence FILE`: checks fencing tokens for scripts that receive a duty's effects. Holding the lock on
//! `FILE.lock`, rejects a token lower than the recorded one, records a higher one, and runs the command.

use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use loomflow_fleet::duty::fence::{Fence, FenceError};
use loomflow_fleet::duty::{Token, check_name};

use crate::error::CommandError;
use crate::exit_code;

/// Runs a command unless the fence has recorded a higher token of the duty.
pub fn run(file: &Path, duty: &str, token: Token, command: &[OsString]) -> Result<ExitCode, CommandError> {
    check_name(duty)?;
    let Some((program, arguments)) = command.split_first() else {
        return Err(CommandError::MissingCommand);
    };
    let lock = OpenOptions::new().create(true).append(true).open(with_suffix(file, ".lock"));
    let lock = lock.map_err(CommandError::io(file))?;
    // Held until the command has ended, so that effects of different owners do not overlap.
    lock.lock().map_err(CommandError::io(file))?;
    let mut fence = load(file)?;
    match fence.admit(duty, token, |fence| store(file, fence)) {
        Ok(()) => {}
        Err(error @ FenceError::Stale { .. }) => {
            eprintln!("loomflow: {duty}: {error}");
            return Ok(ExitCode::from(exit_code::OWNERSHIP_LOST));
        }
        Err(source) => return Err(CommandError::Fence { duty: duty.to_owned(), source }),
    }
    let status = Command::new(program).args(arguments).status();
    let status = status
        .map_err(|source| CommandError::Program { program: program.to_string_lossy().into(), source })?;
    drop(lock);
    let code = status.code().and_then(|code| u8::try_from(code).ok());
    Ok(code.map_or(ExitCode::FAILURE, ExitCode::from))
}

/// Appends a suffix to the file name of a path.
fn with_suffix(file: &Path, suffix: &str) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

/// Reads the fence, or returns an empty one if the file does not exist.
fn load(file: &Path) -> Result<Fence, CommandError> {
    match std::fs::read(file) {
        Ok(bytes) => serde_json::from_slice(&bytes).map_err(CommandError::json(file)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Fence::default()),
        Err(error) => Err(CommandError::io(file)(error)),
    }
}

/// Replaces the fence file atomically: writes `FILE.new` and renames it. The change is durable when this returns.
fn store(file: &Path, fence: &Fence) -> io::Result<()> {
    let temporary = with_suffix(file, ".new");
    let bytes = serde_json::to_vec(fence).map_err(io::Error::other)?;
    let mut out = File::create(&temporary)?;
    out.write_all(&bytes)?;
    out.sync_all()?;
    std::fs::rename(&temporary, file)?;
    let directory = file.parent().filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
