//! The units and shares of the team rates at one host.
//!
//! The rules are those of `chicorycroft_dispatch`; this module keeps their state, each part under its own lock, and logs
//! what changes.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;

/// Shortest time between two lines of the log about tokens that moved.
const MOVED_LOG_PERIOD: Duration = Duration::from_secs(1);

/// What a host knows about itself when it works out its share.
#[derive(Clone, Copy, Debug)]
pub struct ShareView {
    /// Whether the settings list no other host.
    pub is_only_host: bool,
    /// Number of zones in the settings.
    pub zone_count: usize,
    /// Time since the start of the process.
    pub uptime: Duration,
}

impl ShareView {
    /// Returns `true` if this host may not know most of the fleet.
    fn is_partial(self, count: FleetCount) -> bool {
        !self.is_only_host && count.is_partial(self.uptime, self.zone_count)
    }
}

/// A share of the team rates and what it follows from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RateShare {
    /// Units held, the host's own included.
    pub units: u32,
    /// Hosts of the fleet.
    pub count: FleetCount,
    /// Whether the host may not know most of the fleet and assumes its size.
    pub is_assumed: bool,
    /// Share by the units.
    pub fraction: CapacityRatio,
}

/// The units and shares of the team rates at one host.
#[derive(Debug, Default)]
pub struct RateShares {
    roster: Mutex<FleetRoster>,
    book: Mutex<LeaseBook>,
    holder: Mutex<LeaseHolder>,
    copy: Mutex<Option<StandbyCopy>>,
    /// The hosts as counted last. Counting them at each request would hold up others.
    count: Mutex<FleetCount>,
    logged: Mutex<(RateShare, CapacityRatio)>,
    moved: Mutex<MovedTokens>,
}

/// Tokens that moved since the last line of the log.
#[derive(Debug, Default)]
struct MovedTokens {
    logged_at: MonoTime,
    teams: usize,
    given: TokenAmount,
    received: TokenAmount,
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

fn borrower_of(member: &MemberRecord) -> LeaseBorrower {
    LeaseBorrower {
        host: member.host.clone(),
        incarnation: member.incarnation,
    }
}

impl RateShares {
    /// Creates the shares of a host that knows of no other and has lent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the zone of this host.
    pub fn on_own_zone(&self, zone: &ZoneId) {
        lock(&self.roster).on_zone(zone);
    }

    /// Records what the record of another host tells: that it lives, that its process is a later one, or that it leaves.
    pub fn on_record(&self, member: &MemberRecord, now: MonoTime) {
        let process = borrower_of(member);
        {
            let mut roster = lock(&self.roster);
            roster.on_beat(&member.host, member.incarnation, member.beat, now);
            roster.on_zone(&member.zone);
        }
        lock(&self.holder).on_started(&process);
        if let Some(copy) = lock(&self.copy).as_mut() {
            copy.is_ended |= copy.source.is_replaced_by(&process);
        }
        if member.is_leaving {
            self.on_ended(member);
        }
    }

    /// Records that a process spends nothing any more: it leaves, or it has ended.
    pub fn on_ended(&self, member: &MemberRecord) {
        let process = borrower_of(member);
        lock(&self.holder).on_returned(&process);
        if let Some(copy) = lock(&self.copy).as_mut()
            && copy.source == process
        {
            copy.is_ended = true;
        }
    }

    /// Records a lease that arrived with a poll.
    pub fn on_lease(&self, host: &HostId, term: Duration, now: MonoTime) {
        lock(&self.book).on_lease(host, term, now);
    }

    /// Returns all leases, as this host leaves and another one takes over.
    pub fn return_leases(&self) {
        lock(&self.book).return_all();
    }

    /// Lends the unit of this host to a dispatcher with a poll that is sent now, or renews its lease. Returns `false` if
    /// another one still holds the unit.
    pub fn try_lend(&self, to: &MemberRecord, now: MonoTime) -> bool {
        let lent = lock(&self.holder).try_lend(&borrower_of(to), now);
        if let Ok(previous) = &lent
            && previous.as_ref().map(|borrower| &borrower.host) != Some(&to.host)
        {
            let from = previous.as_ref();
            let from = from.map_or("-", |borrower| borrower.host.as_str());
            log::info!("event=rate_lease_moved from={from} to={}", to.host);
        }
        lent.is_ok()
    }

    /// Records the size of the fleet as the dispatcher of the zone counts it.
    pub fn on_size(&self, size: u32, now: MonoTime) {
        lock(&self.roster).on_size(size, now);
    }

    /// Stores the share of the dispatcher whose bucket levels this host has copied.
    pub fn on_copy(&self, from: &MemberRecord, share: CapacityRatio, now: MonoTime) {
        *lock(&self.copy) = Some(StandbyCopy {
            source: borrower_of(from),
            share,
            at: now,
            is_ended: from.is_leaving,
        });
    }

    /// Returns the share that this host may use if it takes over from the dispatcher that it copies.
    pub fn inherited(&self, now: MonoTime) -> CapacityRatio {
        let copy = lock(&self.copy);
        let inherited = copy.as_ref().map(|copy| copy.inherited(now));
        inherited.unwrap_or_default()
    }

    /// Counts the hosts of the fleet, for the shares from now on.
    pub fn update_count(&self, now: MonoTime) {
        let count = lock(&self.roster).count(now);
        *lock(&self.count) = count;
    }

    /// Returns `true` if this host copies the buckets of a dispatcher.
    pub fn has_copy(&self, now: MonoTime) -> bool {
        let copy = lock(&self.copy);
        copy.as_ref().is_some_and(|copy| copy.is_recent(now))
    }

    /// Counts tokens that moved between dispatchers, for the next line of the log.
    pub fn on_tokens(&self, given: &[TeamTokens], received: &[TeamTokens]) {
        let sum = |moved: &[TeamTokens]| -> u64 {
            let tokens = moved.iter().map(|moved| moved.tokens.as_micros());
            tokens.sum()
        };
        let mut moved = lock(&self.moved);
        moved.teams += given.len() + received.len();
        moved.given = moved
            .given
            .saturating_add(TokenAmount::from_micros(sum(given)));
        moved.received = moved
            .received
            .saturating_add(TokenAmount::from_micros(sum(received)));
    }

    /// Logs the tokens that moved since the last line, at most once a second.
    pub fn log_moved(&self, now: MonoTime) {
        let mut moved = lock(&self.moved);
        if moved.teams == 0 || now.since(moved.logged_at) < MOVED_LOG_PERIOD {
            return;
        }
        let moved = std::mem::replace(
            &mut *moved,
            MovedTokens {
                logged_at: now,
                ..MovedTokens::default()
            },
        );
        log::info!(
            "event=rate_tokens_moved moves={} given={} received={}",
            moved.teams,
            moved.given,
            moved.received
        );
    }

    /// Returns the share by the units that this host holds.
    pub fn own_share(&self, view: ShareView, now: MonoTime) -> RateShare {
        let own_units = u32::from(!lock(&self.holder).is_lent(now));
        let units = lock(&self.book).units(now) + own_units;
        let counted = *lock(&self.count);
        let is_assumed = view.is_partial(counted);
        let count = counted.with_floor(match is_assumed {
            true => size_assumed(units, view.zone_count),
            false => 1,
        });
        RateShare {
            units,
            count,
            is_assumed,
            fraction: share_of_units(units, count),
        }
    }

    /// Logs the share if it has changed since the last line.
    pub fn log_change(&self, share: RateShare, used: CapacityRatio) {
        let previous = std::mem::replace(&mut *lock(&self.logged), (share, used));
        let (before, used_before) = previous;
        if used_before == used {
            return;
        }
        let cause = match () {
            () if used > share.fraction => "takeover",
            () if before.units != share.units => "leases",
            () if before.count.known != share.count.known => "hosts",
            () => "silence",
        };
        log::info!(
            "event=rate_share_changed units={} hosts={} heard={} silent={} fraction={used} previous={used_before} cause={cause}",
            share.units,
            share.count.known,
            share.count.heard,
            share.count.silent
        );
    }
}
