//! The peers that this server connects to: engine, ledger and control plane.

use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_settings::Config;

use crate::control_plane;
use crate::engine::{EngineLink, LostLink};
use crate::ledger::Ledger;
use crate::log;
use crate::mailbox::Mailbox;

/// The outgoing connections of the server.
pub(super) struct Peers {
    pub(super) engine: EngineLink,
    pub(super) ledger: Ledger,
    /// Sends address changes to the coroutine that reports to the control plane.
    control_plane: control_plane::AddressSender,
}

impl Peers {
    /// Connects to the engine. Up to `max_ledger_connections` connections to the ledger are opened later, as calls need them.
    pub(super) fn start(
        config: &Config,
        max_ledger_connections: usize,
        control_plane: control_plane::AddressSender,
        mailbox: &Arc<Mailbox>,
    ) -> Peers {
        Peers {
            control_plane,
            engine: EngineLink::start(config.engine, mailbox.clone()),
            ledger: Ledger::new(config.ledger, max_ledger_connections, mailbox.clone()),
        }
    }

    /// Applies the peers' addresses in a new configuration. Returns the former link to the engine if its address has changed.
    pub(super) fn set_addresses(&mut self, current: &Config, new: &Config, now: Millis) -> Option<LostLink> {
        let lost = self.engine.set_address(new.engine);
        self.ledger.set_address(new.ledger, now);
        if new.control != current.control && self.control_plane.send(new.control).is_err() {
            log!("the control plane's new address is not used: the reporter has stopped");
        }
        lost
    }
}
