//! Keys, timeouts and errors of ownership.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::{
    ids::NameError,
    prelude::*, //
};
use thiserror::Error;

/// Something that at most one host serves at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum OwnedKey {
    /// A target; only its owner connects to it.
    Target(TargetId),
    /// The ejection permits of a service; only its arbiter issues them.
    Arbiter(ServiceId),
}

impl fmt::Display for OwnedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(target) => write!(f, "target/{target}"),
            Self::Arbiter(service) => write!(f, "arbiter/{service}"),
        }
    }
}

/// Returned when a text is not a valid key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The text does not start with a known kind.
    #[error("invalid owned key: expected target/NAME or arbiter/NAME")]
    UnknownKind,
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
}

impl FromStr for OwnedKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        match text.split_once('/') {
            Some(("target", name)) => Ok(Self::Target(name.parse()?)),
            Some(("arbiter", name)) => Ok(Self::Arbiter(name.parse()?)),
            _ => Err(KeyError::UnknownKind),
        }
    }
}

/// Region and zone whose hosts may own a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyScope {
    /// Region of the key.
    pub region: RegionId,
    /// Zone of a target; `None` for an arbiter.
    pub zone: Option<ZoneId>,
}

/// Timeouts of ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipTimeouts {
    /// A host stops serving when its last contact is older than this.
    pub fence_after: Duration,
    /// A host that was not seen for this long has lost its keys.
    ///
    /// Twice [`fence_after`](Self::fence_after) covers a witness that received a heartbeat of the
    /// previous owner just before its own information became outdated. The rest covers the
    /// heartbeat period and clock differences.
    pub takeover_after: Duration,
}

impl Default for OwnershipTimeouts {
    fn default() -> Self {
        Self {
            fence_after: Duration::from_millis(1500),
            takeover_after: Duration::from_secs(4),
        }
    }
}

/// A host as listed in the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Name of the host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
}

/// Statement of the previous owner that it no longer serves a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerHandover {
    /// The key that is handed over.
    pub key: OwnedKey,
    /// Host that has stopped serving the key.
    pub from: HostId,
    /// The only host that may use this message.
    pub successor: HostId,
    /// Time at which the successor sent the last heartbeat that the previous owner received, by the
    /// successor's clock.
    ///
    /// The message carries the sequence number, and the successor looks up the time. It limits the
    /// age of a handover, because a late one may arrive after the sender has taken the key back.
    pub heartbeat_sent_at: MonoTime,
    /// Whether the sender stopped serving earlier and only continues to leave the key to the
    /// successor.
    pub is_renewal: bool,
}

/// Reason why this host does not serve a key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OwnershipError {
    /// The roster does not list this host.
    #[error("the roster does not list this host")]
    NotListed,
    /// This host has had no contact with a majority of its zone for too long.
    #[error("no contact with more than half of the other hosts of the zone")]
    NoMajorityContact,
    /// This host was paused and has not completed a round of heartbeats since.
    #[error("no complete round of heartbeats since a pause")]
    NoRoundSincePause,
    /// Another host is ranked first.
    #[error("{owner} owns the key")]
    NotOwner {
        /// The host that is ranked first.
        owner: HostId,
    },
    /// No live host may own the key.
    #[error("no live host can own the key")]
    NoOwner,
    /// A previous owner that this host does not know of may still serve.
    #[error("a previous owner may serve until {until}")]
    TakeoverPending {
        /// Time from which this host may serve.
        until: MonoTime,
    },
    /// This host handed the key over a short time ago.
    #[error("handed over to {successor} until {until}")]
    HandedOver {
        /// Host that received the key.
        successor: HostId,
        /// Time from which this host may own the key again.
        until: MonoTime,
    },
    /// The handover is for another host.
    #[error("the handover is for {successor}")]
    WrongSuccessor {
        /// Host that may use the handover.
        successor: HostId,
    },
    /// The handover arrived too late.
    #[error("the handover answers a heartbeat that is too old")]
    StaleHandover,
}

/// Returns the newest time since which more than half of the other hosts have been in contact.
///
/// Each item stands for one other listed host: the time at which this host sent the newest
/// heartbeat that the other one acknowledged. The time of sending counts and not that of the
/// answer, because a late answer says nothing about the time in between. Without other hosts, the
/// result is `now`.
pub fn majority_contact(
    sent: impl IntoIterator<Item = Option<MonoTime>>,
    now: MonoTime,
) -> Option<MonoTime> {
    let mut sent: Vec<Option<MonoTime>> = sent.into_iter().collect();
    if sent.is_empty() {
        return Some(now);
    }
    sent.sort_unstable_by(|a, b| b.cmp(a));
    sent[sent.len() / 2]
}
