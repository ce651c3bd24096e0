//! The configuration file of a server (JSON).

mod keys;

use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;

use self::keys::{ProcessKeys, ServerKeys, parse_seed};
use crate::document::{Document, SETTINGS};
use crate::error::{ConfigError, FieldError};
use crate::json::JsonObject;
use crate::site::Site;

/// Largest file that is read, MiB.
const MAX_MIB: u64 = 4;
const MAX_BYTES: u64 = MAX_MIB * 1024 * 1024;

/// Configuration of a server. Unknown keys are ignored.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server.
    pub name: String,
    /// Where it listens for gateways.
    pub listen: SocketAddr,
    /// Address of its engine.
    pub engine: SocketAddr,
    /// Address of the control plane; `None` if no reports are sent.
    pub control: Option<SocketAddr>,
    /// Address of the downstream service; `None` on servers of the last tier, which make no calls.
    pub ledger: Option<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time between the shutdown request and the kill, ms.
    pub stop_ms: f64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, MB.
    pub memory_mb: usize,
    /// CPU cores that the process may use.
    pub cores: f64,
    /// The settings of the site.
    pub site: Site,
    /// The whole file, for comparisons.
    document: Document,
}

impl Config {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the message names the file, and the key if there is one.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = read_bounded(path)?;
        Config::parse(&text).map_err(|error| error.in_file(path))
    }

    /// Reads and validates a file while serving. Only regular files are opened, because opening a pipe would block the
    /// handling of signals until somebody writes to it.
    ///
    /// # Errors
    ///
    /// As [`load`](Self::load), or the path is not that of a regular file.
    pub fn load_again(path: &Path) -> Result<Config, ConfigError> {
        match std::fs::metadata(path) {
            Ok(metadata) if !metadata.is_file() => Err(ConfigError::NotAFile { path: path.to_owned() }),
            _ => Config::load(path),
        }
    }

    /// Parses and validates the text of a file.
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

    /// The whole file, for a comparison key by key.
    pub(crate) fn document(&self) -> &Document {
        &self.document
    }

    /// The configuration after a reload: that of `later`, with the site as it was reloaded, and with the values of this one
    /// that take effect at the next start only.
    #[must_use]
    pub fn reloaded(&self, later: Config, site: Site) -> Config {
        Config {
            name: self.name.clone(),
            listen: self.listen,
            seed: self.seed,
            stop_ms: self.stop_ms,
            sockets: self.sockets,
            memory_mb: self.memory_mb,
            cores: self.cores,
            site,
            ..later
        }
    }
}

/// Reads a file up to the size limit, so that a larger one costs a serving process neither memory nor time.
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
