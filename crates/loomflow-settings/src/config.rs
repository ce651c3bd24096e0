//! A server's configuration file.

use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;

use crate::document::{Document, SETTINGS};
use crate::error::ConfigError;
use crate::read::{Node, Read};
use crate::site::Site;

#[cfg(test)]
mod tests;

const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;
/// The longest file that is read, MiB.
const MAX_MIB: u64 = 4;
const MAX_BYTES: u64 = MAX_MIB * 1024 * 1024;

/// What a server is told at its start. Unknown keys are skipped.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    /// Absent: no reports are sent.
    pub control: Option<SocketAddr>,
    /// Absent on servers of the last tier, which call nothing.
    pub ledger: Option<SocketAddr>,
    pub seed: u64,
    /// From the notice to leave until the server is killed, ms.
    pub stop_ms: f64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    /// Part of a core that the process may use.
    pub cores: f64,
    pub site: Site,
    /// The file as it stands.
    document: Document,
}

impl Config {
    /// Reads and checks a file. Errors name the file, and the key where there is one.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = read(path)?;
        Config::parse(&text).map_err(|error| error.in_file(path))
    }

    /// As `load`, while serving: opening a pipe would wait for somebody to write to it, and signals with it.
    pub fn load_again(path: &Path) -> Read<Config> {
        match std::fs::metadata(path) {
            Ok(found) if !found.is_file() => Err(ConfigError::NotAFile { path: path.to_owned() }.into()),
            _ => Ok(Config::load(path)?),
        }
    }

    /// Reads and checks the text of a file. Errors name the key.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let document: Document = serde_json::from_str(text)?;
        Config::from_document(document).map_err(ConfigError::Invalid)
    }

    fn from_document(document: Document) -> Read<Config> {
        let root = Node::new("", &document.tree)?;
        let seed = root.required_text("seed")?;
        Ok(Config {
            name: name(&root)?,
            listen: address(&root, "listen")?,
            engine: address(&root, "engine")?,
            control: optional(&root, "control")?,
            ledger: optional(&root, "ledger")?,
            seed: u64::from_str_radix(seed, 16)
                .or_else(|_| root.error("seed", "not a hexadecimal number of 64 bits"))?,
            stop_ms: root.positive("stop_ms")?,
            sockets: at_least_one(&root.child_or_empty("limits")?, "sockets", SOCKETS)?,
            memory_mb: at_least_one(&root.child_or_empty("limits")?, "memory_mb", MEMORY_MB)?,
            cores: cores(&root.child_or_empty("limits")?)?,
            site: Site::with_tenants(&root.child(SETTINGS)?, &document.tenants)?,
            document,
        })
    }

    /// The whole file, for a comparison key by key.
    pub(crate) fn document(&self) -> &Document {
        &self.document
    }

    /// What a server goes on with after a later reading: all of that, with `site` as it has taken it up.
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

/// The whole file; one beyond the bound is not read on, so that it costs a server that serves neither memory nor time.
fn read(path: &Path) -> Result<String, ConfigError> {
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

fn at_least_one(limits: &Node, key: &str, default: u64) -> Read<usize> {
    match limits.integer_or(key, default)? {
        0 => limits.error(key, "not above 0"),
        whole => Ok(usize::try_from(whole).unwrap_or(usize::MAX)),
    }
}

/// One thread drives all connections, whatever this says; it must be a share that can be served with.
fn cores(limits: &Node) -> Read<f64> {
    if limits.get("cores").is_none() { Ok(1.0) } else { limits.positive("cores") }
}

/// The name stands in a URL's path, so it is held to what needs no escape there.
fn name(root: &Node) -> Read<String> {
    let name = root.required_text("name")?;
    let plain = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
    if name.chars().all(plain) {
        Ok(name.to_owned())
    } else {
        root.error("name", "holds characters other than letters, digits and -._~")
    }
}

fn address(root: &Node, key: &str) -> Read<SocketAddr> {
    root.required_text(key)?.parse().or_else(|_| root.error(key, "not an address with a port"))
}

fn optional(root: &Node, key: &str) -> Read<Option<SocketAddr>> {
    if root.text(key)?.is_empty() { Ok(None) } else { address(root, key).map(Some) }
}
