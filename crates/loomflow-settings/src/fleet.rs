//! Options of the fleet: its members, the limits on concurrent maintenance, and its duties.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::duties::Duties;
use crate::error::OptionFault;

/// Allowed numbers of voters.
const VOTER_COUNTS: [usize; 2] = [3, 5];
/// Longest name of a member, bytes.
const MAX_NAME_BYTES: usize = 64;

/// The fleet that this server is a member of. Off if absent.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Fleet {
    /// The fleet's name; messages of other fleets are ignored.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// Where this server listens for the other members: an address of their private network. The traffic is neither
    /// encrypted nor signed.
    pub listen: SocketAddr,
    /// Where the other members reach this server, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The zone of this server.
    #[serde(default)]
    #[garde(length(bytes, max = 64))]
    pub zone: String,
    /// A folder of its own for state that must survive a restart. The operators' socket has the same name with `.sock`
    /// added. Relative to this file.
    pub state: PathBuf,
    /// The voting members, the same on every member: 3 or 5. The other members join through them.
    #[garde(length(max = 5), dive)]
    pub voters: Vec<Voter>,
    /// Addresses of members by name, instead of those that they advertise.
    #[serde(default)]
    pub via: BTreeMap<String, SocketAddr>,
    /// How many servers may be out of service at once, in all ...
    #[serde(default = "default_out")]
    #[garde(dive)]
    pub out: Amount,
    /// ... and in one zone; without a limit of its own if absent.
    #[garde(dive)]
    pub zone_out: Option<Amount>,
    /// A server that was granted its maintenance and does not begin within this loses the grant, s.
    #[serde(default = "default_begin_within")]
    #[garde(range(min = 1, max = 3_600))]
    pub begin_within_s: u64,
    /// A server that is back must carry its load for this long before the next one may go, s.
    #[serde(default = "default_recovery")]
    #[garde(range(min = 0, max = 3_600))]
    pub warm_for_s: u64,
    /// Send share from which a server counts as carrying its load.
    #[serde(default = "default_recovery_share")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub warm_share: f32,
    /// Periodic work that one server does at a time. Off if absent.
    #[garde(dive)]
    pub duties: Option<Duties>,
}

/// A voting member.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Voter {
    /// The server's name, as in its configuration.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// Where the other members reach it.
    pub address: SocketAddr,
}

/// A number or a share of servers.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Amount {
    /// Number of servers, at least 1.
    Count(#[garde(range(min = 1, max = 10_000))] u32),
    /// Share of all servers, above 0 to 1; rounded down, but at least one server.
    Share(#[garde(range(min = 0.001, max = 1.0))] f64),
}

fn default_out() -> Amount {
    Amount::Count(1)
}

fn default_begin_within() -> u64 {
    30
}

fn default_recovery() -> u64 {
    10
}

fn default_recovery_share() -> f32 {
    0.9
}

impl Fleet {
    /// Returns all contradictions between the options on the server with this name.
    pub fn faults(&self, server: &str) -> Vec<OptionFault> {
        let mut faults = Vec::new();
        let mut fault = |key: &str, problem: String| faults.push(OptionFault::new(key, problem));
        if !VOTER_COUNTS.contains(&self.voters.len()) {
            fault("fleet.voters", format!("{} voters are listed, 3 or 5 are required", self.voters.len()));
        }
        let names: BTreeSet<&str> = self.voters.iter().map(|voter| voter.name.as_str()).collect();
        let addresses: BTreeSet<SocketAddr> = self.voters.iter().map(|voter| voter.address).collect();
        if names.len() < self.voters.len() || addresses.len() < self.voters.len() {
            fault("fleet.voters", "names and addresses must be unique".into());
        }
        if server.len() > MAX_NAME_BYTES {
            fault(
                "name",
                format!("{} bytes long, a member's name has at most {MAX_NAME_BYTES}", server.len()),
            );
        }
        let own = self.voters.iter().find(|voter| voter.name == server);
        let address = self.advertised_address();
        if own.is_some_and(|voter| voter.address != address) {
            fault("fleet.voters", format!("{server} is this server, whose address is {address}"));
        }
        if address.ip().is_unspecified() {
            fault("fleet.advertise", "required because listen is not a specific address".into());
        }
        faults.extend(self.duties.iter().flat_map(Duties::faults));
        faults
    }

    /// Returns the address at which the other members reach this server.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the path of the operators' socket.
    pub fn socket(&self) -> PathBuf {
        self.state.with_extension("sock")
    }
}

#[cfg(test)]
pub(crate) mod tests;
