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

/// Timeout of one answer of a peer, which is at most 128 KB long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason for which a published version could not be adopted.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A document is not valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The content of a part does not match its digest in the index.
    #[error("the content of part {name} does not match its digest in the index")]
    DigestMismatch {
        /// Name of the part.
        name: SmolStr,
    },
    /// A document is not UTF-8.
    #[error("value {name} is not UTF-8")]
    NotUtf8 {
        /// Name of the document.
        name: SmolStr,
    },
    /// The index contains another version than the one that was announced.
    #[error("the index has version {found}, but version {announced} was announced")]
    VersionMismatch {
        /// Version in the index.
        found: ConfigVersion,
        /// Version that the platform or another host announced.
        announced: ConfigVersion,
    },
    /// A document is not stored, and no source provides it.
    #[error("document {name} is not available from any source")]
    NotFound {
        /// Name of the document.
        name: SmolStr,
    },
    /// A newer version was announced during the fetch.
    #[error("a newer version was announced during the fetch")]
    Superseded,
    /// The task that validates the documents did not complete.
    #[error("the task that validates the documents panicked or was cancelled")]
    ValidationAborted,
}

impl ConfigError {
    /// Returns `true` if the version itself is not valid, so that another fetch would not help.
    pub fn is_invalid_version(&self) -> bool {
        matches!(
            self,
            Self::Document(_) | Self::NotUtf8 { .. } | Self::VersionMismatch { .. }
        )
    }
}

/// Returns the content of a document as text.
///
/// # Errors
///
/// Returns an error if the content is not UTF-8.
pub fn text_of(name: &str, content: &[u8]) -> Result<String, ConfigError> {
    String::from_utf8(content.to_vec()).map_err(|_| ConfigError::NotUtf8 { name: name.into() })
}

/// Sources from which the documents of a version are fetched.
#[derive(Debug)]
pub struct FetchSources {
    peers: Vec<HostId>,
    platform: Option<Arc<PlatformClient>>,
}

impl FetchSources {
    /// Creates the sources from those that announced a version, and the platform if it may be read.
    ///
    /// The list of hosts starts at a random position, so that the hosts of a fleet do not all ask the
    /// same peer first.
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
        if let Some(offset) = usize::try_from(state.random())
            .ok()
            .and_then(|random| random.checked_rem(peers.len()))
        {
            peers.rotate_left(offset);
        }
        Self {
            peers,
            platform: platform.cloned(),
        }
    }

    /// Fetches and stores the documents that are missing.
    ///
    /// # Errors
    ///
    /// Returns an error if no source provides a document; documents that arrived before stay stored.
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
            state.on_platform_answer();
            if DocumentDigest::of_document(&value.content) != part.digest {
                let name = part.name.clone();
                return Err(ConfigError::DigestMismatch { name });
            }
            store_part(state, part.digest, value.content);
        }
        Ok(())
    }
}

fn store_part(state: &HostState, digest: DocumentDigest, content: bytes::Bytes) {
    state.config.store_document(digest, content);
    state
        .config
        .with_follower(|follower| follower.on_part(digest));
}

/// Fetches chunks from one host until the documents are complete or the host sends nothing new.
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
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let Ok(PeerMessage::PartsAnswer(answer)) =
            state.peers.call(address, request, deadline).await
        else {
            return;
        };
        for chunk in &answer.chunks {
            match assembly.accept(chunk) {
                Ok(Some((digest, content))) => store_part(state, digest, content),
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
