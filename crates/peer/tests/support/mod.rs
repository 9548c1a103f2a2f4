//! Helpers shared by the tests of the transport.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_peer::prelude::*;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Returns a deadline that is never reached if the peer answers.
pub(crate) fn ample_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

pub(crate) fn probe() -> PeerMessage {
    PeerMessage::ProbeRequest(ProbeRequest {
        target: TargetId::new("rate-01").unwrap(),
    })
}

pub(crate) async fn on_message(message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::ProbeRequest(_) | PeerMessage::Heartbeat(_) => PeerMessage::Accepted,
        _ => PeerMessage::Refused(RefusalReason::NotARequest),
    }
}

pub(crate) async fn body_of(response: Response<Incoming>) -> Bytes {
    response.into_body().collect().await.unwrap().to_bytes()
}
