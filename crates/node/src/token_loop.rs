//! Transfers tokens between hosts.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_peer::prelude::{
    self as peer,
    PeerMessage, //
};
use indexmap::IndexSet;
use tokio::{
    sync::{
        Notify,
        futures::Notified, //
    },
    time::Instant, //
};

use crate::state::HostState;

/// Longest time that a request waits for tokens of other hosts.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(25);

/// Timeout of a token message. A later grant would be of no use to a waiting request.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Period at which the broker answers transfer requests that have waited too long.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Period at which idle accounts are dropped.
const IDLE_SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Wakes the token loop for teams that are short of tokens, and requests that wait for a grant.
#[derive(Debug, Default)]
pub struct RefillNotifier {
    teams: Mutex<IndexSet<TeamId>>,
    requested: Notify,
    granted: Notify,
}

impl RefillNotifier {
    /// Creates a notifier without waiting tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests a refill of a team's tokens.
    pub fn request(&self, team: &TeamId) {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        teams.insert(team.clone());
        drop(teams);
        self.requested.notify_one();
    }

    /// Returns a future that completes when the next grant arrives.
    pub fn granted(&self) -> Notified<'_> {
        self.granted.notified()
    }

    fn take_teams(&self) -> IndexSet<TeamId> {
        std::mem::take(&mut self.teams.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs a decision of the broker for a team, or returns `None` if the team has no limits.
fn with_context<R>(
    state: &HostState,
    team: &TeamId,
    decide: impl FnOnce(&BrokerContext<'_>) -> R,
) -> Option<R> {
    let view = state.view()?;
    let roster = state.roster();
    Some(decide(&BrokerContext {
        ledger: &state.ledger,
        roster: &roster,
        terms: state.terms_of(&view, team)?,
        now: state.clock.mono(),
    }))
}

/// Sends each token message in a separate task.
fn send(state: &Arc<HostState>, messages: Vec<OutboundMessage>) {
    for outbound in messages {
        let Some(address) = state.members.address_of(&outbound.to) else {
            continue;
        };
        let message = encode(outbound.message);
        let state = state.clone();
        tokio::spawn(async move {
            let deadline = Instant::now() + MESSAGE_TIMEOUT;
            // A lost transfer request is sent again; the tokens of a lost grant are lost.
            if let Err(error) = state.peers.call(address, message, deadline).await {
                log::debug!(
                    "event=token_message_lost to={} error=\"{error}\"",
                    outbound.to
                );
            }
        });
    }
}

/// Sends transfer requests for a team that is short of tokens.
pub fn refill(state: &Arc<HostState>, team: &TeamId) {
    let messages = with_context(state, team, |context| state.broker.refill(team, context));
    send(state, messages.unwrap_or_default());
}

/// Handles a transfer request of another host.
pub fn on_request(state: &Arc<HostState>, request: peer::TransferRequest) {
    let request = decode_request(request);
    let team = request.team.clone();
    let messages = with_context(state, &team, |context| {
        state.broker.on_request(request, context)
    });
    send(state, messages.unwrap_or_default());
}

/// Handles a grant of another host.
pub fn on_grant(state: &Arc<HostState>, grant: peer::TokenGrant) {
    let grant = decode_grant(grant);
    let team = &grant.team;
    let messages = with_context(state, team, |context| {
        state.broker.on_grant(&grant, context)
    });
    send(state, messages.unwrap_or_default());
    state.refills.granted.notify_waiters();
}

/// Requests tokens for teams that are short of them, until the task is dropped.
pub async fn run_refills(state: Arc<HostState>) {
    loop {
        state.refills.requested.notified().await;
        for team in state.refills.take_teams() {
            refill(&state, &team);
        }
    }
}

/// Answers transfer requests whose collection takes too long, until the task is dropped.
pub async fn run_broker(state: Arc<HostState>) {
    let mut idle_at = Instant::now() + IDLE_SWEEP_PERIOD;
    loop {
        tokio::time::sleep(POLL_PERIOD).await;
        let now = state.clock.mono();
        state.ledger.fence().tick(now);
        let (view, roster) = (state.view(), state.roster());
        let context_of = |team: &TeamId| {
            Some(BrokerContext {
                ledger: &state.ledger,
                roster: &roster,
                terms: state.terms_of(view.as_ref()?, team)?,
                now,
            })
        };
        let messages = state.broker.poll(context_of, now);
        send(&state, messages);
        if Instant::now() >= idle_at {
            state.ledger.drop_idle(now);
            idle_at = Instant::now() + IDLE_SWEEP_PERIOD;
        }
    }
}

fn encode(message: TokenMessage) -> PeerMessage {
    match message {
        TokenMessage::Request(request) => PeerMessage::TransferRequest(peer::TransferRequest {
            team: request.team,
            wanted: request.wanted,
            minimum: request.minimum,
            id: encode_id(request.id),
            purpose: match request.purpose {
                TransferPurpose::Refill => peer::TransferPurpose::Refill,
                TransferPurpose::ZoneSurplus => peer::TransferPurpose::ZoneSurplus,
                TransferPurpose::HostSurplus => peer::TransferPurpose::HostSurplus,
            },
        }),
        TokenMessage::Grant(grant) => PeerMessage::TokenGrant(peer::TokenGrant {
            request_id: encode_id(grant.request_id),
            team: grant.team,
            rate: grant.terms.rate,
            burst: grant.terms.burst,
            minters: grant.terms.minters,
            batches: grant.batches.into_iter().map(encode_batch).collect(),
        }),
    }
}

fn encode_id(id: TransferId) -> peer::TransferId {
    peer::TransferId {
        host: id.host,
        incarnation: id.incarnation,
        sequence: id.sequence,
    }
}

fn decode_id(id: peer::TransferId) -> TransferId {
    TransferId {
        host: id.host,
        incarnation: id.incarnation,
        sequence: id.sequence,
    }
}

fn encode_batch(batch: GrantedBatch) -> peer::TokenBatch {
    let micros = |left: Duration| u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
    peer::TokenBatch {
        amount: batch.amount,
        first_left_micros: micros(batch.first_left),
        last_left_micros: micros(batch.last_left),
    }
}

fn decode_request(request: peer::TransferRequest) -> TransferRequest {
    TransferRequest {
        id: decode_id(request.id),
        team: request.team,
        wanted: request.wanted,
        minimum: request.minimum,
        // The time is meaningful only on the clock of the requesting host, which records it itself.
        sent_at: MonoTime::START,
        purpose: match request.purpose {
            peer::TransferPurpose::Refill => TransferPurpose::Refill,
            peer::TransferPurpose::ZoneSurplus => TransferPurpose::ZoneSurplus,
            peer::TransferPurpose::HostSurplus => TransferPurpose::HostSurplus,
        },
    }
}

fn decode_grant(grant: peer::TokenGrant) -> TokenGrant {
    let batches = grant.batches.into_iter().map(|batch| GrantedBatch {
        amount: batch.amount,
        first_left: Duration::from_micros(batch.first_left_micros),
        last_left: Duration::from_micros(batch.last_left_micros),
    });
    TokenGrant {
        request_id: decode_id(grant.request_id),
        team: grant.team,
        terms: LimitTerms {
            rate: grant.rate,
            burst: grant.burst,
            minters: grant.minters,
        },
        batches: batches.collect(),
    }
}
