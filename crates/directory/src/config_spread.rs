//! Distribution of a large configuration among the hosts of a zone.
//!
//! Load pattern: a version with some thousand new routes comes into force, and all hosts of a zone want it at once, over
//! links that carry it a few times a second. The dispatcher does not send it to all of them: it tells each host from which
//! other one to fetch it. A host serves as many at a time as its link bears beside permits, and serves others as soon as it
//! has the version itself, so that the number of sources multiplies with each round.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Part of an image that a host sends at a time, in bytes. The link of a small host carries it in 13 ms.
pub const CHUNK_BYTES_MAX: usize = 16 << 10;

/// Time for which the chunks of all transfers may occupy a link, in milliseconds. Permits wait behind them, and a dispatcher
/// counts as lost after 150 ms.
const LINK_TIME_MILLIS: u64 = 25;

/// Largest number of transfers from one host.
const TRANSFERS_MAX: u64 = 16;

/// Time after which a transfer no longer counts, whatever has become of it.
const TRANSFER_TIME_MAX: Duration = Duration::from_secs(2);

/// Time for which a source from which a transfer failed is not assigned.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Time since its last poll after which a host is not assigned as a source. Followers poll at least every 0.7 s.
const POLL_AGE_MAX: Duration = Duration::from_millis(1500);

/// A host that can send its configuration to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigSource {
    /// Name of the host.
    pub host: HostId,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Largest number of hosts that it serves at a time.
    pub transfers_max: u32,
}

/// Returns the number of hosts to which a host with a link sends configurations at a time.
pub fn transfers_max(link: LinkRate) -> u32 {
    let bytes = link.get().saturating_mul(LINK_TIME_MILLIS) / 8;
    let count = bytes.div_ceil(CHUNK_BYTES_MAX as u64);
    // At most TRANSFERS_MAX.
    count.clamp(1, TRANSFERS_MAX) as u32
}

/// What a host says about its configuration when it polls the dispatcher.
#[derive(Clone, Debug)]
pub struct HolderPoll {
    /// The host.
    pub source: ConfigSource,
    /// Version that it has in force.
    pub version: Option<ConfigVersion>,
    /// Version that it is fetching.
    pub fetching: Option<ConfigVersion>,
}

#[derive(Clone, Debug)]
struct ConfigHolder {
    source: ConfigSource,
    version: Option<ConfigVersion>,
    polled_at: MonoTime,
    failed_at: Option<MonoTime>,
}

impl ConfigHolder {
    fn may_serve(&self, version: ConfigVersion, now: MonoTime) -> bool {
        let has_failed = self
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_PAUSE);
        self.version == Some(version) && !has_failed && now.since(self.polled_at) < POLL_AGE_MAX
    }
}

#[derive(Clone, Debug)]
struct ConfigTransfer {
    source: HostId,
    version: ConfigVersion,
    assigned_at: MonoTime,
}

/// The transfers that a dispatcher has assigned, and the hosts that can serve more.
#[derive(Clone, Debug)]
pub struct ConfigSpread {
    own: ConfigSource,
    holders: IndexMap<HostId, ConfigHolder>,
    /// Transfers by receiver.
    transfers: IndexMap<HostId, ConfigTransfer>,
}

impl ConfigSpread {
    /// Creates the distribution of a dispatcher, which serves hosts itself, too.
    pub fn new(own: ConfigSource) -> Self {
        Self {
            own,
            holders: IndexMap::new(),
            transfers: IndexMap::new(),
        }
    }

    /// Records a poll, which ends the transfer to the host unless it is still fetching. Returns `true` if others may be
    /// assigned a source now that could not be before.
    pub fn on_poll(&mut self, poll: HolderPoll, now: MonoTime) -> bool {
        let host = poll.source.host.clone();
        let mut is_freed = false;
        if let Some(transfer) = self.transfers.get(&host)
            && poll.fetching < Some(transfer.version)
        {
            if poll.version < Some(transfer.version)
                && let Some(source) = self.holders.get_mut(&transfer.source)
            {
                source.failed_at = Some(now);
            }
            self.transfers.swap_remove(&host);
            is_freed = true;
        }
        let previous = self.holders.get(&host);
        let is_new_holder = previous.and_then(|holder| holder.version) < poll.version;
        let failed_at = previous.and_then(|holder| holder.failed_at);
        let holder = ConfigHolder {
            source: poll.source,
            version: poll.version,
            polled_at: now,
            failed_at,
        };
        self.holders.insert(host, holder);
        is_freed || is_new_holder
    }

    /// Returns the number of hosts that a source serves now.
    fn load_of(&self, source: &HostId) -> u32 {
        let transfers = self.transfers.values();
        let count = transfers.filter(|transfer| transfer.source == *source);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }

    /// Returns the host from which a receiver is to fetch a version, or `None` if all that have it are busy or the receiver
    /// already fetches one. The least busy source is chosen, and this host only if no other one is as free: it also grants
    /// permits.
    pub fn assign(
        &mut self,
        receiver: &HostId,
        version: ConfigVersion,
        now: MonoTime,
    ) -> Option<ConfigSource> {
        self.transfers
            .retain(|_, transfer| now.since(transfer.assigned_at) < TRANSFER_TIME_MAX);
        self.holders
            .retain(|_, holder| now.since(holder.polled_at) < TRANSFER_TIME_MAX);
        if self.transfers.contains_key(receiver) {
            return None;
        }
        let others = self.holders.values();
        let others = others.filter(|holder| holder.may_serve(version, now));
        let sources = others.map(|holder| &holder.source).chain([&self.own]);
        let free = sources.filter_map(|source| {
            let load = self.load_of(&source.host);
            let used = u64::from(load) * 1000 / u64::from(source.transfers_max.max(1));
            (load < source.transfers_max && source.host != *receiver).then_some((used, source))
        });
        let (_, source) = free.min_by_key(|(used, _)| *used)?;
        let source = source.clone();
        let transfer = ConfigTransfer {
            source: source.host.clone(),
            version,
            assigned_at: now,
        };
        self.transfers.insert(receiver.clone(), transfer);
        Some(source)
    }
}
