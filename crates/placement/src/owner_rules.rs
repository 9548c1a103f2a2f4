//! Names, times and errors of ownership.

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
    /// A target, which its owner connects to.
    Target(TargetId),
    /// The ejection permits of a service, which its arbiter issues.
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

/// Why a text is no valid key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The text has no known kind in front.
    #[error("an owned key is written as target/NAME or arbiter/NAME")]
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

/// Where the owner of a key is looked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHome {
    /// Region of the key.
    pub region: RegionId,
    /// Zone of a target; an arbiter has none.
    pub zone: Option<ZoneId>,
}

/// Times of ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerTimes {
    /// A host stops serving when its last contact is older than this.
    pub fence_after: Duration,
    /// A host that nobody has heard for this long has lost its keys.
    ///
    /// Twice [`fence_after`](Self::fence_after) covers a witness that heard the previous owner just
    /// before its own news got old; the rest is for the heartbeat period and differing clocks.
    pub takeover_after: Duration,
}

impl Default for OwnerTimes {
    fn default() -> Self {
        Self {
            fence_after: Duration::from_millis(1500),
            takeover_after: Duration::from_secs(4),
        }
    }
}

/// A host as the roster lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Name of the host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
}

/// The previous owner's word that it no longer serves a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerHandover {
    /// The key.
    pub key: OwnedKey,
    /// Host that has stopped serving the key.
    pub from: HostId,
    /// The only host that may use this message.
    pub heir: HostId,
    /// When the heir sent the heartbeat that the previous owner heard last, by the heir's clock.
    ///
    /// The message carries the sequence number; the heir looks the time up. It bounds the age of a
    /// handover, because a late one may arrive after the sender has taken the key back.
    pub echoed: MonoTime,
    /// Whether the sender stopped serving earlier and only goes on leaving the key to the heir.
    pub is_renewal: bool,
}

/// Why this host does not serve a key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OwnershipError {
    /// The roster does not list this host.
    #[error("the roster does not list this host")]
    NotListed,
    /// This host has not heard enough others for too long.
    #[error("no contact with more than half of the other hosts of the zone")]
    OutOfContact,
    /// This host paused and has not heard a fresh round of heartbeats since.
    #[error("no fresh round of heartbeats since a pause")]
    NotFresh,
    /// Another host comes first.
    #[error("{owner} owns the key")]
    NotOwner {
        /// The host that comes first.
        owner: HostId,
    },
    /// No live host may own the key.
    #[error("no live host can own the key")]
    NoOwner,
    /// A previous owner that this host does not know of may still serve.
    #[error("a previous owner may serve until {until}")]
    TooEarly {
        /// When this host may serve.
        until: MonoTime,
    },
    /// This host handed the key over a short time ago.
    #[error("handed over to {heir} until {until}")]
    HandedOver {
        /// The host that got the key.
        heir: HostId,
        /// When this host may own the key again.
        until: MonoTime,
    },
    /// The handover is for another host.
    #[error("the handover is for {heir}")]
    WrongHeir {
        /// The host that may use the handover.
        heir: HostId,
    },
    /// The handover took too long to arrive.
    #[error("the handover answers a heartbeat that is too old")]
    StaleHandover,
}

/// Returns the newest time since which more than half of the other hosts have been in contact.
///
/// Each item is one other listed host: when this host sent the newest heartbeat that the other one
/// acknowledged. The time of sending counts and not that of the answer, because a late answer says
/// nothing about the time since. With no other host, the result is `now`.
pub fn contact_basis(
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
