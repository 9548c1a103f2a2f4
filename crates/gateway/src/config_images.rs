//! Encoded changes of the configuration, which this host sends to others.
//!
//! A change is encoded once for all hosts that have the same earlier version. An image that this host received is kept, so
//! that it can send it without encoding it again.

use std::sync::{
    Mutex,
    PoisonError, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_peer::prelude::*;
use indexmap::IndexMap;

use crate::store_cache::StoreCache;

/// Number of images that a host keeps. Hosts that were late have a few different versions.
const IMAGES_MAX: usize = 8;

/// The versions that an image leads from and to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct ImageKey {
    from: Option<ConfigBase>,
    to: ConfigVersion,
}

/// The images that a host keeps, the oldest first.
#[derive(Debug, Default)]
pub struct ConfigImages {
    images: Mutex<IndexMap<ImageKey, ConfigImage>>,
}

impl ConfigImages {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    fn with_images<T>(
        &self,
        use_images: impl FnOnce(&mut IndexMap<ImageKey, ConfigImage>) -> T,
    ) -> T {
        let images = self.images.lock();
        use_images(&mut images.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the image of the change from a configuration to the one in force, and its version; `None` before the first
    /// configuration. The change from one that was not in force on this host lately is the whole configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is longer than a message may be.
    pub fn since(
        &self,
        cache: &StoreCache,
        base: Option<ConfigBase>,
    ) -> Result<Option<(ConfigVersion, ConfigImage)>, CodecError> {
        let Some(to) = cache.config_version() else {
            return Ok(None);
        };
        let from = base.filter(|base| cache.find_config(base.version) == Some(*base));
        let key = ImageKey { from, to };
        self.with_images(|images| {
            if let Some(image) = images.get(&key) {
                return Ok(Some((to, image.clone())));
            }
            let Some(change) = cache.config_change(from) else {
                return Ok(None);
            };
            let image = ConfigImage::encode(&change)?;
            log::info!(
                "event=config_encoded version={to} from={} bytes={} routes={}",
                from.map_or(0, |base| base.version.get()),
                image.size(),
                change.route_count()
            );
            insert(images, key, image.clone());
            Ok(Some((to, image)))
        })
    }

    /// Adds an image that this host has received.
    pub fn insert(&self, from: Option<ConfigBase>, to: ConfigVersion, image: ConfigImage) {
        self.with_images(|images| insert(images, ImageKey { from, to }, image));
    }

    /// Returns the image with a digest.
    pub fn find(&self, digest: DocumentDigest) -> Option<ConfigImage> {
        self.with_images(|images| {
            let mut images = images.values();
            images.find(|image| image.digest() == digest).cloned()
        })
    }
}

fn insert(images: &mut IndexMap<ImageKey, ConfigImage>, key: ImageKey, image: ConfigImage) {
    if images.len() == IMAGES_MAX && !images.contains_key(&key) {
        images.shift_remove_index(0);
    }
    images.insert(key, image);
}
