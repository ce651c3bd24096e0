//! What a member knows of its own session and of the duties that it owns. It relies on its own boot-time clock alone,
//! counted from before a renewal was sent: an answer that comes late is valid for the rest of its lease, and not at all
//! after a long sleep.

use std::collections::BTreeMap;

use super::{DutyName, LeaseSettings, OwnedDuty, Ownership, SessionId, Token};
use crate::member::FleetRequestId;
use crate::time::IntegerMillis;

/// A session is renewed this many times within its length.
const RENEWALS_PER_LEASE: u64 = 4;
/// Shortest time between two renewals, ms.
const MIN_RENEWAL_GAP_MILLIS: IntegerMillis = 20;

/// A change in what a server owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OwnershipChange {
    /// The server owns a duty.
    Acquired(OwnedDuty),
    /// The server is to finish or checkpoint it, and release it.
    ReleaseRequested(DutyName, Token),
    /// The server no longer owns it: nothing more may be done for it.
    Lost(DutyName, Token),
}

/// The session of one server, as the server itself knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClientSession {
    session: SessionId,
    lease_settings: LeaseSettings,
    /// The session is valid until then.
    valid_until: IntegerMillis,
    duties: BTreeMap<DutyName, OwnedDuty>,
    /// What this session released: a duty with a token up to this one is not taken up again.
    released: BTreeMap<DutyName, Token>,
    /// The renewal that has no answer yet, and when it was sent first.
    pending_renewal: Option<(FleetRequestId, IntegerMillis)>,
    next_renewal_at: IntegerMillis,
    changes: Vec<OwnershipChange>,
}

impl ClientSession {
    /// The token by which the server owns a duty at this moment. Nobody else owns it, as far as clocks stay within
    /// [`super::MAX_CLOCK_DRIFT`].
    pub fn owned_token(&self, duty: &str, now: IntegerMillis) -> Option<Token> {
        if now >= self.valid_until {
            return None;
        }
        self.duties.get(duty).map(|owned| owned.token)
    }

    /// All duties of the session, whether it is still valid or not.
    pub fn duties(&self) -> impl Iterator<Item = &OwnedDuty> {
        self.duties.values()
    }

    /// One duty of the session, whether it is still valid or not.
    pub fn duty(&self, duty: &str) -> Option<&OwnedDuty> {
        self.duties.get(duty)
    }

    /// Until when the server owns what it owns, on its own clock.
    pub fn valid_until(&self) -> IntegerMillis {
        self.valid_until
    }

    /// The number of the session; 0 before there was one.
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        if self.duties.is_empty() { self.next_renewal_at } else { self.next_renewal_at.min(self.valid_until) }
    }

    /// Whether the session is to be renewed now.
    pub fn is_renewal_due(&self, now: IntegerMillis) -> bool {
        now >= self.next_renewal_at
    }

    /// A renewal is sent. Returns the one before, if it was not answered.
    pub fn renewal_sent(&mut self, id: FleetRequestId, now: IntegerMillis) -> Option<FleetRequestId> {
        let period = self.lease_settings.lease_millis / RENEWALS_PER_LEASE;
        self.next_renewal_at = now + period.max(MIN_RENEWAL_GAP_MILLIS);
        self.pending_renewal.replace((id, now)).map(|(before, _)| before)
    }

    /// Whether this request is the renewal that has no answer yet.
    pub fn is_pending_renewal(&self, id: FleetRequestId) -> bool {
        self.pending_renewal.is_some_and(|(pending, _)| pending == id)
    }

    /// The answer to a renewal that was first sent at `sent_at`.
    pub fn renewed(&mut self, ownership: Ownership, sent_at: IntegerMillis, now: IntegerMillis) {
        self.pending_renewal = None;
        self.expire(now);
        let valid_until = sent_at + ownership.lease_settings.owner_duration();
        if ownership.session < self.session || valid_until <= now {
            return;
        }
        if ownership.session > self.session {
            // Another session: whatever the one before owned is lost.
            self.lose_all();
            self.released.clear();
            self.session = ownership.session;
            self.valid_until = 0;
        }
        self.lease_settings = ownership.lease_settings;
        self.valid_until = self.valid_until.max(valid_until);
        // A duty that is missing here stays: only the end of the session, or a release, takes it away.
        self.accept(ownership.duties);
    }

    /// Received without a renewal: counts for the current session, and does not extend it.
    pub fn notified(&mut self, ownership: Ownership, now: IntegerMillis) {
        self.expire(now);
        if ownership.session == self.session && now < self.valid_until {
            self.accept(ownership.duties);
        } else if ownership.session > self.session {
            self.next_renewal_at = self.next_renewal_at.min(now + MIN_RENEWAL_GAP_MILLIS);
        }
    }

    /// The server releases a duty; returns the token that the release has to carry.
    pub fn release(&mut self, duty: &str) -> Option<Token> {
        let owned = self.duties.remove(duty)?;
        let last = self.released.entry(duty.to_owned()).or_default();
        *last = owned.token.max(*last);
        Some(owned.token)
    }

    /// The server shuts down: all that it owns is to be released.
    pub fn recall_all(&mut self) {
        for owned in self.duties.values_mut().filter(|owned| !owned.is_recalled) {
            owned.is_recalled = true;
            self.changes.push(OwnershipChange::ReleaseRequested(owned.duty.clone(), owned.token));
        }
    }

    /// The server closes the session: it is assigned nothing more.
    pub fn end(&mut self) {
        self.lose_all();
        self.valid_until = 0;
        self.next_renewal_at = IntegerMillis::MAX;
        self.pending_renewal = None;
    }

    /// Takes away what is owned, where the session has expired.
    pub fn expire(&mut self, now: IntegerMillis) {
        if now >= self.valid_until {
            self.lose_all();
        }
    }

    /// Changes since this was last called, in their order.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    fn accept(&mut self, duties: Vec<OwnedDuty>) {
        for owned in duties {
            let released = self.released.get(&owned.duty).copied().unwrap_or(0);
            if owned.token <= released {
                continue;
            }
            match self.duties.get_mut(&owned.duty) {
                Some(known) if known.token > owned.token => {}
                Some(known) if known.token == owned.token => {
                    if owned.is_recalled && !known.is_recalled {
                        let change = OwnershipChange::ReleaseRequested(owned.duty.clone(), owned.token);
                        self.changes.push(change);
                    }
                    // An older message does not undo a recall.
                    let is_recalled = owned.is_recalled || known.is_recalled;
                    *known = OwnedDuty { is_recalled, ..owned };
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

    fn lose_all(&mut self) {
        let lost = std::mem::take(&mut self.duties);
        let change = |owned: OwnedDuty| OwnershipChange::Lost(owned.duty, owned.token);
        self.changes.extend(lost.into_values().map(change));
    }
}

#[cfg(test)]
mod tests;
