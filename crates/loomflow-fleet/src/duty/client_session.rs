//! A member's view of its own session and of the duties that it owns. Its validity is counted on the member's boot-time
//! clock from before a renewal was sent: a late response is valid for the rest of the lease only, and after a long suspend
//! not at all.

use std::collections::BTreeMap;

use super::{DutyName, LeaseSettings, OwnedDuty, Ownership, SessionId, Token};
use crate::member::FleetRequestId;
use crate::time::IntegerMillis;

/// Number of renewals within one lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// Minimum time between two renewals, ms.
const MIN_RENEWAL_GAP_MILLIS: IntegerMillis = 20;

/// A change in the duties that a server owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnershipChange {
    /// The server acquired a duty.
    Acquired(OwnedDuty),
    /// The server has to finish or checkpoint the duty and release it.
    ReleaseRequested(DutyName, Token),
    /// The server no longer owns the duty and must stop all work on it.
    Lost(DutyName, Token),
}

/// The session of one server, from the server's side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClientSession {
    session: SessionId,
    lease_settings: LeaseSettings,
    /// When the session expires, on the clock of this server, ms.
    valid_until: IntegerMillis,
    duties: BTreeMap<DutyName, OwnedDuty>,
    /// The highest token of each duty that the server released in this session. A message sent before the release may still
    /// list the duty with such a token.
    released: BTreeMap<DutyName, Token>,
    /// The renewal that awaits a response, and when it was sent.
    pending_renewal: Option<(FleetRequestId, IntegerMillis)>,
    next_renewal_at: IntegerMillis,
    changes: Vec<OwnershipChange>,
}

impl ClientSession {
    /// The token under which the server owns a duty at `now`. No other server owns the duty then, provided that the clocks
    /// stay within [`super::MAX_CLOCK_DRIFT`].
    pub fn owned_token(&self, duty: &str, now: IntegerMillis) -> Option<Token> {
        if now >= self.valid_until {
            return None;
        }
        self.duties.get(duty).map(|owned| owned.token)
    }

    /// All duties of the session, whether the session is still valid or not.
    pub fn duties(&self) -> impl Iterator<Item = &OwnedDuty> {
        self.duties.values()
    }

    /// A duty of the session, whether the session is still valid or not.
    pub fn duty(&self, duty: &str) -> Option<&OwnedDuty> {
        self.duties.get(duty)
    }

    /// When the session expires, on the clock of this server, ms.
    pub fn valid_until(&self) -> IntegerMillis {
        self.valid_until
    }

    /// The number of the session; 0 before the first one.
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// When the next renewal is due or the session expires.
    pub fn next_wake(&self) -> IntegerMillis {
        if self.duties.is_empty() { self.next_renewal_at } else { self.next_renewal_at.min(self.valid_until) }
    }

    /// Whether a renewal has to be sent at `now`.
    pub fn is_renewal_due(&self, now: IntegerMillis) -> bool {
        now >= self.next_renewal_at
    }

    /// Records that a renewal is sent. Returns the id of the previous renewal if that has no response yet.
    pub fn renewal_sent(&mut self, id: FleetRequestId, now: IntegerMillis) -> Option<FleetRequestId> {
        let period = self.lease_settings.lease_millis / RENEWALS_PER_LEASE;
        self.next_renewal_at = now + period.max(MIN_RENEWAL_GAP_MILLIS);
        self.pending_renewal.replace((id, now)).map(|(previous, _)| previous)
    }

    /// Whether this request is the renewal that awaits a response.
    pub fn is_pending_renewal(&self, id: FleetRequestId) -> bool {
        self.pending_renewal.is_some_and(|(pending, _)| pending == id)
    }

    /// Handles the response to a renewal that was first sent at `sent_at`. A response of an earlier session, or one whose
    /// lease is over, is ignored.
    pub fn renewed(&mut self, ownership: Ownership, sent_at: IntegerMillis, now: IntegerMillis) {
        self.pending_renewal = None;
        self.expire(now);
        let valid_until = sent_at + ownership.lease_settings.owner_duration();
        if ownership.session < self.session || valid_until <= now {
            return;
        }
        if ownership.session > self.session {
            // The leases of the previous session ended with it.
            self.drop_all_duties();
            self.released.clear();
            self.session = ownership.session;
            self.valid_until = 0;
        }
        self.lease_settings = ownership.lease_settings;
        self.valid_until = self.valid_until.max(valid_until);
        // A duty that the response lacks is kept: only the end of the session or a release removes it.
        self.merge_duties(ownership.duties);
    }

    /// Handles a notification without a renewal: it changes the duties of the current session and does not
    /// extend it. A notification of a later session makes the next renewal due earlier; that renewal confirms
    /// the session.
    pub fn notified(&mut self, ownership: Ownership, now: IntegerMillis) {
        self.expire(now);
        if ownership.session == self.session && now < self.valid_until {
            self.merge_duties(ownership.duties);
        } else if ownership.session > self.session {
            self.next_renewal_at = self.next_renewal_at.min(now + MIN_RENEWAL_GAP_MILLIS);
        }
    }

    /// Removes a duty that the server releases. Returns the token for the release command.
    pub fn release(&mut self, duty: &str) -> Option<Token> {
        let owned = self.duties.remove(duty)?;
        let highest = self.released.entry(duty.to_owned()).or_default();
        *highest = owned.token.max(*highest);
        Some(owned.token)
    }

    /// Requests the release of all duties, when the server shuts down.
    pub fn recall_all(&mut self) {
        for owned in self.duties.values_mut().filter(|owned| !owned.is_recalled) {
            owned.is_recalled = true;
            self.changes.push(OwnershipChange::ReleaseRequested(owned.duty.clone(), owned.token));
        }
    }

    /// Ends the session for good: no renewal is due any more.
    pub fn end(&mut self) {
        self.drop_all_duties();
        self.valid_until = 0;
        self.next_renewal_at = IntegerMillis::MAX;
        self.pending_renewal = None;
    }

    /// Drops all duties if the session has expired.
    pub fn expire(&mut self, now: IntegerMillis) {
        if now >= self.valid_until {
            self.drop_all_duties();
        }
    }

    /// Takes the changes since the last call, in the order in which they happened.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    fn merge_duties(&mut self, duties: Vec<OwnedDuty>) {
        for owned in duties {
            let released = self.released.get(&owned.duty).copied().unwrap_or(0);
            if owned.token <= released {
                continue;
            }
            match self.duties.get_mut(&owned.duty) {
                Some(current) if current.token > owned.token => {}
                Some(current) if current.token == owned.token => {
                    if owned.is_recalled && !current.is_recalled {
                        let change = OwnershipChange::ReleaseRequested(owned.duty.clone(), owned.token);
                        self.changes.push(change);
                    }
                    // A delayed message from before the recall must not undo it.
                    let is_recalled = owned.is_recalled || current.is_recalled;
                    *current = OwnedDuty { is_recalled, ..owned };
                }
                _ => self.acquire(owned),
            }
        }
    }

    fn acquire(&mut self, owned: OwnedDuty) {
        self.changes.push(OwnershipChange::Acquired(owned.clone()));
        if owned.is_recalled {
            self.changes.push(OwnershipChange::ReleaseRequested(owned.duty.clone(), owned.token));
        }
        self.duties.insert(owned.duty.clone(), owned);
    }

    fn drop_all_duties(&mut self) {
        let dropped = std::mem::take(&mut self.duties);
        let change = |owned: OwnedDuty| OwnershipChange::Lost(owned.duty, owned.token);
        self.changes.extend(dropped.into_values().map(change));
    }
}

#[cfg(test)]
mod tests;
