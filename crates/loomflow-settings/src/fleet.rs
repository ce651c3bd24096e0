//! The part of the options file on the fleet: who is in it, and how its machines are taken out for work.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::duties::Duties;

/// The fleet that this server is a member of. Off where absent.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Fleet {
    /// The fleet's name: members of another are not heard.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// Where this server listens for the other members: an address of the network that they share, never one that others
    /// reach. Nothing on it is encrypted or signed.
    pub listen: SocketAddr,
    /// Where the other members reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The zone that it stands in.
    #[serde(default)]
    #[garde(length(bytes, max = 64))]
    pub zone: String,
    /// A folder of its own, for what must outlast the process. The operators' socket stands beside it, its name with `.sock`.
    /// Relative to this file.
    pub state: PathBuf,
    /// Those who vote, the same on every member: 3 or 5. All others join by them, ask them and are told by them.
    #[garde(length(max = 5), dive)]
    pub voters: Vec<Voter>,
    /// Other ways to members, by their names, than the addresses they tell.
    #[serde(default)]
    pub via: BTreeMap<String, SocketAddr>,
    /// How many may be out for work at once, in all ...
    #[serde(default = "one")]
    #[garde(dive)]
    pub out: Amount,
    /// ... and in one zone; no bound of its own where absent.
    #[garde(dive)]
    pub zone_out: Option<Amount>,
    /// A server that may go and does not begin within this loses its turn, s.
    #[serde(default = "begin")]
    #[garde(range(min = 1, max = 3_600))]
    pub begin_within_s: u64,
    /// A server that came back has to bear its load for so long before its place is free, s.
    #[serde(default = "warm")]
    #[garde(range(min = 0, max = 3_600))]
    pub warm_for_s: u64,
    /// The send share from which on it does.
    #[serde(default = "share")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub warm_share: f32,
    /// Work on behalf of the fleet that one server does at a time. Off where absent.
    #[garde(dive)]
    pub duties: Option<Duties>,
}

/// One who votes.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Voter {
    /// The server's name, as in its configuration.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    pub address: SocketAddr,
}

/// So many servers, or such a share of them.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Amount {
    /// Servers, at least 1.
    Count(#[garde(range(min = 1, max = 10_000))] u32),
    /// Of all there are, above 0 to 1; rounded down, but never to none.
    Share(#[garde(range(min = 0.001, max = 1.0))] f64),
}

fn one() -> Amount {
    Amount::Count(1)
}

fn begin() -> u64 {
    30
}

fn warm() -> u64 {
    10
}

fn share() -> f32 {
    0.9
}

impl Fleet {
    /// What is wrong with it for the server of that name: a line for each fault, with its key.
    pub fn faults(&self, server: &str) -> Vec<String> {
        let mut faults = Vec::new();
        if !matches!(self.voters.len(), 3 | 5) {
            faults.push(format!("fleet.voters: 3 or 5 are needed, {} are named", self.voters.len()));
        }
        let names: BTreeSet<&str> = self.voters.iter().map(|voter| voter.name.as_str()).collect();
        let addresses: BTreeSet<SocketAddr> = self.voters.iter().map(|voter| voter.address).collect();
        if names.len() < self.voters.len() || addresses.len() < self.voters.len() {
            faults.push("fleet.voters: each name and each address once".into());
        }
        if server.len() > 64 {
            faults.push("name: a member's name has at most 64 bytes".into());
        }
        let own = self.voters.iter().find(|voter| voter.name == server);
        if own.is_some_and(|voter| voter.address != self.reached_at()) {
            faults.push(format!(
                "fleet.voters: {server} is this server, and is reached at {}",
                self.reached_at()
            ));
        }
        if self.reached_at().ip().is_unspecified() {
            faults.push("fleet.advertise: needed where listen names no single address".into());
        }
        faults.extend(self.duties.iter().flat_map(Duties::faults));
        faults
    }

    /// Where the others reach this server.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The operators' socket.
    pub fn socket(&self) -> PathBuf {
        self.state.with_extension("sock")
    }
}

#[cfg(test)]
pub(crate) mod tests;
