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

/// An action of the instance that `server` numbers.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum ActionMessage {
    /// An action that takes no more than the request.
    Request {
        #[serde(rename = "Ref")]
        id: RequestId,
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::Reject`].
    Reject {
        #[serde(rename = "Final")]
        is_final: bool,
        #[serde(rename = "Pause")]
        retry_after: Millis,
        #[serde(rename = "Ref")]
        id: RequestId,
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::Call`].
    Call {
        #[serde(rename = "AbandonAt")]
        deadline: Millis,
        #[serde(rename = "Ref")]
        id: RequestId,
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::RetainKey`].
    RetainKey {
        #[serde(rename = "Ref")]
        id: RequestId,
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "Ttl")]
        ttl: Millis,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::SetHealth`].
    SetHealth {
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "Stored")]
        is_cached: bool,
        #[serde(rename = "Want")]
        is_healthy: bool,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::SetSignal`].
    SetSignal {
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "X")]
        signal: f64,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::SetIdleTimeout`].
    SetIdleTimeout {
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "Ttl")]
        timeout: Millis,
        #[serde(rename = "msg")]
        name: ActionName,
    },
    /// See [`Action::SetTimer`].
    SetTimer {
        #[serde(rename = "AlarmTime")]
        at: Millis,
        #[serde(rename = "Cookie")]
        cookie: &'static str,
        #[serde(rename = "ServerId")]
        server: u64,
        #[serde(rename = "msg")]
        name: ActionName,
    },
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
        let about = |name, id| ActionMessage::Request { id, server, name };
        match action {
            Action::Run(id) => about(ActionName::Run, id),
            Action::ReuseResult(id) => about(ActionName::ReuseResult, id),
            Action::Reject { id, retry_after, is_final } => {
                ActionMessage::Reject { is_final, retry_after, id, server, name: ActionName::Reject }
            }
            Action::Fail(id) => about(ActionName::Fail, id),
            Action::Preempt(id) => about(ActionName::Preempt, id),
            Action::Call { id, deadline } => {
                ActionMessage::Call { deadline, id, server, name: ActionName::Call }
            }
            Action::SkipCall(id) => about(ActionName::SkipCall, id),
            Action::RetainKey { id, ttl } => {
                ActionMessage::RetainKey { id, server, ttl, name: ActionName::RetainKey }
            }
            Action::ReleaseKey(id) => about(ActionName::ReleaseKey, id),
            Action::SetHealth { is_healthy, is_cached } => {
                ActionMessage::SetHealth { server, is_cached, is_healthy, name: ActionName::SetHealth }
            }
            Action::SetSignal(signal) => {
                ActionMessage::SetSignal { server, signal, name: ActionName::SetSignal }
            }
            Action::SetIdleTimeout(timeout) => {
                ActionMessage::SetIdleTimeout { server, timeout, name: ActionName::SetIdleTimeout }
            }
            Action::SetTimer(at) => {
                ActionMessage::SetTimer { at, cookie: TIMER_COOKIE, server, name: ActionName::SetTimer }
            }
        }
    }
}

#[cfg(test)]
mod tests;
