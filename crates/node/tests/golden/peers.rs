//! Invalid input at the peer port, and a fleet with two message versions. Every message must be
//! answered, and the host must still serve callers afterwards.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http2;
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use quickcheck::{
    Arbitrary,
    Gen, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::watch,
    time::Instant, //
};

use crate::{
    run,
    session::{
        FleetPlan,
        Session, //
    },
};

const LOOKUP: &str = "GET /notices/today HTTP/1.1";

/// Number of mutated messages of each kind.
const MUTATIONS: usize = 300;

const SEED: u64 = 20_261_204;

async fn assert_serves(session: &Session) {
    let answer = session.call_and_wait(0, LOOKUP).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

async fn connect(address: SocketAddr) -> http2::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends the bytes of a message and returns the status and bytes of the answer.
async fn post(sender: &mut http2::SendRequest<Full<Bytes>>, bytes: Vec<u8>) -> (StatusCode, Bytes) {
    let request = Request::post("http://peer/peer/message");
    let request = request.body(Full::new(Bytes::from(bytes))).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap();
    (status, body.to_bytes())
}

fn echo() -> SequenceEcho {
    SequenceEcho {
        incarnation: HostIncarnation::new(1_000),
        sequence: 3,
    }
}

fn heartbeat(host: &HostId, address: SocketAddr, sequence: u64) -> Heartbeat {
    Heartbeat {
        host: host.clone(),
        incarnation: HostIncarnation::new(1_007),
        zone: ZoneId::new("muscat-1").unwrap(),
        address,
        sequence,
        echo: None,
        config: None,
        is_platform_recent: true,
        is_leaving: false,
        targets: vec![TargetLoad {
            target: TargetId::new("rate-0").unwrap(),
            in_flight: 1,
            limit: 2,
            is_suspect: false,
        }],
        baselines: Vec::new(),
        recent_contacts: Vec::new(),
    }
}

/// Returns one valid message of each kind that changes the state of its receiver.
fn messages() -> Vec<PeerMessage> {
    let host = HostId::new("entry-7").unwrap();
    let team = TeamId::new("lusail").unwrap();
    let id = TransferId {
        host: host.clone(),
        incarnation: HostIncarnation::new(1_007),
        sequence: 1,
    };
    vec![
        PeerMessage::Heartbeat(heartbeat(&host, "127.0.0.1:9".parse().unwrap(), 1)),
        PeerMessage::TransferRequest(TransferRequest {
            team: team.clone(),
            wanted: "2".parse().unwrap(),
            minimum: "1".parse().unwrap(),
            id: id.clone(),
            purpose: TransferPurpose::Refill,
        }),
        PeerMessage::TokenGrant(TokenGrant {
            request_id: id,
            team,
            rate: "2".parse().unwrap(),
            burst: "2".parse().unwrap(),
            minters: 3,
            batches: vec![TokenBatch {
                amount: "1".parse().unwrap(),
                first_left_micros: 1_000_000,
                last_left_micros: 2_000_000,
            }],
        }),
        PeerMessage::OwnerHandover(OwnerHandover {
            host,
            incarnation: HostIncarnation::new(1_007),
            successor: HostId::new("entry-0").unwrap(),
            echo: echo(),
            is_renewal: false,
            targets: vec![TargetId::new("rate-0").unwrap()],
        }),
    ]
}

/// Replaces up to three bytes after the version, and occasionally truncates, repeats or inserts some.
fn mutate(mut bytes: Vec<u8>, source: &mut Gen) -> Vec<u8> {
    for _ in 0..=u8::arbitrary(source) % 3 {
        let at = 1 + usize::arbitrary(source) % bytes.len().max(1);
        match u8::arbitrary(source) % 16 {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes.extend_from_within(at..),
            2 if at < bytes.len() => bytes.insert(at, u8::arbitrary(source)),
            _ if at < bytes.len() => bytes[at] = u8::arbitrary(source),
            _ => {}
        }
    }
    bytes
}

/// Guards against a message that makes its receiver panic, hang or stop serving: each mutated message
/// must be answered, and a lookup must succeed afterwards.
#[test]
fn mutated_messages_are_answered() {
    run(FleetPlan::new(1, 1), async |session| {
        let mut source = Gen::from_size_and_seed(16, SEED);
        let mut sender = connect(session.hosts[0].peer_address()).await;
        let (mut accepted, mut refused) = (0, 0);
        for message in messages() {
            let bytes = PeerCodec::new()
                .encode(&message, FormatVersion::V2)
                .unwrap();
            for _ in 0..MUTATIONS {
                let (status, answer) = post(&mut sender, mutate(bytes.clone(), &mut source)).await;
                assert!(PeerCodec::new().decode(&answer).is_ok(), "{message:?}");
                match status {
                    StatusCode::OK => accepted += 1,
                    StatusCode::BAD_REQUEST => refused += 1,
                    status => panic!("{status} for {message:?}"),
                }
            }
        }
        assert!(
            accepted > 100 && refused > 100,
            "accepted={accepted} refused={refused}"
        );
        // Membership entries that the mutated messages created must expire first.
        session.advance(Duration::from_secs(8)).await;
        assert_serves(session).await;
    });
}

/// Guards against a message of a later release that is misread: it must be refused in the first
/// version, with the highest version that this host supports, and the connection must stay usable.
#[test]
fn unknown_version_is_refused_with_the_highest_supported_one() {
    run(FleetPlan::new(1, 1), async |session| {
        let mut sender = connect(session.hosts[0].peer_address()).await;
        let mut bytes = PeerCodec::new()
            .encode(&messages()[1], FormatVersion::V2)
            .unwrap();
        for version in [0, 6, 255] {
            bytes[0] = version;
            let (status, answer) = post(&mut sender, bytes.clone()).await;
            assert_eq!(status, StatusCode::BAD_REQUEST);
            let refusal = PeerMessage::Refused(RefusalReason::UnknownVersion(5));
            let answer = PeerCodec::new().decode(&answer).unwrap();
            assert_eq!(answer, (FormatVersion::V1, refusal));
        }
        for version in [2, 3, 4, 5] {
            bytes[0] = version;
            assert_eq!(post(&mut sender, bytes.clone()).await.0, StatusCode::OK);
        }
        assert_serves(session).await;
    });
}

/// Guards against a client that is not a peer and blocks the peer port: with bytes that are not
/// HTTP/2, malformed frames, an idle connection or an HTTP/1.1 request.
#[test]
fn invalid_input_at_peer_port_does_not_block_it() {
    run(FleetPlan::new(2, 1), async |session| {
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice();
        let oversized = [preface, &[0xff; 64]].concat();
        let headers_on_stream_0 = [preface, &[0, 0, 1, 1, 4, 0, 0, 0, 0, 0x82]].concat();
        let inputs = [
            b"GET /rates HTTP/1.1\r\nHost: gateway\r\n\r\n".to_vec(),
            vec![0x16, 3, 1, 0, 0xff, 1, 0, 0],
            vec![0; 4096],
            oversized,
            headers_on_stream_0,
        ];
        let idle = TcpStream::connect(session.hosts[0].peer_address()).await;
        for input in inputs {
            let mut stream = TcpStream::connect(session.hosts[0].peer_address())
                .await
                .unwrap();
            stream.write_all(&input).await.unwrap();
            let mut answer = Vec::new();
            // Both a reset and a close are correct; a connection that stays open hangs the test.
            let _ = stream.read_to_end(&mut answer).await;
        }
        assert_serves(session).await;
        drop(idle);
    });
}

/// Starts a peer that supports only the message version of the previous release.
async fn start_v1_peer(id: HostId) -> (HostListing, watch::Sender<bool>) {
    let server = PeerServer::new("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let codec = PeerCodec::with_highest(FormatVersion::V1);
    let server = server.with_codec(codec);
    let listing = HostListing {
        id: id.clone(),
        zone: ZoneId::new("muscat-1").unwrap(),
        address: server.address().unwrap(),
        is_leaving: false,
    };
    let stop = watch::Sender::new(false);
    let on_message = move |message| {
        let host = id.clone();
        async move {
            let PeerMessage::Heartbeat(heartbeat) = message else {
                return PeerMessage::Accepted;
            };
            PeerMessage::HeartbeatAck(HeartbeatAck {
                host,
                incarnation: HostIncarnation::new(1_007),
                echo: SequenceEcho {
                    incarnation: heartbeat.incarnation,
                    sequence: heartbeat.sequence,
                },
            })
        }
    };
    let on_forward = |head: ForwardHead, _| async move {
        let text = format!("old host serves {}\n", head.target);
        Response::new(Full::new(Bytes::from(text)))
    };
    tokio::spawn(server.serve(on_message, on_forward, stop.subscribe()));
    (listing, stop)
}

/// Guards against an upgrade that interrupts the service: a host must exchange messages in both
/// directions with a peer that supports only the first version, and reach the targets of that peer.
#[test]
fn fleet_with_two_message_versions_serves() {
    let id = HostId::new("entry-7").unwrap();
    run(FleetPlan::new(1, 4), async |session| {
        let (listing, _stop) = start_v1_peer(id.clone()).await;
        session.list_hosts(vec![listing.clone()]);
        let client = PeerClient::with_codec(PeerCodec::with_highest(FormatVersion::V1));
        for sequence in 1..=24 {
            let message = PeerMessage::Heartbeat(heartbeat(&id, listing.address, sequence));
            let deadline = Instant::now() + Duration::from_secs(1);
            let address = session.hosts[0].peer_address();
            let answer = client.call(address, message, deadline).await.unwrap();
            let is_acknowledged = matches!(
                answer,
                PeerMessage::HeartbeatAck(_) | PeerMessage::Heartbeat(_)
            );
            assert!(is_acknowledged, "{answer:?}");
            session.advance(Duration::from_millis(500)).await;
        }
        assert!(
            session.hosts[0].state().owned().iter().count() < 4,
            "the peer owns no target"
        );
        let (mut own, mut old) = (0, 0);
        for _ in 0..12 {
            let answer = session.call_and_wait(0, LOOKUP).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            match answer.contains("old host serves") {
                true => old += 1,
                false => own += 1,
            }
        }
        assert!(own > 0 && old > 0, "own={own} old={old}");
    });
}
