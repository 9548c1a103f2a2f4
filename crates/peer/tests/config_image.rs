//! Encoded changes of the configuration.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    io::Write,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_peer::{
    codec::MESSAGE_BYTES_MAX,
    prelude::*, //
};
use flate2::{
    Compression,
    write::DeflateEncoder, //
};
use indexmap::IndexMap;

fn config() -> GatewayConfig {
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let version = ConfigVersion::new(3);
    let (services, teams) = (IndexMap::new(), IndexMap::new());
    GatewayConfig::new(version, Vec::new(), services, teams, limits).unwrap()
}

/// Guards against hosts that cannot read what others have encoded.
#[test]
fn image_holds_the_change() {
    let change = ConfigChange::Whole(Box::new(config()));
    let image = ConfigImage::encode(&change).unwrap();
    let received = ConfigImage::new(image.bytes().clone());
    assert_eq!(received, image);
    assert_eq!(received.decode().unwrap(), change);
}

/// Guards against a process that runs out of memory because of a short message that grows when it is decompressed.
#[test]
fn image_that_grows_beyond_a_message_is_refused() {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(&vec![0; 64 * MESSAGE_BYTES_MAX]).unwrap();
    let bytes = encoder.finish().unwrap();
    assert!(bytes.len() < MESSAGE_BYTES_MAX / 8);
    let decoded = ConfigImage::new(bytes.into()).decode();
    assert!(
        matches!(decoded, Err(CodecError::TooLarge { .. })),
        "{decoded:?}"
    );
    let cut = ConfigImage::new(vec![1, 2, 3].into()).decode();
    assert!(matches!(cut, Err(CodecError::Malformed { .. })), "{cut:?}");
}
