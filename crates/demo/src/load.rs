//! Generates an open-loop load for each team.
//!
//! Each request is sent at its scheduled time, whether or not earlier ones have completed, so that slow
//! answers do not reduce the load. The number of requests in flight is bounded.

use std::{
    sync::Arc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::Instant, //
};

use crate::{
    balancer::DemoBalancer,
    caller::{
        CallRequest,
        CallerPool, //
    },
    records::{
        CallKind,
        CallRecord,
        EventLog, //
    },
    scenario::{
        TeamProfile,
        WITHDRAWN_KEY_TEAM,
        team_key, //
    },
};

/// Maximum number of requests of one team in flight.
const IN_FLIGHT_MAX: usize = 1000;

/// Generates the load of one team.
#[derive(Debug)]
pub struct TeamLoad {
    team: TeamProfile,
    pool: Arc<CallerPool>,
    log: EventLog<CallRecord>,
    rng: ChaCha8Rng,
    sent: u64,
}

/// Time span of the load and the balancer that it goes through.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Start of the run.
    pub epoch: Instant,
    /// Start of the load, from the start of the run.
    pub start: Duration,
    /// End of the load, from the start of the run.
    pub end: Duration,
    /// Chooses a host for each request.
    pub balancer: Arc<DemoBalancer>,
}

impl TeamLoad {
    /// Creates the load of a team. `number` selects the random stream, so that teams with the same seed
    /// send different requests.
    pub fn new(team: TeamProfile, seed: u64, number: u64, log: EventLog<CallRecord>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number);
        Self {
            team,
            pool: Arc::new(CallerPool::new()),
            log,
            rng,
            sent: 0,
        }
    }

    /// Sends requests until the end of the load and waits for all answers. Returns the number of requests
    /// that were not sent because no host was ready or too many were in flight.
    pub async fn send(mut self, plan: LoadPlan) -> u64 {
        let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
        let mut calls = JoinSet::new();
        let (mut due, mut unsent) = (plan.start, 0);
        loop {
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            // The intervals of a Poisson process are distributed exponentially.
            due += Duration::from_secs_f64(-uniform.ln() / self.team.offered_rate);
            if due >= plan.end {
                break;
            }
            let (request, has_withdrawn_key, random) = self.next_request();
            tokio::time::sleep_until(plan.epoch + due).await;
            while calls.try_join_next().is_some() {}
            let host = plan.balancer.choose(random);
            let (Some(host), Ok(permit)) = (host, permits.clone().try_acquire_owned()) else {
                unsent += 1;
                continue;
            };
            let (pool, log, epoch) = (self.pool.clone(), self.log.clone(), plan.epoch);
            calls.spawn(async move {
                let outcome = pool.call(host.address, &request).await;
                log.push(CallRecord {
                    sent: due,
                    ended: epoch.elapsed(),
                    kind: request.kind,
                    name: request.name,
                    host: host.id.clone(),
                    has_withdrawn_key,
                    outcome,
                });
                drop(permit);
            });
        }
        while calls.join_next().await.is_some() {}
        unsent
    }

    fn next_request(&mut self) -> (CallRequest, bool, u64) {
        self.sent += 1;
        let kind = match self.rng.random_range(0..100) {
            0..70 => CallKind::Lookup,
            70..90 => CallKind::Purchase,
            _ => CallKind::Upload,
        };
        let has_withdrawn_key = self.team.id == WITHDRAWN_KEY_TEAM && self.sent.is_multiple_of(2);
        let number = if self.team.id == WITHDRAWN_KEY_TEAM && !has_withdrawn_key {
            2
        } else {
            1
        };
        let request = CallRequest {
            kind,
            name: SmolStr::new(format!("{}-{}-call", self.team.id, self.sent)),
            key: team_key(self.team.id, number),
        };
        (request, has_withdrawn_key, self.rng.random())
    }
}
