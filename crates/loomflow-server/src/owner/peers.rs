//! The peers that this server calls or reports to.

use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_settings::Config;

use crate::control_plane;
use crate::engine::{EngineLink, LostLink};
use crate::ledger::Ledger;
use crate::log;
use crate::mailbox::Mailbox;

/// The engine, the ledger and the control plane.
pub(super) struct Peers {
    pub(super) engine: EngineLink,
    pub(super) ledger: Ledger,
    control_plane: control_plane::AddressSender,
}

impl Peers {
    /// Connects to the engine. `max_ledger_connections` bounds the connections to the ledger, which calls open.
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

    /// Takes up the addresses of a new configuration. Returns the engine's link where it is replaced.
    pub(super) fn set_addresses(&mut self, current: &Config, new: &Config, now: Millis) -> Option<LostLink> {
        let lost = self.engine.set_address(new.engine);
        self.ledger.set_address(new.ledger, now);
        if new.control != current.control && self.control_plane.send(new.control).is_err() {
            log!("reports to the control plane have stopped");
        }
        lost
    }
}
