//! Whether this host may serve callers, and why not.

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use smol_str::{
    SmolStr, //
    format_smolstr,
};

use crate::{
    member_loop::{
        TICK,
        WAKE_GAP, //
    },
    state::HostState,
};

impl HostState {
    /// Tells whether the tick is so late that the process may have been paused. Requests that
    /// arrive before the tick notices the pause are refused by this.
    fn is_tick_late(&self, now: MonoTime) -> bool {
        now.since(self.ticked_at()) > TICK + WAKE_GAP
    }

    /// Tells what this host knows of the configuration in force.
    pub fn readiness(&self) -> HostReadiness {
        let is_isolated = self.members.is_isolated(self.clock.mono());
        self.config
            .with_follower(|follower| follower.readiness(is_isolated))
    }

    /// Tells whether callers may be served: there is a configuration, and it cannot be out of date
    /// without this host knowing.
    pub fn is_serving(&self) -> bool {
        self.unready_reason().is_none() && self.view().is_some()
    }

    /// Tells whether a booking stops this host now.
    pub fn is_booked_to_stop(&self) -> bool {
        self.view()
            .is_some_and(|view| view.is_host_stopping(&self.settings.host))
    }

    /// Tells whether this host is about to leave: by a planned stop, or by a booking.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.is_booked_to_stop()
    }

    /// Tells whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && !self.is_leaving()
    }

    /// Returns why this host takes no requests.
    pub fn unready_reason(&self) -> Option<SmolStr> {
        if self.is_tick_late(self.clock.mono()) {
            return Some("the process was paused".into());
        }
        let reason = match self.readiness() {
            HostReadiness::Ready => return None,
            HostReadiness::NoConfig => "no configuration yet".into(),
            HostReadiness::NoIndex => {
                "neither the platform nor another host has told of its version yet".into()
            }
            HostReadiness::TooFewPeers { reported: heard } => format_smolstr!(
                "only {heard} other hosts have told of their versions; 2 in different zones are \
                 needed where there are that many"
            ),
            HostReadiness::Behind { highest } => {
                format_smolstr!("version {highest} is known and not in force here yet")
            }
            HostReadiness::Isolated => "neither the platform nor most of the fleet answers".into(),
        };
        Some(reason)
    }
}
