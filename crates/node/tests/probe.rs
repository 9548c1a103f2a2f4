//! Probes of targets whose answers have no end.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_node::{
    prelude::*,
    probe::probe, //
};
use chicorycroft_placement::prelude::*;
use chicorycroft_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::Instant, //
};

/// Bytes of an answer that a probe may read: far more than a health answer has.
const READ_BYTES_MAX: usize = 8 << 20;

async fn start_host(platform: &StandinPlatform) -> EntryHost {
    let settings = "{host: entry-1, zone: muscat-1, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}";
    let settings = HostSettings::new(settings).unwrap();
    let clock = HostClock::new(UnixTime::from_millis(0));
    EntryHost::start(settings, platform.client(), clock)
        .await
        .unwrap()
}

/// Guards against a host that runs out of memory because a target answers its probes with a body without end.
#[tokio::test]
async fn probe_gives_up_an_answer_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        let block = [b'x'; 64 << 10];
        while stream.write_all(&block).await.is_ok() {
            count.fetch_add(block.len(), Ordering::Relaxed);
        }
    });
    let platform = StandinPlatform::new();
    let host = start_host(&platform).await;
    let target = TargetRecord {
        id: TargetId::new("rate-1").unwrap(),
        service: ServiceId::new("rate").unwrap(),
        zone: ZoneId::new("muscat-1").unwrap(),
        address,
    };
    let (start, limit) = (Instant::now(), Duration::from_secs(2));
    let outcome = probe(host.state(), &target, limit).await;
    assert_eq!(outcome, AttemptOutcome::Cut);
    assert!(start.elapsed() < limit / 2);
    let written = written.load(Ordering::Relaxed);
    assert!(written < READ_BYTES_MAX, "{written} bytes were read");
}
