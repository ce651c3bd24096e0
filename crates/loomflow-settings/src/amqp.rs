//! Options of the AMQP front, which consumes work from the queues of a broker.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::error::{Location, OptionFault, YamlError, read_text};
use crate::site::Site;

/// The AMQP front: consumes work from the queues of a broker.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Amqp {
    /// Addresses with ports, tried in turn; one connection at a time.
    #[garde(length(min = 1, max = 16))]
    pub brokers: Vec<SocketAddr>,
    /// Virtual host.
    #[serde(default = "default_vhost")]
    #[garde(length(bytes, max = 255))]
    pub vhost: String,
    /// A YAML file with `user` and `password`, read at the start. Relative to this file.
    pub credentials: PathBuf,
    /// Heartbeat interval that is proposed to the broker, s; 0 disables heartbeats.
    #[serde(default = "default_heartbeat_s")]
    pub heartbeat_s: u16,
    /// A message with a longer body is dead-lettered, bytes.
    #[serde(default = "default_max_message_bytes")]
    #[garde(range(min = 1, max = 16_777_216))]
    pub max_message_bytes: usize,
    /// How long a finished message is remembered after its last change, ms: duplicates within it are answered from the
    /// record.
    #[serde(default = "default_remember_ms")]
    #[garde(range(min = 1.0, max = 604_800_000.0))]
    pub remember_ms: f64,
    /// Unconfirmed publishes from which on no more messages are consumed.
    #[serde(default = "default_max_unconfirmed")]
    #[garde(range(min = 1, max = 65_535))]
    pub max_unconfirmed: usize,
    /// How often a message is requeued after a rejection before it is dead-lettered.
    #[serde(default = "default_rounds")]
    pub rounds: u32,
    /// Where messages that are given up are published. If absent, they are rejected, and the broker moves them to the dead
    /// letters of their queue without a reason.
    #[garde(dive)]
    pub dead_letter: Option<Target>,
    /// Where results of messages without `reply-to` are published. If absent, they are not.
    #[garde(dive)]
    pub results: Option<Target>,
    /// The queues to consume from.
    #[garde(length(min = 1, max = 32), dive)]
    pub queues: Vec<Queue>,
}

/// An exchange and a routing key.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the exchange; empty for the default exchange, which routes to the queue that the key names.
    #[serde(default)]
    #[garde(length(bytes, max = 255))]
    pub exchange: String,
    /// Routing key.
    #[garde(length(bytes, max = 255))]
    pub routing_key: String,
}

/// A queue to consume from.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Queue {
    /// Name of the queue.
    #[garde(length(bytes, min = 1, max = 255))]
    pub name: String,
    /// The class of all its messages, by its name in the settings ...
    #[schemars(with = "Option<String>")]
    pub class: Option<Spanned<String>>,
    /// ... or the header that names it.
    pub class_header: Option<String>,
    /// The tenant of all its messages. Required, as an alternative to `tenant_header`, if the settings have tenants.
    #[schemars(with = "Option<String>")]
    pub tenant: Option<Spanned<String>>,
    /// The header that names the tenant.
    pub tenant_header: Option<String>,
    /// The header that holds the idempotency key of a message; by default its `message-id`, within its `app-id`.
    pub key_header: Option<String>,
    /// Where a message states when it was sent: `timestamp` is the property (whole seconds), anything else a header with ms
    /// since 1970, with the property as fallback. The timeout of a message counts from then, and one that has timed out is
    /// dead-lettered as `out-of-time`. If absent, the timeout counts from the delivery.
    #[garde(inner(length(bytes, min = 1, max = 255)))]
    pub sent_from: Option<String>,
    /// Expected work of a message, ms on one core.
    #[garde(inner(range(min = 0.001, max = 86_400_000.0)))]
    pub work_ms: Option<f64>,
    /// Memory that is reserved for a message while it is held, KB.
    #[serde(default = "default_memory_kb")]
    #[garde(range(min = 0.001, max = 1_000_000.0))]
    pub memory_kb: f64,
    /// Priority of its messages among all requests, from 0 to below 1.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.999_999))]
    pub rank: f64,
}

/// Credentials for the brokers, read from a file of their own so that the options file holds no password.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credentials {
    /// User name for the PLAIN mechanism.
    pub user: String,
    /// Password for the PLAIN mechanism.
    pub password: String,
}

fn default_vhost() -> String {
    "/".into()
}

fn default_heartbeat_s() -> u16 {
    10
}

fn default_max_message_bytes() -> usize {
    64 * 1024
}

fn default_remember_ms() -> f64 {
    600_000.0
}

fn default_max_unconfirmed() -> usize {
    256
}

fn default_rounds() -> u32 {
    8
}

fn default_memory_kb() -> f64 {
    16.0
}

impl Amqp {
    /// Returns a fault for each class or tenant that is missing, ambiguous or not defined in the settings.
    pub(crate) fn faults(&self, site: &Site) -> Vec<OptionFault> {
        let mut faults = Vec::new();
        for (index, queue) in self.queues.iter().enumerate() {
            let path = format!("amqp.queues[{index}]");
            faults.extend(name_fault(
                &path,
                "class",
                queue.class.as_ref(),
                queue.class_header.as_ref(),
                &site.classes,
            ));
            let is_tenant_required = !site.tenants.is_empty();
            if is_tenant_required || queue.tenant.is_some() {
                faults.extend(name_fault(
                    &path,
                    "tenant",
                    queue.tenant.as_ref(),
                    queue.tenant_header.as_ref(),
                    &site.tenants,
                ));
            }
        }
        faults
    }
}

/// Checks that either a fixed name or a header is given, and that the settings define the name.
fn name_fault(
    path: &str,
    key: &str,
    name: Option<&Spanned<String>>,
    header: Option<&String>,
    defined: &[String],
) -> Option<OptionFault> {
    let problem = match (name, header) {
        (Some(_), Some(_)) => format!("{key} and {key}_header exclude each other"),
        (None, None) => format!("missing, either {key} or {key}_header is required"),
        (Some(name), None) if !defined.contains(&name.value) => {
            format!("{:?} is not defined in the settings", name.value)
        }
        _ => return None,
    };
    let location =
        name.map(|name| Location { line: name.referenced.line(), column: name.referenced.column() });
    Some(OptionFault::new(format!("{path}.{key}"), problem).at(location))
}

impl Credentials {
    /// Reads a credentials file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is incomplete. The message names the file and never quotes its content.
    pub fn load(path: &Path) -> Result<Credentials, YamlError> {
        let text = read_text(path)?;
        serde_saphyr::from_str(&text).map_err(|_| YamlError::InvalidCredentials { path: path.to_owned() })
    }
}
