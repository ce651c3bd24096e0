//! The options file: what this program offers beyond its platform, as YAML. All of it is off where there is no file.
//!
//! Read by `serde`, checked by `garde`, published as a schema by `schemars`. A fault names line, column and key.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::fleet::Fleet;
use crate::read::Read;
use crate::site::Site;

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Options {
    #[serde(default)]
    pub log: Log,
    /// Work from queues of AMQP 0-9-1 brokers; off where absent.
    #[garde(dive)]
    pub amqp: Option<Amqp>,
    /// Talk with the other servers of a fleet; off where absent.
    #[garde(dive)]
    pub fleet: Option<Fleet>,
}

#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: LogFormat,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Messages and fields, for people.
    #[default]
    Text,
    /// One object a line, with its time.
    Json,
}

/// The AMQP front.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Amqp {
    /// Addresses with ports, tried in turn; one connection at a time.
    #[garde(length(min = 1, max = 16))]
    pub brokers: Vec<SocketAddr>,
    #[serde(default = "slash")]
    #[garde(length(bytes, max = 255))]
    pub vhost: String,
    /// A YAML file with `user` and `password`, read at the start. Relative to this file.
    pub credentials: PathBuf,
    /// Time between heartbeats that is proposed to the broker, s; 0 is none.
    #[serde(default = "heartbeat")]
    pub heartbeat_s: u16,
    /// A message with a longer body is given up, octets.
    #[serde(default = "most_body")]
    #[garde(range(min = 1, max = 16_777_216))]
    pub max_message_bytes: usize,
    /// How long what has run is remembered after its last change, ms: redeliveries within it are answered from memory.
    #[serde(default = "remember")]
    #[garde(range(min = 1.0, max = 604_800_000.0))]
    pub remember_ms: f64,
    /// Publishes that the broker may leave unconfirmed before no more is taken.
    #[serde(default = "unconfirmed")]
    #[garde(range(min = 1, max = 65_535))]
    pub max_unconfirmed: usize,
    /// How often a message is put back after a refusal before it is dead-lettered.
    #[serde(default = "rounds")]
    pub rounds: u32,
    /// Where messages are published that are given up. Where absent they are rejected, which hands them to the dead
    /// letters of their queue, without a reason.
    #[garde(dive)]
    pub dead_letter: Option<Target>,
    /// Where results of messages are published that name no `reply-to`. Where absent nobody is told.
    #[garde(dive)]
    pub results: Option<Target>,
    #[garde(length(min = 1, max = 32), dive)]
    pub queues: Vec<Queue>,
}

/// An exchange and a routing key.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Empty is the default exchange, which routes to the queue that is named by the key.
    #[serde(default)]
    #[garde(length(bytes, max = 255))]
    pub exchange: String,
    #[garde(length(bytes, max = 255))]
    pub routing_key: String,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Queue {
    #[garde(length(bytes, min = 1, max = 255))]
    pub name: String,
    /// The class of all its messages, by its name in the settings ...
    #[schemars(with = "Option<String>")]
    pub class: Option<Spanned<String>>,
    /// ... or the header that names it.
    pub class_header: Option<String>,
    /// The tenant of all its messages, or the header that names it. Needed where the settings have tenants.
    #[schemars(with = "Option<String>")]
    pub tenant: Option<Spanned<String>>,
    pub tenant_header: Option<String>,
    /// The header that holds the key of a message; where absent its `message-id`, within its `app-id`.
    pub key_header: Option<String>,
    /// Where a message says when it was sent: `timestamp` is the property (whole seconds), anything else a header with ms
    /// since 1970, and the property where it is missing. The time that its sender waits counts from then, and a message
    /// whose time is over is ended as `out-of-time`. Where absent, its time begins with its delivery.
    #[garde(inner(length(bytes, min = 1, max = 255)))]
    pub sent_from: Option<String>,
    /// Expected work of a message, ms on one core.
    #[garde(inner(range(min = 0.001, max = 86_400_000.0)))]
    pub work_ms: Option<f64>,
    /// Memory booked for a message while it is held, KB.
    #[serde(default = "memory")]
    #[garde(range(min = 0.001, max = 1_000_000.0))]
    pub memory_kb: f64,
    /// The place of its messages by worth among all requests, from 0 to under 1.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.999_999))]
    pub rank: f64,
}

/// User and password at the brokers.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credentials {
    pub user: String,
    pub password: String,
}

fn slash() -> String {
    "/".into()
}

fn heartbeat() -> u16 {
    10
}

fn most_body() -> usize {
    64 * 1024
}

fn remember() -> f64 {
    600_000.0
}

fn unconfirmed() -> usize {
    256
}

fn rounds() -> u32 {
    8
}

fn memory() -> f64 {
    16.0
}

impl Options {
    pub fn load(path: &Path) -> Read<Options> {
        let text = text(path)?;
        let mut options = Options::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        if let (Some(amqp), Some(folder)) = (&mut options.amqp, path.parent()) {
            amqp.credentials = folder.join(&amqp.credentials);
        }
        if let (Some(fleet), Some(folder)) = (&mut options.fleet, path.parent()) {
            fleet.state = folder.join(&fleet.state);
        }
        Ok(options)
    }

    /// Errors: a line for each fault, with its place and key.
    pub fn parse(text: &str) -> Read<Options> {
        if text.trim().is_empty() {
            return Ok(Options::default());
        }
        serde_saphyr::from_str_valid(text).map_err(|e| e.without_snippet().to_string())
    }

    /// Checks the names in it against those of the settings and of the server. Errors: one line for each that is wrong.
    pub fn check(&self, site: &Site, server: &str) -> Read<()> {
        let mut faults = self.amqp.as_ref().map_or_else(Vec::new, |amqp| amqp.faults(site));
        faults.extend(self.fleet.iter().flat_map(|fleet| fleet.faults(server)));
        if faults.is_empty() { Ok(()) } else { Err(faults.join("\n")) }
    }

    /// The published schema of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Options);
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

impl Amqp {
    /// A line for each name in it that is not among those of the settings.
    fn faults(&self, site: &Site) -> Vec<String> {
        let mut faults = Vec::new();
        for (at, queue) in self.queues.iter().enumerate() {
            let mut fault = |key: &str, place: Option<&Spanned<String>>, what: String| {
                let place = place.map_or(String::new(), |p| {
                    format!("line {} column {}: ", p.referenced.line(), p.referenced.column())
                });
                faults.push(format!("{place}amqp.queues[{at}].{key}: {what}"));
            };
            let mut named = |key: &str,
                             name: &Option<Spanned<String>>,
                             header: &Option<String>,
                             of: &[String]| match (name, header) {
                (Some(_), Some(_)) => {
                    fault(key, name.as_ref(), format!("and {key}_header exclude each other"))
                }
                (None, None) if key == "tenant" && of.is_empty() => {}
                (None, None) => fault(key, None, format!("missing, as is {key}_header")),
                (Some(name), None) if !of.contains(&name.value) => {
                    fault(key, Some(name), format!("{:?} is not among the settings' names", name.value));
                }
                _ => {}
            };
            named("class", &queue.class, &queue.class_header, &site.classes);
            named("tenant", &queue.tenant, &queue.tenant_header, &site.tenants);
        }
        faults
    }
}

impl Credentials {
    /// Errors name the file and never what is in it.
    pub fn load(path: &Path) -> Read<Credentials> {
        let text = text(path)?;
        let read = serde_saphyr::from_str(&text);
        read.map_err(|_| {
            format!("{}: needs user and password, each a text, and nothing else", path.display())
        })
    }
}

fn text(path: &Path) -> Read<String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))
}

#[cfg(test)]
mod tests;
