//! Messages to the simulator: an action of the controller each.
//!
//! Keys are written in alphabetical order, which is that of the fields here; a number that is not finite is written as
//! null.

use loomflow::interface::{Action, RequestId};
use loomflow::time::Millis;
use serde::Serialize;

/// The cookie of the only timer that is in use.
const TIMER_COOKIE: &str = "t";

/// The line of output for a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// Number of the batch.
    #[serde(rename = "batch")]
    pub number: u64,
    /// The actions of all instances.
    #[serde(rename = "outbox")]
    pub actions: Vec<ActionMessage>,
}

/// An action of an instance. Only the keys that belong to the action are written.
#[derive(Debug, Serialize)]
pub struct ActionMessage {
    /// See [`Action::Call`].
    #[serde(rename = "AbandonAt", skip_serializing_if = "Option::is_none")]
    deadline: Option<Millis>,
    /// See [`Action::SetTimer`].
    #[serde(rename = "AlarmTime", skip_serializing_if = "Option::is_none")]
    at: Option<Millis>,
    /// The timer that is set.
    #[serde(rename = "Cookie", skip_serializing_if = "Option::is_none")]
    cookie: Option<&'static str>,
    /// See [`Action::Reject`].
    #[serde(rename = "Final", skip_serializing_if = "Option::is_none")]
    is_final: Option<bool>,
    /// See [`Action::Reject`].
    #[serde(rename = "Pause", skip_serializing_if = "Option::is_none")]
    retry_after: Option<Millis>,
    /// The request that the action is about.
    #[serde(rename = "Ref", skip_serializing_if = "Option::is_none")]
    id: Option<RequestId>,
    /// The number of the instance.
    #[serde(rename = "ServerId")]
    server: u64,
    /// See [`Action::SetHealth`].
    #[serde(rename = "Stored", skip_serializing_if = "Option::is_none")]
    is_cached: Option<bool>,
    /// How long a key is retained, or a connection may be idle.
    #[serde(rename = "Ttl", skip_serializing_if = "Option::is_none")]
    duration: Option<Millis>,
    /// See [`Action::SetHealth`].
    #[serde(rename = "Want", skip_serializing_if = "Option::is_none")]
    is_healthy: Option<bool>,
    /// See [`Action::SetSignal`].
    #[serde(rename = "X", skip_serializing_if = "Option::is_none")]
    signal: Option<f64>,
    #[serde(rename = "msg")]
    name: ActionName,
}

/// The name of an action on the wire.
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
    /// The message for an action of the instance `server`.
    pub fn new(server: u64, action: Action) -> ActionMessage {
        let message = |name| ActionMessage::without_values(server, name);
        let about = |name, id| ActionMessage { id: Some(id), ..message(name) };
        match action {
            Action::Run(id) => about(ActionName::Run, id),
            Action::ReuseResult(id) => about(ActionName::ReuseResult, id),
            Action::Reject { id, retry_after, is_final } => ActionMessage {
                retry_after: Some(retry_after),
                is_final: Some(is_final),
                ..about(ActionName::Reject, id)
            },
            Action::Fail(id) => about(ActionName::Fail, id),
            Action::Preempt(id) => about(ActionName::Preempt, id),
            Action::Call { id, deadline } => {
                ActionMessage { deadline: Some(deadline), ..about(ActionName::Call, id) }
            }
            Action::SkipCall(id) => about(ActionName::SkipCall, id),
            Action::RetainKey { id, ttl } => {
                ActionMessage { duration: Some(ttl), ..about(ActionName::RetainKey, id) }
            }
            Action::ReleaseKey(id) => about(ActionName::ReleaseKey, id),
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

    /// A message that names no more than the instance and the action.
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
