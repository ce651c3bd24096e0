//! Messages of the simulator: batches, and what they contain.
//!
//! The fields of a message are in the order in which they are checked.

use loomflow::interface::{AttemptOutcome, RequestId};
use loomflow::time::Millis;
use loomflow_settings::json::fields::{Lenient, or_default, required_text};
use serde::de::{Deserialize, Deserializer, Error};

/// Key of the messages of a batch.
pub const LIST: &str = "items";
/// Key of the settings of an instance.
pub const SETTINGS: &str = "Settings";

/// The messages that the simulator sends.
#[derive(Clone, Copy)]
pub enum MessageKind {
    Boot,
    Teardown,
    Event(EventKind),
}

/// The messages that are events of an instance.
#[derive(Clone, Copy)]
pub enum EventKind {
    RequestArrived,
    RequestCancelled,
    TimerFired,
    CallNeeded,
    CallEnded,
    RunEnded,
    ShutdownRequested,
}

impl MessageKind {
    /// The kind of a message by its name; `None` for a message that is not known.
    pub fn parse(name: &str) -> Option<MessageKind> {
        let kind = match name {
            "BOOT" => return Some(MessageKind::Boot),
            "TEARDOWN" => return Some(MessageKind::Teardown),
            "WORK_ITEM" => EventKind::RequestArrived,
            "WITHDRAWN" => EventKind::RequestCancelled,
            "ALARM" => EventKind::TimerFired,
            "BLOCKED" => EventKind::CallNeeded,
            "CAME_BACK" => EventKind::CallEnded,
            "FINISHED" => EventKind::RunEnded,
            "TERMINATE_SOON" => EventKind::ShutdownRequested,
            _ => return None,
        };
        Some(MessageKind::Event(kind))
    }
}

/// The number of a batch, which the reply repeats.
#[derive(serde::Deserialize)]
pub struct BatchNumber {
    /// The number.
    #[serde(rename = "batch")]
    pub number: u64,
}

/// The clock of a batch.
#[derive(serde::Deserialize)]
pub struct BatchTime {
    /// The time of all its messages, ms.
    #[serde(rename = "Ts")]
    pub now: Millis,
}

/// The name of a message.
#[derive(serde::Deserialize)]
pub struct MessageName<'a> {
    /// The name.
    #[serde(rename = "msg", deserialize_with = "required_text")]
    pub name: &'a str,
}

/// The instance that a message is for.
#[derive(serde::Deserialize)]
pub struct Recipient {
    /// Number of the instance.
    #[serde(rename = "ServerId")]
    pub server: u64,
}

/// The start of an instance, beside its settings.
#[derive(serde::Deserialize)]
pub struct BootMessage {
    /// Seed of its random choices.
    #[serde(rename = "Seed")]
    pub seed: u64,
}

/// The class of a request that arrives; the settings have to know it before the rest of the message is read.
#[derive(serde::Deserialize)]
pub struct RequestClass {
    /// Index of the class.
    #[serde(rename = "Service")]
    pub class: u64,
}

/// A request that arrives.
#[derive(serde::Deserialize)]
pub struct ArrivalMessage {
    /// Index of the tenant; 0 by default.
    #[serde(rename = "Account", deserialize_with = "or_default")]
    pub tenant: u64,
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
    /// How long its caller will wait, ms; 0 by default.
    #[serde(rename = "Remaining", deserialize_with = "or_default")]
    pub remaining_wait: Millis,
    /// Estimated work on one core, ms; 0 by default, for no estimate.
    #[serde(rename = "WeightHint", deserialize_with = "or_default")]
    pub estimated_work: Millis,
    /// Memory that it takes while it is queued, KB; 0 by default.
    #[serde(rename = "Kb", deserialize_with = "or_default")]
    pub memory_kb: f64,
    /// Its place by weight among all requests, 0 to 1; 0 by default.
    #[serde(rename = "Prio", deserialize_with = "or_default")]
    pub rank: f64,
    /// Whether it is a retry or a hedged request; false by default.
    #[serde(rename = "Resent", deserialize_with = "or_default")]
    pub is_retry: bool,
    /// Who sent it; 0 by default.
    #[serde(rename = "From", deserialize_with = "or_default")]
    pub caller: u64,
    /// Time since it reached the machine, ms; 0 by default.
    #[serde(rename = "Age", deserialize_with = "or_default")]
    pub age: Millis,
    /// The retained request that it repeats; none by default and for 0.
    #[serde(rename = "SameAs", deserialize_with = "original")]
    pub original: Option<RequestId>,
}

/// A message about a request.
#[derive(serde::Deserialize)]
pub struct RequestMessage {
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
}

/// A timer that fires.
#[derive(serde::Deserialize)]
pub struct TimerMessage {
    /// The values of the gauges in the order of the settings; a value that is no number is not measured.
    #[serde(rename = "Load", deserialize_with = "or_default")]
    pub gauges: Vec<Lenient<f64>>,
}

/// The request to shut down.
#[derive(serde::Deserialize)]
pub struct ShutdownMessage {
    /// Time until the process is killed, ms.
    #[serde(rename = "Remaining")]
    pub time_left: Millis,
}

/// The end of a call or a run.
#[derive(serde::Deserialize)]
pub struct EndMessage {
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
    /// How it ended; see [`outcome`].
    #[serde(rename = "Disposition")]
    pub outcome_code: u64,
}

/// How long a call or a run took; read once its outcome is known.
#[derive(serde::Deserialize)]
pub struct EndDuration {
    /// The time, ms; 0 by default.
    #[serde(rename = "Spent", deserialize_with = "or_default")]
    pub duration: Millis,
}

/// The outcome of a code; `None` for a code that is not known.
pub fn outcome(code: u64) -> Option<AttemptOutcome> {
    Some(match code {
        10 => AttemptOutcome::Ok,
        20 => AttemptOutcome::Error,
        30 => AttemptOutcome::Rejected,
        40 => AttemptOutcome::TimedOut,
        50 => AttemptOutcome::Unreachable,
        60 => AttemptOutcome::ConnectionLost,
        70 => AttemptOutcome::Cancelled,
        80 => AttemptOutcome::NotStarted,
        _ => return None,
    })
}

fn request<'de, D: Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
    request_id(u64::deserialize(deserializer)?)
}

fn original<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<RequestId>, D::Error> {
    let id = request_id(or_default(deserializer)?)?;
    Ok(Some(id).filter(|id| *id != 0))
}

fn request_id<E: Error>(number: u64) -> Result<RequestId, E> {
    RequestId::try_from(number).map_err(|_| E::custom("not a request's number"))
}
