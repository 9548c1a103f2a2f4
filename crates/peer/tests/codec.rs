//! Guards the encoding of messages.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_peer::{
    codec::MESSAGE_BYTES_MAX,
    parts::{
        CHUNK_BYTES_MAX,
        ChunkError, //
    },
    prelude::*,
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

fn host(number: usize) -> HostId {
    HostId::new(&format!("entry-{number:04}")).unwrap()
}

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("rate-{number:02}")).unwrap()
}

fn service() -> ServiceId {
    ServiceId::new("rate").unwrap()
}

fn heartbeat(targets: usize, heard: usize) -> Heartbeat {
    Heartbeat {
        host: host(1),
        incarnation: HostIncarnation::new(1_796_382_000_000),
        zone: ZoneId::new("muscat-a").unwrap(),
        address: "192.0.2.1:7443".parse().unwrap(),
        sequence: 100_000,
        echo: Some(SequenceEcho {
            incarnation: HostIncarnation::new(1_796_382_000_001),
            sequence: 100_001,
        }),
        config: Some(ConfigSummary {
            version: ConfigVersion::new(4711),
            digest: DocumentDigest::of_document(b"index"),
        }),
        is_platform_recent: true,
        is_leaving: false,
        targets: (0..targets)
            .map(|number| TargetLoad {
                target: target(number),
                in_flight: 2,
                limit: 2,
                is_suspect: number % 2 == 0,
            })
            .collect(),
        baselines: vec![ServiceBaseline {
            service: service(),
            good: 300,
            failed: 3,
            latency: [0, 1, 20, 200, 70, 9, 0, 0],
        }],
        heard: (0..heard)
            .map(|number| HeardHost {
                host: HostHash::of_host(&host(number)),
                age_tenths: 5,
            })
            .collect(),
    }
}

fn draw_id() -> DrawId {
    DrawId {
        host: host(1),
        incarnation: HostIncarnation::new(1_796_382_000_000),
        sequence: 70_000,
    }
}

fn all_messages() -> Vec<(&'static str, PeerMessage)> {
    let (target, service, key) = (target(1), service(), DocumentDigest::of_document(b"part"));
    let incarnation = HostIncarnation::new(1_796_382_000_000);
    let echo = SequenceEcho {
        incarnation,
        sequence: 100_000,
    };
    vec![
        ("heartbeat", PeerMessage::Heartbeat(heartbeat(2, 16))),
        (
            "heartbeat-ack",
            PeerMessage::HeartbeatAck(HeartbeatAck {
                host: host(1),
                incarnation,
                echo,
            }),
        ),
        (
            "token-draw",
            PeerMessage::TokenDraw(TokenDraw {
                team: TeamId::new("harbour").unwrap(),
                wanted: TokenAmount::from_whole(20),
                least: TokenAmount::ONE,
                id: draw_id(),
                reach: DrawReach::Fleet,
            }),
        ),
        (
            "token-grant",
            PeerMessage::TokenGrant(TokenGrant {
                id: draw_id(),
                team: TeamId::new("harbour").unwrap(),
                rate: RequestRate::from_whole(30),
                burst: BurstSize::from_whole(60),
                minters: 48,
                lots: vec![TokenLot {
                    amount: TokenAmount::from_whole(20),
                    first_left_micros: 1_400_000,
                    last_left_micros: 1_500_000,
                }],
            }),
        ),
        (
            "parts-request",
            PeerMessage::PartsRequest(PartsRequest {
                have: Some(ConfigVersion::new(4711)),
                wants: vec![PartWant {
                    key: PartKey::Part(key),
                    offset: 0,
                }],
            }),
        ),
        (
            "parts-answer",
            PeerMessage::PartsAnswer(PartsAnswer {
                version: ConfigVersion::new(4712),
                index: key,
                chunks: vec![PartChunk {
                    key: PartKey::Index,
                    offset: 0,
                    total: 5,
                    bytes: Bytes::from_static(b"index"),
                }],
            }),
        ),
        (
            "probe-request",
            PeerMessage::ProbeRequest(ProbeRequest {
                target: target.clone(),
            }),
        ),
        (
            "probe-answer",
            PeerMessage::ProbeAnswer(ProbeAnswer {
                target: target.clone(),
                outcome: ProbeOutcome::TimedOut,
            }),
        ),
        (
            "ejection-request",
            PeerMessage::EjectionRequest(EjectionRequest {
                service: service.clone(),
                target: target.clone(),
                lease_millis: 10_000,
            }),
        ),
        (
            "ejection-grant",
            PeerMessage::EjectionGrant(EjectionGrant {
                service: service.clone(),
                target: target.clone(),
                lease_millis: 10_000,
            }),
        ),
        (
            "ejection-release",
            PeerMessage::EjectionRelease(EjectionRelease {
                service,
                target: target.clone(),
            }),
        ),
        (
            "owner-handover",
            PeerMessage::OwnerHandover(OwnerHandover {
                host: host(1),
                incarnation,
                heir: host(2),
                echo,
                is_renewal: false,
                targets: vec![target],
            }),
        ),
        ("accepted", PeerMessage::Accepted),
        ("refused", PeerMessage::Refused(RefusalReason::NotOwner)),
    ]
}

fn encode(message: &PeerMessage) -> Vec<u8> {
    PeerCodec::new().encode(message, FormatVersion::V2).unwrap()
}

/// Guards against a kind that is encoded as one message and decoded as another or not at all.
#[test]
fn every_message_survives_in_both_versions() {
    let codec = PeerCodec::new();
    for (name, message) in all_messages() {
        let bytes = encode(&message);
        println!("message={name} bytes={}", bytes.len());
        let decoded = codec.decode(&bytes).unwrap();
        assert_eq!(decoded, (FormatVersion::V2, message.clone()), "{name}");
        let bytes = codec.encode(&message, FormatVersion::V1).unwrap();
        let (version, decoded) = codec.decode(&bytes).unwrap();
        assert_eq!(version, FormatVersion::V1);
        if !matches!(message, PeerMessage::Heartbeat(_)) {
            assert_eq!(decoded, message, "{name}");
        }
    }
    let mut bare = heartbeat(0, 8);
    bare.baselines.clear();
    let length = encode(&PeerMessage::Heartbeat(bare)).len();
    println!("message=heartbeat targets=0 services=0 heard=8 bytes={length}");
    for (targets, heard) in [(1, 2), (2, 16), (20, 16), (10, 48), (10, 64)] {
        let length = encode(&PeerMessage::Heartbeat(heartbeat(targets, heard))).len();
        println!("message=heartbeat targets={targets} heard={heard} bytes={length}");
    }
}

/// Guards against a mixed fleet in which one release reads the other's heartbeat wrongly.
#[test]
fn old_heartbeat_is_read_without_suspicion_and_new_one_is_written_for_old_host() {
    let message = PeerMessage::Heartbeat(heartbeat(2, 1));
    let mut unsuspected = heartbeat(2, 1);
    unsuspected.targets[0].is_suspect = false;
    let expected = (FormatVersion::V1, PeerMessage::Heartbeat(unsuspected));
    let (old, new) = (PeerCodec::with_highest(FormatVersion::V1), PeerCodec::new());
    let from_new = new.encode(&message, FormatVersion::V1).unwrap();
    assert_eq!(old.decode(&from_new).unwrap(), expected);
    let from_old = old.encode(&message, FormatVersion::V1).unwrap();
    assert_eq!(new.decode(&from_old).unwrap(), expected);
    assert_eq!(
        old.decode(&encode(&message)),
        Err(CodecError::UnknownVersion {
            found: FormatVersion::V2,
            highest: FormatVersion::V1,
        })
    );
}

/// Guards against bytes of an unknown release, cut bytes and appended bytes being taken for a message.
#[test]
fn unknown_cut_and_trailing_bytes_are_refused_by_type() {
    let codec = PeerCodec::new();
    let bytes = encode(&PeerMessage::Heartbeat(heartbeat(2, 2)));
    let refusal_of = |bytes: &[u8]| codec.decode(bytes).unwrap_err().refusal();
    for version in [0, 3, 255] {
        let mut other = bytes.clone();
        other[0] = version;
        assert_eq!(refusal_of(&other), RefusalReason::UnknownVersion(2));
    }
    let mut other = bytes.clone();
    other[1] = 15;
    assert_eq!(
        codec.decode(&other),
        Err(CodecError::UnknownKind { found: 15 })
    );
    for length in 0..bytes.len() {
        assert_eq!(refusal_of(&bytes[..length]), RefusalReason::Malformed);
    }
    let mut longer = bytes.clone();
    longer.push(0);
    assert_eq!(
        codec.decode(&longer),
        Err(CodecError::TrailingBytes { count: 1 })
    );
    let huge = vec![2; MESSAGE_BYTES_MAX + 1];
    assert_eq!(refusal_of(&huge), RefusalReason::TooLarge);
}

/// Guards against a length field that makes the decoder reserve memory for bytes that never came.
#[test]
fn huge_claimed_length_is_refused() {
    let codec = PeerCodec::new();
    // Kind 12 is the handover: an empty host is refused, so the claim is in the host's length.
    let mut bytes = vec![2, 12, 253];
    bytes.extend_from_slice(&u64::MAX.to_le_bytes());
    assert_eq!(
        codec.decode(&bytes).unwrap_err().refusal(),
        RefusalReason::Malformed
    );
}

/// Guards against a panic on any bytes, and against a message that cannot be encoded again.
#[test]
fn mutated_bytes_never_panic() {
    fn check(choice: usize, changes: Vec<(usize, u8)>, cut: usize) -> bool {
        let messages = all_messages();
        let mut bytes = encode(&messages[choice % messages.len()].1);
        for (at, value) in changes {
            let length = bytes.len();
            bytes[at % length] = value;
        }
        bytes.truncate(1 + cut % bytes.len());
        match PeerCodec::new().decode(&bytes) {
            Ok((version, message)) => PeerCodec::new().encode(&message, version).is_ok(),
            Err(error) => !error.to_string().is_empty(),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 20_261_204))
        .tests(3000)
        .quickcheck(check as fn(usize, Vec<(usize, u8)>, usize) -> bool);
}

/// Guards against a forward head of garbage that panics or passes for a head.
#[test]
fn forward_head_survives_and_garbage_is_refused() {
    let head = ForwardHead {
        request: RequestId::new(7),
        route: RouteId::new("rates").unwrap(),
        team: Some(TeamId::new("harbour").unwrap()),
        service: service(),
        target: target(3),
        left_millis: 250,
        attempt: 1,
        is_idempotent: true,
    };
    let value = head.to_header().unwrap();
    println!("message=forward-head bytes={}", value.len());
    assert_eq!(ForwardHead::from_header(&value).unwrap(), head);
    for garbage in [
        "",
        "!",
        "AA",
        "AQ",
        "AgA",
        &format!("{}AAAA", value.to_str().unwrap()),
    ] {
        let value = http::HeaderValue::from_str(garbage).unwrap();
        assert!(ForwardHead::from_header(&value).is_err(), "{garbage}");
    }
}

/// Guards against documents above the chunk size that never become whole, and against a document
/// that is taken although a peer sent other bytes.
#[test]
fn documents_arrive_in_chunks_and_wrong_ones_start_again() {
    let documents: Vec<Bytes> = [300 << 10, 10, 200 << 10]
        .map(|length| Bytes::from(vec![u8::try_from(length % 251).unwrap(); length]))
        .into();
    let digests: Vec<_> = documents
        .iter()
        .map(|document| DocumentDigest::of_document(document))
        .collect();
    let find = |key: &PartKey| {
        let at = digests
            .iter()
            .position(|digest| *key == PartKey::Part(*digest))?;
        Some(documents[at].clone())
    };
    let mut assembly = PartsAssembly::new(digests.clone());
    let mut wholes = Vec::new();
    while !assembly.is_complete() {
        let request = PartsRequest {
            have: None,
            wants: assembly.wants(),
        };
        let answer = PartsAnswer::new(ConfigVersion::new(1), digests[0], &request, find);
        let sum: usize = answer.chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        assert!(sum > 0 && sum <= CHUNK_BYTES_MAX);
        encode(&PeerMessage::PartsAnswer(answer.clone()));
        for chunk in &answer.chunks {
            wholes.extend(assembly.accept(chunk).unwrap());
        }
    }
    assert_eq!(wholes.len(), 3);
    assert!(
        wholes
            .iter()
            .all(|(digest, whole)| find(&PartKey::Part(*digest)) == Some(whole.clone()))
    );

    let mut assembly = PartsAssembly::new([digests[1]]);
    let wrong = PartChunk {
        key: PartKey::Part(digests[1]),
        offset: 0,
        total: 10,
        bytes: Bytes::from_static(b"other data"),
    };
    let expected = digests[1];
    assert_eq!(
        assembly.accept(&wrong),
        Err(ChunkError::WrongDigest { expected })
    );
    assert_eq!(assembly.wants()[0].offset, 0);
}
