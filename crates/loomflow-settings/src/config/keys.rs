//! The keys of the configuration file except the settings of the site, in the order in which they are checked.

use std::net::SocketAddr;

use serde::de::{Deserialize, Deserializer, Error};

use crate::error::FieldError;
use crate::json::fields::{NOT_ABOVE_0, check_positive, or_default, positive, required_text};

/// File descriptors that the process may hold if the file sets no limit.
const DEFAULT_SOCKETS: u64 = 1024;
/// Memory that the process may use if the file sets no limit, MB.
const DEFAULT_MEMORY_MB: u64 = 192;
/// CPU cores that the process may use if the file sets no limit.
const DEFAULT_CORES: f64 = 1.0;
/// Key of the seed.
const SEED: &str = "seed";
/// The seed is written in hexadecimal digits.
const SEED_RADIX: u32 = 16;

/// Keys of the server's identity, its addresses and its peers.
#[derive(serde::Deserialize)]
pub(super) struct ServerKeys<'a> {
    /// Seed of the random number generators, in hexadecimal digits; see [`parse_seed`]. Required.
    #[serde(deserialize_with = "required_text")]
    pub(super) seed: &'a str,
    /// Name of the server; see [`name`]. Required.
    #[serde(deserialize_with = "name")]
    pub(super) name: &'a str,
    /// Address on which the server listens for gateways. Required.
    #[serde(deserialize_with = "address")]
    pub(super) listen: SocketAddr,
    /// Address of the engine that runs the server's requests. Required.
    #[serde(deserialize_with = "address")]
    pub(super) engine: SocketAddr,
    /// Address of the control plane; none by default.
    #[serde(deserialize_with = "optional_address")]
    pub(super) control: Option<SocketAddr>,
    /// Address of the downstream service; none by default.
    #[serde(deserialize_with = "optional_address")]
    pub(super) ledger: Option<SocketAddr>,
}

/// Keys of the process: its stop time and its resource limits.
#[derive(serde::Deserialize)]
pub(super) struct ProcessKeys {
    /// Time from the shutdown request until the process is killed, ms. Required, above 0.
    #[serde(deserialize_with = "positive")]
    pub(super) stop_ms: f64,
    /// File descriptors that the process may hold, above 0; [`DEFAULT_SOCKETS`] by default.
    #[serde(rename = "limits.sockets", deserialize_with = "sockets")]
    pub(super) sockets: usize,
    /// Memory that the process may use, MB, above 0; [`DEFAULT_MEMORY_MB`] by default.
    #[serde(rename = "limits.memory_mb", deserialize_with = "memory_mb")]
    pub(super) memory_mb: usize,
    /// CPU cores that the process may use, above 0; [`DEFAULT_CORES`] by default. A single thread drives all connections,
    /// regardless of this limit.
    #[serde(rename = "limits.cores", deserialize_with = "cores")]
    pub(super) cores: f64,
}

/// Parses a seed of up to 64 bits.
pub(super) fn parse_seed(digits: &str) -> Result<u64, FieldError> {
    u64::from_str_radix(digits, SEED_RADIX)
        .map_err(|_| FieldError::new(SEED, "not a hexadecimal number of 64 bits"))
}

/// Deserializes the server's name. It is part of a URL path, so only characters that need no escaping there (the unreserved
/// ones) are allowed.
fn name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<&'de str, D::Error> {
    let name = required_text(deserializer)?;
    let is_unreserved = |character: char| character.is_ascii_alphanumeric() || "-._~".contains(character);
    if name.chars().all(is_unreserved) {
        Ok(name)
    } else {
        Err(D::Error::custom("holds characters other than letters, digits and -._~"))
    }
}

fn address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    parse_address(required_text(deserializer)?)
}

fn optional_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<SocketAddr>, D::Error> {
    match or_default(deserializer)? {
        "" => Ok(None),
        text => parse_address(text).map(Some),
    }
}

fn parse_address<E: Error>(text: &str) -> Result<SocketAddr, E> {
    text.parse().map_err(|_| E::custom("not an address with a port"))
}

fn sockets<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    positive_limit(deserializer, DEFAULT_SOCKETS)
}

fn memory_mb<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    positive_limit(deserializer, DEFAULT_MEMORY_MB)
}

/// Deserializes an optional limit above 0.
fn positive_limit<'de, D: Deserializer<'de>>(deserializer: D, default: u64) -> Result<usize, D::Error> {
    match Option::deserialize(deserializer)?.unwrap_or(default) {
        0 => Err(D::Error::custom(NOT_ABOVE_0)),
        limit => Ok(usize::try_from(limit).unwrap_or(usize::MAX)),
    }
}

fn cores<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_positive(Option::deserialize(deserializer)?.unwrap_or(DEFAULT_CORES))
}
