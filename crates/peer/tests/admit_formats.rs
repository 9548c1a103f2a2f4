//! Permit requests and refusals in the format versions.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

fn admit(objective_millis: Option<u32>) -> GatewayMessage {
    GatewayMessage::Admit(AdmitRequest {
        request: "id-1".into(),
        service: ServiceId::new("rate").unwrap(),
        zone: None,
        charged_team: None,
        team: None,
        priority: 1,
        is_idempotent: true,
        is_repeat: false,
        wait_millis: 100,
        left_millis: 1000,
        objective_millis,
        connected: Vec::new(),
        least_trust: TargetTrust::Blocked,
        tried: Vec::new(),
    })
}

fn busy(return_millis: Option<u32>) -> GatewayMessage {
    let answer = AdmitAnswer::Busy {
        retry_millis: 250,
        return_millis,
        has_less_trusted: true,
    };
    GatewayMessage::Admitted(answer.into())
}

/// Returns a message as a host gets it that was sent in a format version.
fn cross(message: GatewayMessage, version: FormatVersion) -> PeerMessage {
    let codec = PeerCodec::new();
    let bytes = codec.encode(&PeerMessage::Gateway(message), version);
    codec.decode(&bytes.unwrap()).unwrap().1
}

/// Guards against objectives and return times that are lost between hosts of this version, and against hosts of earlier
/// ones that are not understood: these have no objectives, and their callers return after the expected wait.
#[test]
fn objective_and_return_time_cross_and_map_to_defaults() {
    for (objective, return_time) in [(Some(400), Some(300)), (None, None)] {
        for message in [admit(objective), busy(return_time)] {
            let same = PeerMessage::Gateway(message.clone());
            assert_eq!(cross(message.clone(), FormatVersion::V4), same);
            assert_eq!(cross(message, FormatVersion::V5), same);
        }
        for version in [FormatVersion::V2, FormatVersion::V3] {
            let expected = PeerMessage::Gateway(admit(None));
            assert_eq!(cross(admit(objective), version), expected);
            let expected = PeerMessage::Gateway(busy(Some(250)));
            assert_eq!(cross(busy(return_time), version), expected);
        }
    }
}
