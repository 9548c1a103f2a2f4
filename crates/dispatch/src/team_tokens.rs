//! The buckets of all teams at one dispatcher, and the tokens that move between dispatchers.
//!
//! Load pattern: the requests of a team arrive in one zone, while the dispatchers of all zones have a part of its tokens;
//! thousands of other teams are far below their rates.

use std::{
    sync::{
        PoisonError,
        RwLock,
        RwLockReadGuard, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;

use crate::{
    messages::{
        BucketLevels,
        TeamTokens,
        TeamUsage, //
    },
    rate_share::ShareHistory,
    team_bucket::{
        TeamBucket,
        TeamLimit, //
    },
};

/// Teams in one message that are short of tokens. A team that is left out is named in a later message, as the list starts
/// at another team each time.
const SHORT_TEAMS_MAX: usize = 256;

/// Buckets in one copy for a standby: about 0.5 MB. The emptiest are copied, as others count as full.
const LEVELS_MAX: usize = 20_000;

/// Delay before a retry at a host whose unit is lent to a dispatcher, within which the lease ends or the dispatcher answers.
const LENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the rate and burst of a team, or `None` if it has no rate.
pub fn limit_of(team: &TeamId, config: &GatewayConfig) -> Option<TeamLimit> {
    let terms = config.team(team)?;
    Some(TeamLimit {
        rate: terms.rate?,
        burst: terms.burst,
    })
}

/// The buckets of all teams at one dispatcher.
#[derive(Debug, Default)]
pub struct TeamBuckets {
    buckets: ShardMap<TeamId, TeamBucket>,
    shares: RwLock<ShareHistory>,
}

impl TeamBuckets {
    /// Creates buckets without a share of the rates.
    pub fn new() -> Self {
        Self::default()
    }

    fn shares(&self) -> RwLockReadGuard<'_, ShareHistory> {
        self.shares.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the share of the rates from `now` on. `is_active` is `false` at a standby, which records the share of the
    /// dispatcher whose buckets it copies.
    pub fn record_share(&self, share: CapacityRatio, is_active: bool, now: MonoTime) {
        if self.shares().is_latest(share, is_active) {
            return;
        }
        let shares = self.shares.write();
        let mut shares = shares.unwrap_or_else(PoisonError::into_inner);
        shares.record(share, is_active, now);
    }

    /// Takes one token of a team with this dispatcher's share of its rate and burst.
    ///
    /// # Errors
    ///
    /// Returns the delay before a retry if the team is over its rate, or the dispatcher has no share.
    pub fn try_take(
        &self,
        team: &TeamId,
        limit: TeamLimit,
        share: CapacityRatio,
        now: MonoTime,
    ) -> Result<(), Duration> {
        if share == CapacityRatio::default() {
            return Err(LENT_RETRY_DELAY);
        }
        self.record_share(share, true, now);
        let shares = self.shares();
        self.buckets
            .with_or_insert(team, TeamBucket::new, |bucket| {
                bucket.try_take(limit, &shares, now)
            })
    }

    /// Returns the token of a request that was not sent to a target.
    pub fn give_back(&self, team: &TeamId) {
        self.buckets.with(team, TeamBucket::give_back);
    }

    /// Returns the teams that lack tokens for their demand, with the tokens wanted.
    pub fn shortages(&self, now: MonoTime) -> Vec<TeamTokens> {
        let (shares, mut short) = (self.shares(), Vec::new());
        self.buckets.for_each(|team, bucket| {
            let tokens = bucket.shortage(&shares, now);
            if !tokens.is_zero() {
                let team = team.clone();
                short.push(TeamTokens { team, tokens });
            }
        });
        if short.len() > SHORT_TEAMS_MAX {
            let turn = now.as_micros() as usize % short.len();
            short.rotate_left(turn);
            short.truncate(SHORT_TEAMS_MAX);
        }
        short
    }

    /// Deducts tokens for the short teams of another dispatcher, as far as they are not needed here, and returns them.
    pub fn give(
        &self,
        wanted: &[TeamTokens],
        config: &GatewayConfig,
        now: MonoTime,
    ) -> Vec<TeamTokens> {
        let shares = self.shares();
        let mut given = Vec::new();
        if shares.active_since().is_none() {
            return given;
        }
        for want in wanted.iter().take(SHORT_TEAMS_MAX) {
            let Some(limit) = limit_of(&want.team, config) else {
                continue;
            };
            let tokens = self
                .buckets
                .with_or_insert(&want.team, TeamBucket::new, |bucket| {
                    bucket.give(want.tokens, limit, &shares, now)
                });
            if !tokens.is_zero() {
                let team = want.team.clone();
                given.push(TeamTokens { team, tokens });
            }
        }
        given
    }

    /// Adds tokens that another dispatcher has deducted.
    pub fn receive(&self, given: &[TeamTokens]) {
        for grant in given {
            self.buckets
                .with(&grant.team, |bucket| bucket.receive(grant.tokens));
        }
    }

    /// Returns the buckets that are not full, for the hosts that would take over, and drops those that are full and unused:
    /// new ones are as full.
    pub fn levels(&self, config: &GatewayConfig, now: MonoTime) -> BucketLevels {
        let (shares, mut teams) = (self.shares(), Vec::new());
        self.buckets.retain(|team, bucket| {
            let limit = limit_of(team, config);
            let Some(tokens) = limit.and_then(|limit| bucket.level(limit, &shares, now)) else {
                return bucket.is_in_use(now);
            };
            let team = team.clone();
            teams.push(TeamTokens { team, tokens });
            true
        });
        if teams.len() > LEVELS_MAX {
            teams.select_nth_unstable_by_key(LEVELS_MAX, |level| level.tokens);
            teams.truncate(LEVELS_MAX);
        }
        BucketLevels {
            share: shares.latest(),
            teams,
        }
    }

    /// Replaces the buckets of a standby with those of its dispatcher. Teams that it does not name have a full bucket.
    pub fn copy_levels(&self, levels: &BucketLevels, now: MonoTime) {
        self.record_share(levels.share, false, now);
        for level in &levels.teams {
            self.buckets
                .with_or_insert(&level.team, TeamBucket::new, |bucket| {
                    bucket.copy_level(level.tokens, levels.share, now);
                });
        }
        self.buckets.retain(|_, bucket| bucket.is_copied_at(now));
    }

    /// Returns the requests of each team that were charged here since the start, for dispatchers of format version 3.
    pub fn usage(&self) -> Vec<TeamUsage> {
        let mut usage = Vec::new();
        self.buckets.for_each(|team, bucket| {
            let team = team.clone();
            let spent = bucket.spent();
            usage.push(TeamUsage { team, spent });
        });
        usage
    }
}
