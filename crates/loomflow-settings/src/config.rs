//! The configuration file of a server (JSON): its addresses, its resource limits and the settings of its site.

mod keys;

use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;

use self::keys::{ProcessKeys, ServerKeys, parse_seed};
use crate::document::{Document, SETTINGS};
use crate::error::{ConfigError, FieldError};
use crate::json::JsonObject;
use crate::site::Site;

/// Size limit of a configuration file, MiB.
const MAX_MIB: u64 = 4;
/// The size limit in bytes.
const MAX_BYTES: u64 = MAX_MIB * 1024 * 1024;

/// A validated configuration file. Unknown keys are ignored.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server, which identifies it in reports and in its fleet.
    pub name: String,
    /// Address on which the server listens for gateways.
    pub listen: SocketAddr,
    /// Address of the engine that runs the server's requests.
    pub engine: SocketAddr,
    /// Address of the control plane; `None` if no reports are sent.
    pub control: Option<SocketAddr>,
    /// Address of the downstream service; `None` on servers of the last tier, which make no calls.
    pub ledger: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Time from the shutdown request until the process is killed, ms.
    pub stop_ms: f64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, MB.
    pub memory_mb: usize,
    /// CPU cores that the process may use.
    pub cores: f64,
    /// Settings of the site: classes, tenants and the controller's parameters.
    pub site: Site,
    /// All keys of the file, including unknown ones, for comparison with a reloaded file.
    document: Document,
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the message names the file, and the key if there is one.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = read_bounded(path)?;
        Config::parse(&text).map_err(|error| error.in_file(path))
    }

    /// Reads and validates a configuration file for a reload. Only regular files are opened, because opening a named pipe
    /// would block signal handling until another process opens it for writing.
    ///
    /// # Errors
    ///
    /// Those of [`load`](Self::load), and [`ConfigError::NotAFile`] if the path is not that of a regular file.
    pub fn load_again(path: &Path) -> Result<Config, ConfigError> {
        match std::fs::metadata(path) {
            Ok(metadata) if !metadata.is_file() => Err(ConfigError::NotAFile { path: path.to_owned() }),
            _ => Config::load(path),
        }
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    ///
    /// The text is not JSON or a key is invalid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let document: Document = serde_json::from_str(text)?;
        Ok(Config::from_document(document)?)
    }

    fn from_document(document: Document) -> Result<Config, FieldError> {
        let file = JsonObject::new("", &document.tree)?;
        let ServerKeys { seed, name, listen, engine, control, ledger } = file.deserialize()?;
        let seed = parse_seed(seed)?;
        let ProcessKeys { stop_ms, sockets, memory_mb, cores } = file.deserialize()?;
        let site = Site::parse_with_tenants(&file.child(SETTINGS)?, &document.tenants)?;
        let name = name.to_owned();
        Ok(Config {
            name,
            listen,
            engine,
            control,
            ledger,
            seed,
            stop_ms,
            sockets,
            memory_mb,
            cores,
            site,
            document,
        })
    }

    /// Returns all keys of the file, including unknown ones, for comparison with a reloaded file.
    pub(crate) fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the configuration after a reload: `new` with the reloaded `site`, except for the values that take effect only
    /// at the next start, which are taken from `self`.
    #[must_use]
    pub fn reloaded(&self, new: Config, site: Site) -> Config {
        Config {
            name: self.name.clone(),
            listen: self.listen,
            seed: self.seed,
            stop_ms: self.stop_ms,
            sockets: self.sockets,
            memory_mb: self.memory_mb,
            cores: self.cores,
            site,
            ..new
        }
    }
}

/// Reads a file up to the size limit, which bounds the memory and time that a reload takes from a running server.
fn read_bounded(path: &Path) -> Result<String, ConfigError> {
    let unreadable = |source| ConfigError::Unreadable { path: path.to_owned(), source };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let length = file.metadata().map_err(unreadable)?.len().min(MAX_BYTES);
    let mut text = String::with_capacity(length as usize + 1);
    file.take(MAX_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_BYTES {
        return Err(ConfigError::TooLong { path: path.to_owned(), max_mib: MAX_MIB });
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
