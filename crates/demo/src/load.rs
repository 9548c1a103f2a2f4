//! An open loop of requests for each team.
//!
//! A request is sent when it is due, whatever became of the ones before, so that slow answers do
//! not slow the load down. The number in flight is bounded.

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
    setting::{
        KEY_TEAM,
        TeamSetting,
        key_of, //
    },
};

/// Most requests of one team in flight.
const IN_FLIGHT_MAX: usize = 1000;

/// The load of one team.
#[derive(Debug)]
pub struct TeamLoad {
    team: TeamSetting,
    pool: Arc<CallerPool>,
    log: EventLog<CallRecord>,
    rng: ChaCha8Rng,
    sent: u64,
}

/// Time of a run, and what its load goes through.
#[derive(Clone, Debug)]
pub struct LoadRun {
    /// Start of the run.
    pub epoch: Instant,
    /// Start of the load after it.
    pub from: Duration,
    /// End of the load.
    pub to: Duration,
    /// Chooses a host for each request.
    pub balancer: Arc<DemoBalancer>,
}

impl TeamLoad {
    /// Makes the load of a team; `number` tells teams with the same seed apart.
    pub fn new(team: TeamSetting, seed: u64, number: u64, log: EventLog<CallRecord>) -> Self {
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

    /// Sends until the end of the load and waits for all answers. Returns the requests that were
    /// not sent because too many were in flight.
    pub async fn send(mut self, run: LoadRun) -> u64 {
        let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
        let mut calls = JoinSet::new();
        let (mut due, mut unsent) = (run.from, 0);
        loop {
            let part: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            due += Duration::from_secs_f64(-part.ln() / self.team.offered);
            if due >= run.to {
                break;
            }
            let (request, has_old_key, random) = self.next_request();
            tokio::time::sleep_until(run.epoch + due).await;
            while calls.try_join_next().is_some() {}
            let host = run.balancer.choose(random);
            let (Some(host), Ok(permit)) = (host, permits.clone().try_acquire_owned()) else {
                unsent += 1;
                continue;
            };
            let (pool, log, epoch) = (self.pool.clone(), self.log.clone(), run.epoch);
            calls.spawn(async move {
                let end = pool.call(host.address, &request).await;
                log.push(CallRecord {
                    sent: due,
                    ended: epoch.elapsed(),
                    kind: request.kind,
                    name: request.name,
                    host: host.id.clone(),
                    has_old_key,
                    end,
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
        let has_old_key = self.team.id == KEY_TEAM && self.sent.is_multiple_of(2);
        let number = if self.team.id == KEY_TEAM && !has_old_key {
            2
        } else {
            1
        };
        let request = CallRequest {
            kind,
            name: SmolStr::new(format!("{}-{}-call", self.team.id, self.sent)),
            key: key_of(self.team.id, number),
        };
        (request, has_old_key, self.rng.random())
    }
}
