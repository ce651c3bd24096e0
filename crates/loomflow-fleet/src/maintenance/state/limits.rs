//! Limits on how many servers may be out of service at once: the operators' limits for the fleet and for each
//! zone, and the number of voters that have to remain healthy. The leader checks them before it grants, and
//! the state machine again when it applies the grant.

use std::collections::BTreeMap;

use super::MaintenanceState;
use crate::maintenance::FleetAvailability;
use crate::maintenance::rules::voters_needed;
use crate::maintenance::ticket::Rejection;
use crate::member::Zone;

impl MaintenanceState {
    /// Checks whether one more server may be out of service, by the limits for fleet and zone and by the
    /// voters. Counts servers rather than tickets, so that a server that is down and has a ticket counts
    /// once.
    ///
    /// # Errors
    /// [`Rejection::NoSlot`] or [`Rejection::Voters`], with the figures of the limit that would be exceeded.
    pub fn check_slot(
        &self,
        server: &str,
        zone: &str,
        availability: &FleetAvailability,
    ) -> Result<(), Rejection> {
        let out = self.servers_out_with(server, zone, availability);
        self.check_limits(zone, &out, availability)?;
        self.check_voters(server, &out)
    }

    /// The number of servers that would be out with `server`, and the limit for the fleet.
    pub fn out_and_limit(&self, server: &str, zone: &str, availability: &FleetAvailability) -> (usize, u32) {
        (self.servers_out_with(server, zone, availability).len(), self.fleet_limit(availability))
    }

    /// The servers that would be out with `server`, with their zones: unavailable members and servers that have a slot.
    fn servers_out_with<'a>(
        &'a self,
        server: &'a str,
        zone: &'a str,
        availability: &'a FleetAvailability,
    ) -> BTreeMap<&'a str, &'a str> {
        let mut out: BTreeMap<&str, &str> =
            availability.unavailable.iter().map(|(name, zone)| (name.as_str(), zone.as_str())).collect();
        for (name, id) in &self.tickets_with_slot {
            let zone = self.state.open.get(id).map_or("", |ticket| ticket.request.zone.as_str());
            out.insert(name, zone);
        }
        out.insert(server, zone);
        out
    }

    /// Maximum number of servers out at once in the whole fleet.
    fn fleet_limit(&self, availability: &FleetAvailability) -> u32 {
        let fleet_size = availability.zone_sizes.iter().map(|(_, count)| count).sum();
        self.state.rules.clone().unwrap_or_default().max_out.resolve(fleet_size)
    }

    fn check_limits(
        &self,
        zone: &str,
        out: &BTreeMap<&str, &str>,
        availability: &FleetAvailability,
    ) -> Result<(), Rejection> {
        check_limit(out.len(), self.fleet_limit(availability), None)?;
        let rules = self.state.rules.clone().unwrap_or_default();
        if let Some(limit) = rules.max_out_per_zone {
            let zone_size =
                availability.zone_sizes.iter().find(|(name, _)| name == zone).map_or(0, |(_, count)| *count);
            let count = out.values().filter(|other| **other == zone).count();
            check_limit(count, limit.resolve(zone_size), Some(zone.to_owned()))?;
        }
        Ok(())
    }

    fn check_voters(&self, server: &str, out: &BTreeMap<&str, &str>) -> Result<(), Rejection> {
        let voters = &self.state.voters;
        if !voters.iter().any(|voter| voter == server) {
            return Ok(());
        }
        let remaining = voters.iter().filter(|voter| !out.contains_key(voter.as_str())).count() as u32;
        let needed = voters_needed(voters.len() as u32);
        if remaining < needed { Err(Rejection::Voters { remaining, needed }) } else { Ok(()) }
    }
}

/// Checks `count`, the number of servers that would be out including the candidate, against the limit for a zone or for the
/// fleet (`zone` is `None`).
fn check_limit(count: usize, limit: u32, zone: Option<Zone>) -> Result<(), Rejection> {
    if count as u32 <= limit {
        return Ok(());
    }
    Err(Rejection::NoSlot { out: count as u32 - 1, limit, zone })
}
