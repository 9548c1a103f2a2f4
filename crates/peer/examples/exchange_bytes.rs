//! Measures the bytes that heartbeats and their answers take on a TCP connection.
//!
//! `cargo run --release -p chicorycroft-peer --example exchange_bytes` prints one line for each size of
//! heartbeat. TCP and IP headers are not counted. `answer=full` means that the answer is itself a heartbeat, and
//! `config=1` that the heartbeat contains the configuration version in force.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_peer::prelude::*;
use http::Response;
use http_body_util::Empty;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::watch,
    time::Instant,
};

type ExampleError = Box<dyn Error + Send + Sync>;

/// Exchanges per measurement. With this number the bytes for establishing the connection are negligible.
const EXCHANGES: u64 = 1000;

/// Number of reports in a heartbeat.
#[derive(Clone, Copy)]
struct HeartbeatSize {
    targets: usize,
    services: usize,
    contacts: usize,
    has_config: bool,
}

fn heartbeat(size: HeartbeatSize) -> Result<Heartbeat, ExampleError> {
    let HeartbeatSize {
        targets,
        services,
        contacts,
        has_config,
    } = size;
    let host = |number: usize| HostId::new(&format!("entry-{number:04}"));
    let mut message = Heartbeat {
        host: host(1)?,
        incarnation: HostIncarnation::new(1_796_382_000_000),
        zone: ZoneId::new("muscat-a")?,
        address: "192.0.2.1:7443".parse()?,
        sequence: 100_000,
        echo: Some(SequenceEcho {
            incarnation: HostIncarnation::new(1_796_382_000_001),
            sequence: 100_001,
        }),
        config: has_config.then(|| ConfigSummary {
            version: ConfigVersion::new(4711),
            digest: DocumentDigest::of_document(b"index"),
        }),
        is_platform_recent: true,
        is_leaving: false,
        targets: Vec::new(),
        baselines: Vec::new(),
        recent_contacts: Vec::new(),
    };
    for number in 0..targets {
        message.targets.push(TargetLoad {
            target: TargetId::new(&format!("rate-{number:02}"))?,
            in_flight: 2,
            limit: 2,
            is_suspect: false,
        });
    }
    for number in 0..services {
        message.baselines.push(ServiceBaseline {
            service: ServiceId::new(&format!("service-{number}"))?,
            attempts: 303,
            failures: 3,
            sheds: 0,
            latencies: [(11, 1), (12, 20), (13, 200), (14, 70), (15, 9)]
                .map(|(bucket, count)| BucketCount { bucket, count })
                .to_vec(),
        });
    }
    for number in 0..contacts {
        message.recent_contacts.push(RecentContact {
            host: HostHash::of_host(&host(number)?),
            age_tenths: 5,
        });
    }
    Ok(message)
}

/// Copies bytes from one connection to another and counts them.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    count: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        count.fetch_add(length, Ordering::Relaxed);
        to.write_all(&buffer[..length]).await?;
    }
}

/// Starts a relay in front of `server`, and returns its address and the byte counts of both directions.
async fn start_counting_relay(
    server: SocketAddr,
) -> Result<(SocketAddr, [Arc<AtomicUsize>; 2]), ExampleError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let counts = [Arc::default(), Arc::default()];
    let [sent, answered] = counts.clone();
    tokio::spawn(async move {
        let (client, _) = listener.accept().await?;
        let server = TcpStream::connect(server).await?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(relay(client_read, server_write, sent));
        relay(server_read, client_write, answered).await
    });
    Ok((address, counts))
}

async fn measure(size: HeartbeatSize, is_full: bool) -> Result<(), ExampleError> {
    let message = heartbeat(size)?;
    let ack = HeartbeatAck {
        host: message.host.clone(),
        incarnation: message.incarnation,
        echo: SequenceEcho {
            incarnation: message.incarnation,
            sequence: message.sequence,
        },
    };
    let answer = match is_full {
        true => PeerMessage::Heartbeat(message.clone()),
        false => PeerMessage::HeartbeatAck(ack),
    };
    let server = PeerServer::new("127.0.0.1:0".parse()?).await?;
    let (address, counts) = start_counting_relay(server.address()?).await?;
    let (_stop, stopped) = watch::channel(false);
    let on_message = move |_| {
        let answer = answer.clone();
        async move { answer }
    };
    let on_forward = async |_: ForwardHead, _| Response::new(Empty::new());
    tokio::spawn(server.serve(
        on_message,
        move |head, request| Box::pin(on_forward(head, request)),
        stopped,
    ));
    let client = PeerClient::new();
    for _ in 0..EXCHANGES {
        let deadline = Instant::now() + Duration::from_secs(5);
        let message = PeerMessage::Heartbeat(message.clone());
        client.call(address, message, deadline).await?;
    }
    let codec = PeerCodec::new();
    let length = codec
        .encode(&PeerMessage::Heartbeat(message), codec.highest())?
        .len();
    let [sent, answered] = counts.map(|count| count.load(Ordering::Relaxed) as f64);
    let exchanges = EXCHANGES as f64;
    let HeartbeatSize {
        targets,
        services,
        contacts,
        has_config,
    } = size;
    println!(
        "targets={targets} services={services} heard={contacts} config={} answer={} \
         message_bytes={length} sent_bytes={:.1} answer_bytes={:.1}",
        u8::from(has_config),
        if is_full { "full" } else { "ack" },
        sent / exchanges,
        answered / exchanges,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), ExampleError> {
    for (targets, services, contacts) in [
        (0, 0, 2),
        (0, 0, 8),
        (1, 2, 15),
        (2, 0, 15),
        (2, 2, 15),
        (20, 2, 15),
        (10, 5, 8),
    ] {
        for (has_config, is_full) in [(true, false), (false, false), (false, true)] {
            let size = HeartbeatSize {
                targets,
                services,
                contacts,
                has_config,
            };
            measure(size, is_full).await?;
        }
    }
    Ok(())
}
