//! Bytes of the messages about the store in earlier format versions.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use indexmap::IndexMap;

fn member() -> MemberRecord {
    MemberRecord {
        host: HostId::new("edge-1").unwrap(),
        zone: ZoneId::new("a").unwrap(),
        address: "192.0.2.1:7443".parse().unwrap(),
        incarnation: HostIncarnation::new(1_796_382_000_000),
        beat: 7,
        is_leaving: false,
    }
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), StoreRevision::new(revision))
}

fn positions(era: u64) -> PartPositions {
    PartPositions {
        operator: position(era, 300),
        targets: position(era, 301),
    }
}

fn directory(era: u64) -> TargetDirectory {
    let mut directory = TargetDirectory::new();
    directory.as_of = position(era, 300);
    let entry = TargetEntry {
        id: TargetId::new("t-1").unwrap(),
        service: ServiceId::new("rate").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: SlotCount::new(2),
        phase: TargetPhase::Ready,
        cold_left: Duration::ZERO,
        born: 1,
        sequence: 5,
    };
    directory.targets.insert(entry.id.clone(), entry);
    directory.evacuated.insert(ZoneId::new("b").unwrap());
    directory.update_digest();
    directory
}

fn sighting(era: u64) -> EraSighting {
    EraSighting {
        era: StoreEra::new(era),
        age_millis: (era > 0).then_some(700),
    }
}

fn request(era: u64, served: Option<ServedSpan>) -> PeerMessage {
    PeerMessage::Gateway(GatewayMessage::Follow(FollowRequest {
        member: member(),
        config: Some(ConfigVersion::new(4)),
        content: directory(era).content,
        positions: positions(era),
        wait_millis: 250,
        is_read_wanted: false,
        is_dispatcher: true,
        lease_millis: None,
        short_teams: Vec::new(),
        served,
        era: sighting(era),
        transfer: None,
    }))
}

fn answer(era: u64, served: Option<ServedSpan>) -> PeerMessage {
    let answer = FollowAnswer {
        member: member(),
        held_millis: 250,
        age_millis: Some(120),
        target_age_millis: None,
        is_served: true,
        is_reading: false,
        config_version: None,
        config: ConfigUpdate::Same,
        directory: DirectoryUpdate::Replaced(directory(era)),
        positions: positions(era),
        usage: Vec::new(),
        follower_count: 3,
        fleet_size: 0,
        given_tokens: Vec::new(),
        levels: None,
        served,
        era: sighting(era),
    };
    PeerMessage::Gateway(GatewayMessage::FollowAnswer(Box::new(answer)))
}

/// Messages as the release with format version 3 encoded them.
const REQUEST_V2: &str =
    "02100106656467652d31016100c0000201fb131dfd8003b640a201000007000104fdd21a3bb5f0454fdbfa01";
const REQUEST_V3: &str = "03100106656467652d31016100c0000201fb131dfd8003b640a201000007000104fdd21a3bb5f0454fdbfb2c01\
fb2d01fa0001";
const ANSWER_V2: &str = "02100206656467652d31016100c0000201fb131dfd8003b640a20100000700fa01780001fb2c01fdd21a3bb5f0454f\
db0103742d3103742d310472617465000a000001500161020000000105010162fb2c010003";
const ANSWER_V3: &str = "03100206656467652d31016100c0000201fb131dfd8003b640a20100000700fa017800010002fb2c01fdd21a3bb5f0\
454fdb0103742d3103742d310472617465000a000001500161020000000105010162fb2c01fb2d010003";

/// Messages of era 2 as the release with format version 4 encoded them.
const REQUEST_V4: &str = "04100106656467652d31016100c0000201fb131dfd8003b640a201000007000104fdd21a3bb5f0454fdb02fb2c01\
02fb2d01fa0001000001fb28230a0201fbbc02";
const ANSWER_V4: &str = "04100206656467652d31016100c0000201fb131dfd8003b640a20100000700fa01780001fb28230a0201fbbc0201\
000202fb2c01fdd21a3bb5f0454fdb0103742d3103742d310472617465000a00000150016102000000010501016202fb2c0102fb2d010003000000";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against a rolling upgrade during which one release decodes the other's messages incorrectly, because a type that
/// both share has changed.
#[test]
fn messages_of_earlier_versions_keep_their_bytes() {
    let codec = PeerCodec::new();
    let served = Some(ServedSpan {
        first_millis: 9000,
        last_millis: 10,
    });
    for era in [0, 2] {
        let cases = [
            (request(era, served), FormatVersion::V2, REQUEST_V2),
            (request(era, served), FormatVersion::V3, REQUEST_V3),
            (answer(era, served), FormatVersion::V2, ANSWER_V2),
            (answer(era, served), FormatVersion::V3, ANSWER_V3),
        ];
        for (message, version, bytes) in cases {
            assert_eq!(hex(&codec.encode(&message, version).unwrap()), bytes);
        }
    }
    let cases = [
        (request(2, served), REQUEST_V4),
        (answer(2, served), ANSWER_V4),
    ];
    for (message, bytes) in cases {
        let encoded = codec.encode(&message, FormatVersion::V4).unwrap();
        assert_eq!(hex(&encoded), bytes);
        assert_eq!(codec.decode(&encoded).unwrap().1, message);
    }
}

/// Guards against a host of version 4 that gets no configuration, or is offered a transfer that it does not know.
#[test]
fn host_of_version_4_gets_whole_configurations() {
    let codec = PeerCodec::new();
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let version = ConfigVersion::new(9);
    let services = IndexMap::new();
    let config = GatewayConfig::new(version, Vec::new(), services, IndexMap::new(), limits);
    let config = Box::new(config.unwrap());
    let PeerMessage::Gateway(GatewayMessage::FollowAnswer(plain)) = answer(2, None) else {
        panic!("expected an answer");
    };
    let cases = [
        (
            ConfigUpdate::Whole(config.clone()),
            ConfigUpdate::Whole(config),
        ),
        (ConfigUpdate::Same, ConfigUpdate::Same),
    ];
    for (sent, expected) in cases {
        let message = |config, config_version| {
            let answer = FollowAnswer {
                config,
                config_version,
                ..(*plain).clone()
            };
            PeerMessage::Gateway(GatewayMessage::FollowAnswer(Box::new(answer)))
        };
        let sent = message(sent, Some(version));
        let bytes = codec.encode(&sent, FormatVersion::V4).unwrap();
        assert_eq!(codec.decode(&bytes).unwrap().1, message(expected, None));
    }
}

/// Guards against a host of version 3 that counts as one of the latest era, and against an era that is lost between hosts of
/// this release.
#[test]
fn host_of_version_3_counts_as_era_0() {
    let codec = PeerCodec::new();
    let served = Some(ServedSpan {
        first_millis: 9000,
        last_millis: 10,
    });
    for message in [request, answer] {
        let sent = message(2, served);
        let bytes = codec.encode(&sent, FormatVersion::V3).unwrap();
        let (_, decoded) = codec.decode(&bytes).unwrap();
        assert_eq!(decoded, message(0, None));
        for version in [FormatVersion::V4, FormatVersion::V5] {
            let bytes = codec.encode(&sent, version).unwrap();
            assert_eq!(codec.decode(&bytes).unwrap().1, sent);
        }
    }
}
