//! Decides whether a host has enough information to serve callers after its start or a pause.

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::follow::{
    IndexSource,
    IndexSummary, //
};

/// Number of other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCount {
    /// Number of other hosts.
    pub others: usize,
    /// Number of zones of the other hosts.
    pub zones: usize,
    /// Whether the platform has just listed the hosts. Only then does a count of zero prove that
    /// this host is alone.
    pub is_fresh: bool,
}

/// Whether a host may serve callers, with the reason if not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostReadiness {
    /// The host may serve callers.
    Ready,
    /// No configuration is in force.
    NoConfig,
    /// Neither the platform nor a peer has reported an index since the start or the pause.
    NoIndex,
    /// Too few peers, or peers of too few zones, have reported their versions.
    TooFewPeers {
        /// Number of peers that have reported their versions.
        reported: usize,
    },
    /// A newer version than the one in force was reported.
    Behind {
        /// The newest reported version.
        highest: ConfigVersion,
    },
    /// The host has contact with neither the platform nor the fleet.
    Isolated,
}

/// Reports since the start or the last pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadinessRecord {
    peers: IndexMap<HostId, ZoneId>,
    reported: IndexSet<IndexSummary>,
    count: Option<HostCount>,
    has_caught_up: bool,
}

/// Minimum number of peers, and of their zones, that must report their versions, as far as there
/// are that many.
const PEERS_REQUIRED: usize = 2;

impl ReadinessRecord {
    pub(crate) fn on_report(&mut self, source: &IndexSource, summary: IndexSummary) {
        if self.has_caught_up {
            return;
        }
        self.reported.insert(summary);
        if let IndexSource::Peer { host, zone } = source {
            self.peers.insert(host.clone(), zone.clone());
        }
    }

    pub(crate) fn on_host_count(&mut self, count: HostCount) {
        self.count = Some(count);
    }

    fn has_enough_peers(&self) -> bool {
        let zones: IndexSet<_> = self.peers.values().collect();
        let (hosts_required, zones_required) = match self.count {
            Some(count) if count.others > 0 => (count.others, count.zones),
            Some(count) if count.is_fresh => return true,
            _ => (PEERS_REQUIRED, PEERS_REQUIRED),
        };
        self.peers.len() >= hosts_required.min(PEERS_REQUIRED)
            && zones.len() >= zones_required.min(PEERS_REQUIRED)
    }

    pub(crate) fn evaluate(
        &mut self,
        accepted: Option<IndexSummary>,
        refused: &IndexSet<IndexSummary>,
        is_isolated: bool,
    ) -> HostReadiness {
        let Some(accepted) = accepted else {
            return HostReadiness::NoConfig;
        };
        if is_isolated {
            return HostReadiness::Isolated;
        }
        if self.has_caught_up {
            return HostReadiness::Ready;
        }
        if self.reported.is_empty() {
            return HostReadiness::NoIndex;
        }
        if !self.has_enough_peers() {
            return HostReadiness::TooFewPeers {
                reported: self.peers.len(),
            };
        }
        let usable = self
            .reported
            .iter()
            .filter(|reported| !refused.contains(*reported));
        match usable.map(|reported| reported.version).max() {
            Some(highest) if highest > accepted.version => HostReadiness::Behind { highest },
            _ => {
                self.has_caught_up = true;
                self.reported.clear();
                HostReadiness::Ready
            }
        }
    }
}
