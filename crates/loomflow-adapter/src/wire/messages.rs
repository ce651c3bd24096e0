//! Messages from the simulator, which arrive in batches.
//!
//! The fields of each struct are declared in the order in which their keys are checked.

use loomflow::interface::{AttemptOutcome, RequestId};
use loomflow::time::Millis;
use loomflow_settings::json::fields::{ValidOrNone, or_default, required_text};
use serde::de::{Deserialize, Deserializer, Error};

/// Key of the list of messages in a batch.
pub const MESSAGES: &str = "items";
/// Key of the settings in a `BOOT` message.
pub const SETTINGS: &str = "Settings";

/// Kind of a message from the simulator.
#[derive(Clone, Copy)]
pub enum MessageKind {
    Boot,
    Teardown,
    Event(EventKind),
}

/// Kind of a message that the controller receives as an event.
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
    /// Returns the kind of a message by its wire name; `None` if it is unknown.
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

/// The number of a batch, read first because errors and the reply contain it.
#[derive(serde::Deserialize)]
pub struct BatchNumber {
    /// Number that the simulator assigned to the batch.
    #[serde(rename = "batch")]
    pub number: u64,
}

/// The time of a batch.
#[derive(serde::Deserialize)]
pub struct BatchTime {
    /// Time at which all messages of the batch take place, ms.
    #[serde(rename = "Ts")]
    pub now: Millis,
}

/// The name of a message, which determines its other keys.
#[derive(serde::Deserialize)]
pub struct MessageName<'a> {
    /// Wire name of the message; required, not empty.
    #[serde(rename = "msg", deserialize_with = "required_text")]
    pub name: &'a str,
}

/// The instance that a message is addressed to.
#[derive(serde::Deserialize)]
pub struct Recipient {
    /// Number of the instance.
    #[serde(rename = "ServerId")]
    pub server: u64,
}

/// The keys of a `BOOT` message, which starts an instance, except its settings.
#[derive(serde::Deserialize)]
pub struct BootMessage {
    /// Seed of the controller's random number generator.
    #[serde(rename = "Seed")]
    pub seed: u64,
}

/// The class of an arriving request, which is checked against the settings before the rest of the message is read.
#[derive(serde::Deserialize)]
pub struct RequestClass {
    /// Index of the class.
    #[serde(rename = "Service")]
    pub class: u64,
}

/// An arriving request.
#[derive(serde::Deserialize)]
pub struct ArrivalMessage {
    /// Index of the tenant; 0 by default.
    #[serde(rename = "Account", deserialize_with = "or_default")]
    pub tenant: u64,
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
    /// Time for which the caller will still wait, ms; 0 by default, for unknown.
    #[serde(rename = "Remaining", deserialize_with = "or_default")]
    pub remaining_wait: Millis,
    /// Estimated work on one core, ms; 0 by default, for no estimate.
    #[serde(rename = "WeightHint", deserialize_with = "or_default")]
    pub estimated_work: Millis,
    /// Memory that the request takes while it is queued, KB; 0 by default.
    #[serde(rename = "Kb", deserialize_with = "or_default")]
    pub memory_kb: f64,
    /// Position of the request by weight among all requests, 0 to 1; 0 by default.
    #[serde(rename = "Prio", deserialize_with = "or_default")]
    pub rank: f64,
    /// Whether the request is a retry or a hedged request; false by default.
    #[serde(rename = "Resent", deserialize_with = "or_default")]
    pub is_retry: bool,
    /// Number of the caller that sent the request; 0 by default.
    #[serde(rename = "From", deserialize_with = "or_default")]
    pub caller: u64,
    /// Time since the request reached the machine, ms; 0 by default.
    #[serde(rename = "Age", deserialize_with = "or_default")]
    pub age: Millis,
    /// Retained request that this one duplicates; none by default and for 0.
    #[serde(rename = "SameAs", deserialize_with = "original")]
    pub original: Option<RequestId>,
}

/// A message that carries a request number and no further keys.
#[derive(serde::Deserialize)]
pub struct RequestMessage {
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
}

/// A fired timer, with the load of the instance.
#[derive(serde::Deserialize)]
pub struct TimerMessage {
    /// Values of the gauges in the order of the settings; a value that is not a number counts as not measured.
    #[serde(rename = "Load", deserialize_with = "or_default")]
    pub gauges: Vec<ValidOrNone<f64>>,
}

/// A shutdown request.
#[derive(serde::Deserialize)]
pub struct ShutdownMessage {
    /// Time until the process is killed, ms.
    #[serde(rename = "Remaining")]
    pub time_left: Millis,
}

/// The request and the outcome of a downstream call or a run that ended. The duration is read later, as
/// [`EndDuration`], because the outcome is checked first.
#[derive(serde::Deserialize)]
pub struct EndMessage {
    /// Number of the request.
    #[serde(rename = "Ref", deserialize_with = "request")]
    pub id: RequestId,
    /// Code of the outcome; see [`parse_outcome`].
    #[serde(rename = "Disposition")]
    pub outcome_code: u64,
}

/// The duration of a downstream call or a run, read after the outcome has been checked.
#[derive(serde::Deserialize)]
pub struct EndDuration {
    /// Time from the start to the end of the call or the run, ms; 0 by default.
    #[serde(rename = "Spent", deserialize_with = "or_default")]
    pub duration: Millis,
}

/// Returns the outcome for a code; `None` if the code is unknown.
pub fn parse_outcome(code: u64) -> Option<AttemptOutcome> {
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

/// Deserializes an optional request number; 0 counts as absent.
fn original<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<RequestId>, D::Error> {
    let id = request_id(or_default(deserializer)?)?;
    Ok(Some(id).filter(|id| *id != 0))
}

fn request_id<E: Error>(number: u64) -> Result<RequestId, E> {
    RequestId::try_from(number).map_err(|_| E::custom("not a request's number"))
}
