//! `loomflow fleet fence FILE`: the receiver's half for scripts. Under a lock on a file beside it, refuses a lower token, stores
//! the higher one, and runs the command.

use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use loomflow_fleet::duty::fence::{Fence, FenceError};
use loomflow_fleet::duty::{Token, check_name};

use crate::error::CommandError;
use crate::exit_code;

/// Runs a command unless a later owner was here.
pub fn run(file: &Path, duty: &str, token: Token, command: &[OsString]) -> Result<ExitCode, CommandError> {
    check_name(duty)?;
    let Some((program, arguments)) = command.split_first() else {
        return Err(CommandError::MissingCommand);
    };
    let lock = OpenOptions::new().create(true).append(true).open(beside(file, ".lock"));
    let lock = lock.map_err(CommandError::io(file))?;
    // Held until this process ends: the effect is done behind it.
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

/// The path with an ending added to its name.
fn beside(file: &Path, ending: &str) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

/// Reads the fence; a new one where the file is not there.
fn load(file: &Path) -> Result<Fence, CommandError> {
    match std::fs::read(file) {
        Ok(bytes) => serde_json::from_slice(&bytes).map_err(CommandError::json(file)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Fence::default()),
        Err(error) => Err(CommandError::io(file)(error)),
    }
}

/// Writes the fence beside its file and renames it into its place, durable before this returns.
fn store(file: &Path, fence: &Fence) -> io::Result<()> {
    let temporary = beside(file, ".new");
    let bytes = serde_json::to_vec(fence).map_err(io::Error::other)?;
    let mut out = File::create(&temporary)?;
    out.write_all(&bytes)?;
    out.sync_all()?;
    std::fs::rename(&temporary, file)?;
    let directory = file.parent().filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
