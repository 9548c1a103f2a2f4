//! Fetches configuration documents from other hosts or from the platform.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_border::document::DocumentError;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;
use tokio::time::Instant;

use crate::state::HostState;

/// Longest time for one answer of a peer, which is at most 128 KB.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Why a published version is not in force.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A document is not valid.
    #[error(transparent)]
    Border(#[from] DocumentError),
    /// A part is not the one that the index lists.
    #[error("part {name} does not have the digest that the index lists")]
    WrongDigest {
        /// Name of the part.
        name: SmolStr,
    },
    /// A value is not text.
    #[error("value {name} is not UTF-8")]
    NotText {
        /// Name of the value.
        name: SmolStr,
    },
    /// The index is not of the version under which it was told of.
    #[error("the index has version {found}, but it was told of as version {told}")]
    WrongVersion {
        /// Version in the index.
        found: ConfigVersion,
        /// Version that was told of.
        told: ConfigVersion,
    },
    /// No host that was asked has a document.
    #[error("no host that was asked has {name}")]
    NotFound {
        /// Name of the document.
        name: SmolStr,
    },
    /// Another version is under way meanwhile.
    #[error("a newer version is under way")]
    Superseded,
    /// The check of the documents did not end.
    #[error("the check of the documents was broken off")]
    CheckBroken,
}

impl ConfigError {
    /// Tells whether the version itself is not valid, so that another fetch would not help.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::Border(_) | Self::NotText { .. } | Self::WrongVersion { .. }
        )
    }
}

/// Returns a document as text.
///
/// # Errors
///
/// Fails when it is not UTF-8.
pub fn text_of(name: &str, content: &[u8]) -> Result<String, ConfigError> {
    String::from_utf8(content.to_vec()).map_err(|_| ConfigError::NotText { name: name.into() })
}

/// Where to fetch the documents of a version.
#[derive(Debug)]
pub struct FetchSources {
    peers: Vec<HostId>,
    platform: Option<Arc<PlatformClient>>,
}

impl FetchSources {
    /// Takes the hosts and the platform out of those who have told of a version. The hosts come
    /// in another order on each host, so that the first of them is not asked by all.
    pub fn new(
        state: &HostState,
        sources: &[IndexSource],
        platform: Option<&Arc<PlatformClient>>,
    ) -> Self {
        let mut peers: Vec<HostId> = Vec::new();
        for source in sources {
            if let IndexSource::Peer { host, .. } = source {
                peers.push(host.clone());
            }
        }
        if let Some(middle) = usize::try_from(state.random())
            .ok()
            .and_then(|random| random.checked_rem(peers.len()))
        {
            peers.rotate_left(middle);
        }
        Self {
            peers,
            platform: platform.cloned(),
        }
    }

    /// Fetches documents that are not at hand and keeps them.
    ///
    /// # Errors
    ///
    /// Fails when a document cannot be had from anybody; those that arrived are kept.
    pub async fn fetch(&self, state: &HostState, parts: &[PartSummary]) -> Result<(), ConfigError> {
        let is_missing = |part: &&PartSummary| state.config.document(&part.digest).is_none();
        let missing: Vec<_> = parts.iter().filter(is_missing).collect();
        let mut assembly = PartsAssembly::new(missing.iter().map(|part| part.digest));
        for peer in &self.peers {
            if assembly.is_complete() {
                break;
            }
            fetch_from_peer(state, peer, &mut assembly).await;
        }
        for part in missing.into_iter().filter(|part| is_missing(part)) {
            let Some(platform) = &self.platform else {
                let name = part.name.clone();
                return Err(ConfigError::NotFound { name });
            };
            let value = platform.read(&part.name).await?;
            state.on_platform();
            if DocumentDigest::of_document(&value.content) != part.digest {
                let name = part.name.clone();
                return Err(ConfigError::WrongDigest { name });
            }
            keep(state, part.digest, value.content);
        }
        Ok(())
    }
}

fn keep(state: &HostState, digest: DocumentDigest, content: bytes::Bytes) {
    state.config.keep_document(digest, content);
    state
        .config
        .with_follower(|follower| follower.on_part(digest));
}

/// Collects pieces from one host until all is there, or the host has no more of it.
async fn fetch_from_peer(state: &HostState, peer: &HostId, assembly: &mut PartsAssembly) {
    let Some(address) = state.members.address_of(peer) else {
        return;
    };
    while !assembly.is_complete() {
        let wants = assembly.wants();
        let have = state.config.summary().map(|summary| summary.version);
        let request = PeerMessage::PartsRequest(PartsRequest {
            have,
            wants: wants.clone(),
        });
        let deadline = Instant::now() + ANSWER_WAIT;
        let Ok(PeerMessage::PartsAnswer(answer)) =
            state.peers.call(address, request, deadline).await
        else {
            return;
        };
        for chunk in &answer.chunks {
            match assembly.accept(chunk) {
                Ok(Some((digest, content))) => keep(state, digest, content),
                Ok(None) => {}
                Err(error) => {
                    log::warn!("event=chunk_refused peer={peer} error=\"{error}\"");
                    return;
                }
            }
        }
        if assembly.wants() == wants {
            return;
        }
    }
}
