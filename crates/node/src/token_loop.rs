//! Moves tokens between hosts.

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

/// Longest time that a request waits for the grant of a draw.
pub const DRAW_WAIT: Duration = Duration::from_millis(25);

/// Longest time that a token message may take. Later it would be of no use to a waiting request.
const LETTER_WAIT: Duration = Duration::from_millis(250);

/// Time between two rounds in which the broker answers what waited too long.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Time between two rounds that drop idle accounts.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Wakes the token loop for teams that run short, and requests that wait for a grant.
#[derive(Debug, Default)]
pub struct DrawNotifier {
    teams: Mutex<IndexSet<TeamId>>,
    asked: Notify,
    granted: Notify,
}

impl DrawNotifier {
    /// Makes a notifier for which nobody waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks for tokens of a team.
    pub fn ask(&self, team: &TeamId) {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        teams.insert(team.clone());
        drop(teams);
        self.asked.notify_one();
    }

    /// Completes when tokens arrive next.
    pub fn granted(&self) -> Notified<'_> {
        self.granted.notified()
    }

    fn take_teams(&self) -> IndexSet<TeamId> {
        std::mem::take(&mut self.teams.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs a decision of the broker for a team, if the team has limits.
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

/// Sends token messages, each in a task of its own.
fn send(state: &Arc<HostState>, letters: Vec<OutboundMessage>) {
    for letter in letters {
        let Some(address) = state.members.address_of(&letter.to) else {
            continue;
        };
        let message = encode(letter.message);
        let state = state.clone();
        tokio::spawn(async move {
            let deadline = Instant::now() + LETTER_WAIT;
            // A lost draw is sent anew, a lost grant loses its tokens.
            if let Err(error) = state.peers.call(address, message, deadline).await {
                log::debug!(
                    "event=token_message_lost to={} error=\"{error}\"",
                    letter.to
                );
            }
        });
    }
}

/// Asks for tokens of a team where they run short.
pub fn refill(state: &Arc<HostState>, team: &TeamId) {
    let letters = with_context(state, team, |context| state.broker.refill(team, context));
    send(state, letters.unwrap_or_default());
}

/// Takes a draw of another host.
pub fn on_draw(state: &Arc<HostState>, draw: peer::TokenDraw) {
    let draw = decode_draw(draw);
    let team = draw.team.clone();
    let letters = with_context(state, &team, |context| {
        state.broker.on_request(draw, context)
    });
    send(state, letters.unwrap_or_default());
}

/// Takes a grant of another host.
pub fn on_grant(state: &Arc<HostState>, grant: peer::TokenGrant) {
    let grant = decode_grant(grant);
    let team = &grant.team;
    let letters = with_context(state, team, |context| {
        state.broker.on_grant(&grant, context)
    });
    send(state, letters.unwrap_or_default());
    state.draws.granted.notify_waiters();
}

/// Draws for teams that run short until the task is dropped.
pub async fn draw(state: Arc<HostState>) {
    loop {
        state.draws.asked.notified().await;
        for team in state.draws.take_teams() {
            refill(&state, &team);
        }
    }
}

/// Answers draws whose collection takes too long, until the task is dropped.
pub async fn poll(state: Arc<HostState>) {
    let mut idle_at = Instant::now() + IDLE_PERIOD;
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
        let letters = state.broker.poll(context_of, now);
        send(&state, letters);
        if Instant::now() >= idle_at {
            state.ledger.drop_idle(now);
            idle_at = Instant::now() + IDLE_PERIOD;
        }
    }
}

fn encode(message: TokenMessage) -> PeerMessage {
    match message {
        TokenMessage::Request(draw) => PeerMessage::TokenDraw(peer::TokenDraw {
            team: draw.team,
            wanted: draw.wanted,
            least: draw.minimum,
            id: encode_id(draw.id),
            reach: match draw.purpose {
                TransferPurpose::Refill => peer::DrawReach::Fleet,
                TransferPurpose::ZoneSurplus => peer::DrawReach::Zone,
                TransferPurpose::HostSurplus => peer::DrawReach::Host,
            },
        }),
        TokenMessage::Grant(grant) => PeerMessage::TokenGrant(peer::TokenGrant {
            id: encode_id(grant.request_id),
            team: grant.team,
            rate: grant.terms.rate,
            burst: grant.terms.burst,
            minters: grant.terms.minters,
            batches: grant.batches.into_iter().map(encode_lot).collect(),
        }),
    }
}

fn encode_id(id: TransferId) -> peer::DrawId {
    peer::DrawId {
        host: id.host,
        incarnation: id.incarnation,
        sequence: id.sequence,
    }
}

fn decode_id(id: peer::DrawId) -> TransferId {
    TransferId {
        host: id.host,
        incarnation: id.incarnation,
        sequence: id.sequence,
    }
}

fn encode_lot(lot: GrantedBatch) -> peer::TokenBatch {
    let micros = |left: Duration| u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
    peer::TokenBatch {
        amount: lot.amount,
        first_left_micros: micros(lot.first_left),
        last_left_micros: micros(lot.last_left),
    }
}

fn decode_draw(draw: peer::TokenDraw) -> TransferRequest {
    TransferRequest {
        id: decode_id(draw.id),
        team: draw.team,
        wanted: draw.wanted,
        minimum: draw.least,
        // Only the drawer's own clock gives this a meaning, and it remembers the time itself.
        sent_at: MonoTime::START,
        purpose: match draw.reach {
            peer::DrawReach::Fleet => TransferPurpose::Refill,
            peer::DrawReach::Zone => TransferPurpose::ZoneSurplus,
            peer::DrawReach::Host => TransferPurpose::HostSurplus,
        },
    }
}

fn decode_grant(grant: peer::TokenGrant) -> TokenGrant {
    let lots = grant.batches.into_iter().map(|lot| GrantedBatch {
        amount: lot.amount,
        first_left: Duration::from_micros(lot.first_left_micros),
        last_left: Duration::from_micros(lot.last_left_micros),
    });
    TokenGrant {
        request_id: decode_id(grant.id),
        team: grant.team,
        terms: LimitTerms {
            rate: grant.rate,
            burst: grant.burst,
            minters: grant.minters,
        },
        batches: lots.collect(),
    }
}
