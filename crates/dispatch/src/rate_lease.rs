//! Leases of the hosts' units of the team rates.
//!
//! Load pattern: dispatchers are replaced one after the other by a rolling restart, or the fleet is parted, while one team
//! sends many times its rate. Each host has one unit of the fleet's rates and lends it to one dispatcher at a time, so that
//! the units of all dispatchers together are at most those of the hosts, whoever hears whom.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Life of a lease from when it is sent. Each long poll renews it, at least every 0.5 s.
pub const LEASE_TERM: Duration = Duration::from_secs(1);

/// Time beyond [`LEASE_TERM`] for which a host does not lend its unit elsewhere. The dispatcher counts the term from the
/// arrival of the lease.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// The units that a dispatcher has borrowed.
#[derive(Clone, Debug, Default)]
pub struct LeaseBook {
    leases: IndexMap<HostId, MonoTime>,
}

impl LeaseBook {
    /// Creates a book without leases.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a lease of a host that has `term` left, at most [`LEASE_TERM`].
    pub fn on_lease(&mut self, host: &HostId, term: Duration, now: MonoTime) {
        let ends_at = now.after(term.min(LEASE_TERM));
        self.leases.insert(host.clone(), ends_at);
    }

    /// Returns all leases to their hosts, as this dispatcher leaves.
    pub fn return_all(&mut self) {
        self.leases.clear();
    }

    /// Returns the number of units that are borrowed at `now`.
    pub fn units(&mut self, now: MonoTime) -> u32 {
        self.leases.retain(|_, ends_at| now < *ends_at);
        u32::try_from(self.leases.len()).unwrap_or(u32::MAX)
    }
}

/// A process that borrows units.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseBorrower {
    /// Host of the process.
    pub host: HostId,
    /// Incarnation of the process.
    pub incarnation: HostIncarnation,
}

impl LeaseBorrower {
    /// Returns `true` if a later process runs on the host.
    pub fn is_replaced_by(&self, process: &Self) -> bool {
        self.host == process.host && self.incarnation < process.incarnation
    }
}

/// The unit of one host: to whom it is lent.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolder {
    lent: Option<(LeaseBorrower, MonoTime)>,
}

impl LeaseHolder {
    /// Creates a holder whose unit is not lent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if the unit is lent at `now`.
    pub fn is_lent(&self, now: MonoTime) -> bool {
        let valid_for = LEASE_TERM + LEASE_MARGIN;
        let lent = self.lent.as_ref();
        lent.is_some_and(|(_, sent_at)| now.since(*sent_at) < valid_for)
    }

    /// Lends the unit to a dispatcher, or renews its lease. Returns the dispatcher from which the unit moves, which is the
    /// same one for a renewal.
    ///
    /// # Errors
    ///
    /// Returns the dispatcher that still holds the unit.
    pub fn try_lend(
        &mut self,
        to: &LeaseBorrower,
        now: MonoTime,
    ) -> Result<Option<LeaseBorrower>, LeaseBorrower> {
        let is_lent = self.is_lent(now);
        let previous = self.lent.as_ref().map(|(borrower, _)| borrower.clone());
        if let Some(borrower) = &previous
            && is_lent
            && borrower != to
        {
            return Err(borrower.clone());
        }
        self.lent = Some((to.clone(), now));
        Ok(previous)
    }

    /// Frees the unit, as the borrower has returned it or its process is known to have ended. Another borrower keeps it.
    pub fn on_returned(&mut self, by: &LeaseBorrower) {
        self.lent.take_if(|(borrower, _)| borrower == by);
    }

    /// Frees the unit if a later process runs on the host of its borrower.
    pub fn on_started(&mut self, process: &LeaseBorrower) {
        self.lent
            .take_if(|(borrower, _)| borrower.is_replaced_by(process));
    }
}
