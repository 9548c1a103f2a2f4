//! Fetches a large configuration from the host that the dispatcher names, in chunks.
//!
//! The long poll of the dispatcher goes on meanwhile, so that changes of targets arrive as usual. A fetch that fails ends;
//! the dispatcher then names another host, and the fetch continues with the chunks that it has.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::{
    config_spread::CHUNK_BYTES_MAX,
    prelude::*, //
};
use chicorycroft_peer::{
    parts::ChunkError,
    prelude::*, //
};
use thiserror::Error;
use tokio::sync::watch;

use crate::{
    peer_calls::call_parts,
    state::GatewayState, //
};

/// Reason for the end of a fetch without a configuration.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The host did not answer, or refused the request.
    #[error(transparent)]
    Call(#[from] PeerError),
    /// The host has no such image any more.
    #[error("the host has version {0} and no image of the one asked for")]
    NotHeld(ConfigVersion),
    /// The host sent a chunk that does not fit.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The image could not be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The image holds the changes of another version than the one in force.
    #[error("the changes apply to another version than the one in force")]
    OtherBase,
}

/// A fetch that has not received all chunks.
#[derive(Debug)]
struct PartialImage {
    digest: DocumentDigest,
    assembly: PartsAssembly,
}

/// The fetch of a configuration; a host runs one at a time.
#[derive(Debug)]
pub struct ConfigFetch {
    running: Mutex<Option<ConfigVersion>>,
    /// What the last fetch that failed has received.
    partial: Mutex<Option<PartialImage>>,
    ends: watch::Sender<u64>,
}

impl Default for ConfigFetch {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFetch {
    /// Creates the state without a fetch.
    pub fn new() -> Self {
        Self {
            running: Mutex::new(None),
            partial: Mutex::new(None),
            ends: watch::Sender::new(0),
        }
    }

    fn running(&self) -> MutexGuard<'_, Option<ConfigVersion>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn partial(&self) -> MutexGuard<'_, Option<PartialImage>> {
        self.partial.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version that this host is fetching.
    pub fn version(&self) -> Option<ConfigVersion> {
        *self.running()
    }

    /// Returns a receiver that is notified when a fetch ends.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.ends.subscribe()
    }

    /// Marks a fetch as running, unless one is.
    fn try_begin(&self, version: ConfigVersion) -> bool {
        let mut running = self.running();
        let is_free = running.is_none();
        if is_free {
            *running = Some(version);
        }
        is_free
    }

    fn end(&self) {
        *self.running() = None;
        self.ends.send_modify(|count| *count += 1);
    }

    /// Returns the chunks received so far of an image.
    fn resume(&self, digest: DocumentDigest) -> PartialImage {
        let partial = self.partial().take();
        partial
            .filter(|partial| partial.digest == digest)
            .unwrap_or_else(|| PartialImage {
                digest,
                assembly: PartsAssembly::new([digest]),
            })
    }
}

/// Ends the fetch when its task ends, also by a panic.
struct FetchGuard(Arc<GatewayState>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.config_fetch.end();
    }
}

/// Fetches the change from a configuration to an offered version in the background, unless a fetch is running.
pub fn start(state: &Arc<GatewayState>, base: Option<ConfigBase>, offer: ConfigOffer) {
    let is_later = Some(offer.version) > state.store_cache.config_version();
    if !is_later || !state.config_fetch.try_begin(offer.version) {
        return;
    }
    let guard = FetchGuard(state.clone());
    tokio::spawn(async move {
        let state = &guard.0;
        let begun_at = state.now();
        let fetched = fetch(state, base, &offer).await;
        let elapsed_ms = state.now().since(begun_at).as_millis();
        let is_failed = fetched.is_err();
        match fetched {
            Ok(size) => log::info!(
                "event=config_fetched version={} from={} bytes={size} elapsed_ms={elapsed_ms}",
                offer.version,
                offer.host
            ),
            Err(error) => log::warn!(
                "event=config_fetch_failed version={} from={} elapsed_ms={elapsed_ms} error=\"{error}\"",
                offer.version,
                offer.host
            ),
        }
        if is_failed {
            tokio::time::sleep(state.change_budget().fetch_pause()).await;
        }
    });
}

/// Fetches an image, adopts its configuration and returns its size.
async fn fetch(
    state: &GatewayState,
    base: Option<ConfigBase>,
    offer: &ConfigOffer,
) -> Result<ByteCount, FetchError> {
    let mut partial = state.config_fetch.resume(offer.image);
    let fetched = fetch_chunks(state, base, offer, &mut partial.assembly).await;
    let image = match fetched {
        Ok(image) => image,
        Err(error) => {
            *state.config_fetch.partial() = Some(partial);
            return Err(error);
        }
    };
    let size = image.size();
    adopt_image(state, base, image, &offer.host)?;
    Ok(size)
}

async fn fetch_chunks(
    state: &GatewayState,
    base: Option<ConfigBase>,
    offer: &ConfigOffer,
    assembly: &mut PartsAssembly,
) -> Result<ConfigImage, FetchError> {
    loop {
        let request = PartsRequest {
            have: base.map(|base| base.version),
            wants: assembly.wants(),
        };
        let limit = state.change_budget().chunk_limit();
        let answer = call_parts(state, offer.address, request, limit).await?;
        let Some(chunk) = answer.chunks.first() else {
            return Err(FetchError::NotHeld(answer.version));
        };
        if let Some((_, bytes)) = assembly.accept(chunk)? {
            return Ok(ConfigImage::new(bytes));
        }
    }
}

/// Adopts the configuration of an image of the change since `base`.
///
/// # Errors
///
/// Returns an error if the image cannot be decoded or applies to another configuration than the one in force.
pub fn adopt_image(
    state: &GatewayState,
    base: Option<ConfigBase>,
    image: ConfigImage,
    from: &HostId,
) -> Result<(), FetchError> {
    let change = image.decode()?;
    let index = state.store_cache.index();
    let current = index.as_ref().map(|index| &**index.config());
    let config = change.apply(current).ok_or(FetchError::OtherBase)?;
    let version = config.version();
    if state.store_cache.adopt_config(config, from.as_str()) {
        state.config_images.insert(base, version, image);
    }
    Ok(())
}

/// Answers a request for a chunk of an image; `None` if this host has no image of a change since the stated version.
pub fn answer_parts(state: &GatewayState, request: &PartsRequest) -> Option<PartsAnswer> {
    let want = request.wants.first()?;
    let PartKey::Part(digest) = want.key else {
        return None;
    };
    let version = state.store_cache.config_version()?;
    let image = match state.config_images.find(digest) {
        Some(image) => image,
        None => encode_since(state, request.have)?,
    };
    let find =
        |key: &PartKey| (*key == PartKey::Part(image.digest())).then(|| image.bytes().clone());
    let digest = image.digest();
    Some(PartsAnswer::with_limit(
        CHUNK_BYTES_MAX,
        version,
        digest,
        request,
        find,
    ))
}

/// Returns the image of the change since a version, which this host has not sent or received yet. The change since one that
/// it never had is the whole configuration.
fn encode_since(state: &GatewayState, have: Option<ConfigVersion>) -> Option<ConfigImage> {
    let base = have.and_then(|version| state.store_cache.find_config(version));
    match state.config_images.since(&state.store_cache, base) {
        Ok(latest) => latest.map(|(_, image)| image),
        Err(error) => {
            log::warn!("event=config_not_encoded error=\"{error}\"");
            None
        }
    }
}
