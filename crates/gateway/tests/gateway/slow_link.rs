//! A TCP relay whose answers share a link of a limited rate.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt,
        copy, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::Mutex,
    time::{
        Instant,
        sleep_until, //
    },
};

/// Bytes that take the link at once.
const PACKET_BYTES: usize = 1500;

/// Time by which a timer may fire late.
const TIMER_DELAY_MAX: Duration = Duration::from_millis(5);

/// The sending side of a link, which all connections share.
#[derive(Debug)]
struct SharedLink {
    bytes_per_second: u64,
    free_at: Mutex<Instant>,
}

impl SharedLink {
    /// Waits until a packet has passed the link.
    async fn pass(&self, length: usize) {
        let mut free_at = self.free_at.lock().await;
        let time = Duration::from_secs(1) * u32::try_from(length).unwrap();
        let time = time / u32::try_from(self.bytes_per_second).unwrap();
        // Timers fire late by up to a millisecond, which must not lower the rate.
        let idle_since = Instant::now() - TIMER_DELAY_MAX;
        *free_at = idle_since.max(*free_at) + time;
        sleep_until(*free_at).await;
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut packet = [0; PACKET_BYTES];
        while let Ok(length @ 1..) = from.read(&mut packet).await {
            self.pass(length).await;
            if to.write_all(&packet[..length]).await.is_err() {
                return;
            }
        }
    }
}

/// Starts a relay and returns its address. What `to` sends passes a link of a rate; what it receives is not delayed.
pub(crate) async fn start_slow_link(to: SocketAddr, bytes_per_second: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let link = Arc::new(SharedLink {
        bytes_per_second,
        free_at: Mutex::new(Instant::now()),
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(onward) = TcpStream::connect(to).await else {
                continue;
            };
            stream.set_nodelay(true).unwrap();
            onward.set_nodelay(true).unwrap();
            let (mut from_caller, to_caller) = stream.into_split();
            let (from_host, mut to_host) = onward.into_split();
            let link = link.clone();
            tokio::spawn(async move { link.copy(from_host, to_caller).await });
            tokio::spawn(async move {
                let _ = copy(&mut from_caller, &mut to_host).await;
            });
        }
    });
    address
}
