//! Messages to the simulator, each for one action of the controller.
//!
//! Keys are written in the order of the fields, which is the alphabetical order of the wire names. Non-finite numbers are
//! written as null.

use loomflow::interface::{Action, RequestId};
use loomflow::time::Millis;
use serde::Serialize;

/// Identifies the timer on the wire; an instance uses only one.
const TIMER_COOKIE: &str = "t";

/// The reply to a batch, written as one line of output.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// Number of the batch that this replies to.
    #[serde(rename = "batch")]
    pub number: u64,
    /// Actions of all instances, in the order of their decisions.
    #[serde(rename = "outbox")]
    pub actions: Vec<ActionMessage>,
}

/// An action of an instance. Only the keys that belong to the action are written.
#[derive(Debug, Serialize)]
pub struct ActionMessage {
    /// Time at which the call is abandoned; see [`Action::Call`].
    #[serde(rename = "AbandonAt", skip_serializing_if = "Option::is_none")]
    deadline: Option<Millis>,
    /// Time at which the timer fires; see [`Action::SetTimer`].
    #[serde(rename = "AlarmTime", skip_serializing_if = "Option::is_none")]
    at: Option<Millis>,
    /// Identifies the timer that is set.
    #[serde(rename = "Cookie", skip_serializing_if = "Option::is_none")]
    cookie: Option<&'static str>,
    /// Whether the caller should not try another server; see [`Action::Reject`].
    #[serde(rename = "Final", skip_serializing_if = "Option::is_none")]
    is_final: Option<bool>,
    /// Retry-after, ms; see [`Action::Reject`].
    #[serde(rename = "Pause", skip_serializing_if = "Option::is_none")]
    retry_after: Option<Millis>,
    /// Number of the request that the action applies to.
    #[serde(rename = "Ref", skip_serializing_if = "Option::is_none")]
    id: Option<RequestId>,
    /// Number of the instance.
    #[serde(rename = "ServerId")]
    server: u64,
    /// Whether health checks are served from the cache; see [`Action::SetHealth`].
    #[serde(rename = "Stored", skip_serializing_if = "Option::is_none")]
    is_cached: Option<bool>,
    /// Time for which a key is retained or a connection may be idle, ms.
    #[serde(rename = "Ttl", skip_serializing_if = "Option::is_none")]
    duration: Option<Millis>,
    /// Whether the instance is reported as healthy; see [`Action::SetHealth`].
    #[serde(rename = "Want", skip_serializing_if = "Option::is_none")]
    is_healthy: Option<bool>,
    /// Value of the feedback signal; see [`Action::SetSignal`].
    #[serde(rename = "X", skip_serializing_if = "Option::is_none")]
    signal: Option<f64>,
    #[serde(rename = "msg")]
    name: ActionName,
}

/// The wire name of an action.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum ActionName {
    #[serde(rename = "TAKE")]
    Run,
    #[serde(rename = "REPLAY")]
    ReuseResult,
    #[serde(rename = "SHED")]
    Reject,
    #[serde(rename = "FINISH_ERROR")]
    Fail,
    #[serde(rename = "ABORT_WORK")]
    Preempt,
    #[serde(rename = "GO_CALL")]
    Call,
    #[serde(rename = "DEGRADE")]
    SkipCall,
    #[serde(rename = "RETAIN")]
    RetainKey,
    #[serde(rename = "ERASE")]
    ReleaseKey,
    #[serde(rename = "STATUS")]
    SetHealth,
    #[serde(rename = "STAMP")]
    SetSignal,
    #[serde(rename = "REAP_AFTER")]
    SetIdleTimeout,
    #[serde(rename = "SET_TIMER")]
    SetTimer,
}

impl ActionMessage {
    /// Converts an action of the instance `server` to its message.
    pub fn new(server: u64, action: Action) -> ActionMessage {
        let message = |name| ActionMessage::without_values(server, name);
        let request_message = |name, id| ActionMessage { id: Some(id), ..message(name) };
        match action {
            Action::Run(id) => request_message(ActionName::Run, id),
            Action::ReuseResult(id) => request_message(ActionName::ReuseResult, id),
            Action::Reject { id, retry_after, is_final } => ActionMessage {
                retry_after: Some(retry_after),
                is_final: Some(is_final),
                ..request_message(ActionName::Reject, id)
            },
            Action::Fail(id) => request_message(ActionName::Fail, id),
            Action::Preempt(id) => request_message(ActionName::Preempt, id),
            Action::Call { id, deadline } => {
                ActionMessage { deadline: Some(deadline), ..request_message(ActionName::Call, id) }
            }
            Action::SkipCall(id) => request_message(ActionName::SkipCall, id),
            Action::RetainKey { id, ttl } => {
                ActionMessage { duration: Some(ttl), ..request_message(ActionName::RetainKey, id) }
            }
            Action::ReleaseKey(id) => request_message(ActionName::ReleaseKey, id),
            Action::SetHealth { is_healthy, is_cached } => ActionMessage {
                is_healthy: Some(is_healthy),
                is_cached: Some(is_cached),
                ..message(ActionName::SetHealth)
            },
            Action::SetSignal(signal) => {
                ActionMessage { signal: Some(signal), ..message(ActionName::SetSignal) }
            }
            Action::SetIdleTimeout(timeout) => {
                ActionMessage { duration: Some(timeout), ..message(ActionName::SetIdleTimeout) }
            }
            Action::SetTimer(at) => {
                ActionMessage { at: Some(at), cookie: Some(TIMER_COOKIE), ..message(ActionName::SetTimer) }
            }
        }
    }

    /// Creates a message with the instance and the action only.
    fn without_values(server: u64, name: ActionName) -> ActionMessage {
        ActionMessage {
            deadline: None,
            at: None,
            cookie: None,
            is_final: None,
            retry_after: None,
            id: None,
            server,
            is_cached: None,
            duration: None,
            is_healthy: None,
            signal: None,
            name,
        }
    }
}

#[cfg(test)]
mod tests;
