//! Readiness: whether this host may serve callers, and the reason if it may not.

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::{
    member_loop::{
        PAUSE_THRESHOLD,
        TICK, //
    },
    state::HostState,
};

impl HostState {
    /// Returns `true` if the membership tick is so late that the process may have been paused.
    ///
    /// Requests that arrive after a pause and before the next tick detects it are refused by this.
    fn is_tick_late(&self, now: MonoTime) -> bool {
        now.since(self.last_tick_at()) > TICK + PAUSE_THRESHOLD
    }

    /// Returns whether the configuration of this host is known to be current.
    pub fn readiness(&self) -> HostReadiness {
        let is_isolated = self.members.is_isolated(self.clock.mono());
        self.config
            .with_follower(|follower| follower.readiness(is_isolated))
    }

    /// Returns `true` if callers may be served: a configuration is in force, and this host would
    /// know if it were outdated.
    pub fn is_serving(&self) -> bool {
        self.unready_reason().is_none() && self.view().is_some()
    }

    /// Returns `true` if a booking that is in force stops this host.
    pub fn is_booked_to_stop(&self) -> bool {
        self.view()
            .is_some_and(|view| view.is_host_stopping(&self.settings.host))
    }

    /// Returns `true` if this host is leaving the fleet because of a planned stop or a booking.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.is_booked_to_stop()
    }

    /// Returns `true` if the balancer may send callers to this host.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && !self.is_leaving()
    }

    /// Returns why this host serves no requests, or `None` if it does.
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
            HostReadiness::TooFewPeers { reported } => format_smolstr!(
                "only {reported} other hosts have told of their versions; 2 in different zones are \
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
