//! Whether a host that has started or woken up knows enough to serve callers.

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::follow::{
    IndexSource,
    IndexSummary, //
};

/// How many other hosts there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCount {
    /// Number of other hosts.
    pub others: usize,
    /// Number of zones that they are in.
    pub zones: usize,
    /// Whether the platform has just listed them. Only then does a count of none show that this
    /// host is alone.
    pub is_fresh: bool,
}

/// Whether a host may serve callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostReadiness {
    /// It may.
    Ready,
    /// No configuration is in force.
    NoConfig,
    /// Neither the platform nor a peer has told of an index since the start or the pause.
    NoIndex,
    /// Too few peers, or peers of too few zones, have told of their versions.
    FewPeers {
        /// Number of peers that have.
        heard: usize,
    },
    /// A higher version is known.
    Behind {
        /// The higher version.
        highest: ConfigVersion,
    },
    /// The host sees neither the platform nor the fleet.
    Isolated,
}

/// What was heard since the start or the last pause.
#[derive(Debug, Default)]
pub(crate) struct ReadinessRecord {
    peers: IndexMap<HostId, ZoneId>,
    heard: IndexSet<IndexSummary>,
    count: Option<HostCount>,
    has_caught_up: bool,
}

/// Peers of different zones that must tell of their versions, where there are that many.
const PEERS_WANTED: usize = 2;

impl ReadinessRecord {
    pub(crate) fn on_report(&mut self, source: &IndexSource, summary: IndexSummary) {
        if self.has_caught_up {
            return;
        }
        self.heard.insert(summary);
        if let IndexSource::Peer { host, zone } = source {
            self.peers.insert(host.clone(), zone.clone());
        }
    }

    pub(crate) fn on_host_count(&mut self, count: HostCount) {
        self.count = Some(count);
    }

    fn has_enough_peers(&self) -> bool {
        let zones: IndexSet<_> = self.peers.values().collect();
        let (hosts_wanted, zones_wanted) = match self.count {
            Some(count) if count.others > 0 => (count.others, count.zones),
            Some(count) if count.is_fresh => return true,
            _ => (PEERS_WANTED, PEERS_WANTED),
        };
        self.peers.len() >= hosts_wanted.min(PEERS_WANTED)
            && zones.len() >= zones_wanted.min(PEERS_WANTED)
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
        if self.heard.is_empty() {
            return HostReadiness::NoIndex;
        }
        if !self.has_enough_peers() {
            return HostReadiness::FewPeers {
                heard: self.peers.len(),
            };
        }
        let usable = self.heard.iter().filter(|heard| !refused.contains(*heard));
        match usable.map(|heard| heard.version).max() {
            Some(highest) if highest > accepted.version => HostReadiness::Behind { highest },
            _ => {
                self.has_caught_up = true;
                self.heard.clear();
                HostReadiness::Ready
            }
        }
    }
}
