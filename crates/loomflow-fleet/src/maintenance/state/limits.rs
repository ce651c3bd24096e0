//! How many servers may be out at once: the operators' limits for the fleet and each zone, and the majority of the voters.
//! The leader checks before it grants, and the state machine checks again when the grant is applied.

use std::collections::BTreeMap;

use super::MaintenanceState;
use crate::maintenance::Census;
use crate::maintenance::rules::voters_needed;
use crate::maintenance::ticket::Rejection;
use crate::member::Zone;

impl MaintenanceState {
    /// Checks whether one more server may be out: the limits of fleet and zone, and the voters. Counts servers and not
    /// tickets, so that one that is down and has a ticket is out once.
    ///
    /// # Errors
    /// The limit that would be exceeded.
    pub fn check_place(&self, server: &str, zone: &str, census: &Census) -> Result<(), Rejection> {
        let out = self.out_with(server, zone, census);
        self.check_limits(zone, &out, census)?;
        self.check_voters(server, &out)
    }

    /// How many servers would be out if this one left, and how many may be in the fleet.
    pub fn out_and_limit(&self, server: &str, zone: &str, census: &Census) -> (usize, u32) {
        (self.out_with(server, zone, census).len(), self.fleet_limit(census))
    }

    /// All that would be out if this server left, with their zones.
    fn out_with<'a>(
        &'a self,
        server: &'a str,
        zone: &'a str,
        census: &'a Census,
    ) -> BTreeMap<&'a str, &'a str> {
        let mut out: BTreeMap<&str, &str> =
            census.away.iter().map(|(name, zone)| (name.as_str(), zone.as_str())).collect();
        for (name, id) in &self.tickets_with_place {
            let zone = self.state.open.get(id).map_or("", |ticket| ticket.request.zone.as_str());
            out.insert(name, zone);
        }
        out.insert(server, zone);
        out
    }

    /// Servers that may be out at once in the fleet.
    fn fleet_limit(&self, census: &Census) -> u32 {
        let fleet_size = census.zones.iter().map(|(_, count)| count).sum();
        self.state.rules.clone().unwrap_or_default().max_out.of(fleet_size)
    }

    fn check_limits(&self, zone: &str, out: &BTreeMap<&str, &str>, census: &Census) -> Result<(), Rejection> {
        check_limit(out.len(), self.fleet_limit(census), None)?;
        let rules = self.state.rules.clone().unwrap_or_default();
        if let Some(limit) = rules.max_out_per_zone {
            let zone_size = census.zones.iter().find(|(name, _)| name == zone).map_or(0, |(_, count)| *count);
            let count = out.values().filter(|other| **other == zone).count();
            check_limit(count, limit.of(zone_size), Some(zone.to_owned()))?;
        }
        Ok(())
    }

    fn check_voters(&self, server: &str, out: &BTreeMap<&str, &str>) -> Result<(), Rejection> {
        let voters = &self.state.voters;
        if !voters.iter().any(|voter| voter == server) {
            return Ok(());
        }
        let stay = voters.iter().filter(|voter| !out.contains_key(voter.as_str())).count() as u32;
        let needed = voters_needed(voters.len() as u32);
        if stay < needed { Err(Rejection::Voters { stay, needed }) } else { Ok(()) }
    }
}

/// `count`: servers that would be out, with the one that is to go.
fn check_limit(count: usize, limit: u32, zone: Option<Zone>) -> Result<(), Rejection> {
    if count as u32 <= limit {
        return Ok(());
    }
    Err(Rejection::NoPlace { out: count as u32 - 1, limit, zone })
}
