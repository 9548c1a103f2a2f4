//! A gateway process with a stand-in store and targets, and a client for it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::{
    prelude::*,
    target::FORGED_TEAM, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Longest time that a test waits for an expected state or response.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which callers wait unless a test says otherwise.
const DEADLINE: Duration = Duration::from_secs(3);

/// A gateway process with a store and the targets of one service.
pub(crate) struct TestGateway {
    pub(crate) store: StoreStandIn,
    pub(crate) targets: Vec<TargetStandIn>,
    pub(crate) host: GatewayHost,
}

/// A response as read by a caller.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Returns the settings of a host on free ports and without seeds.
pub(crate) fn host_settings(host: &str, store: SocketAddr) -> GatewaySettings {
    let free: SocketAddr = "127.0.0.1:0".parse().unwrap();
    GatewaySettings {
        host: HostId::external(host).unwrap(),
        zone: ZoneId::new("a").unwrap(),
        zone_count: 1,
        seeds: Vec::new(),
        caller_listen: free,
        ready_listen: free,
        peer_listen: free,
        peer_address: free,
        store,
        stop_limit: Duration::from_secs(6),
        revoke_bound: Duration::from_secs(5),
        change_bound: Duration::from_secs(2),
        heartbeat: Duration::from_millis(1500),
        retry_ratio: CapacityRatio::from_mille(200),
        retry_slack: 56,
        memory_limit: MemoryLimit::new(256),
        link_rate: LinkRate::new(10_000),
    }
}

/// Returns the number of targets to which a host may send new requests.
pub(crate) fn open_count(host: &GatewayHost) -> usize {
    let directory = host.state().store_cache.directory();
    let service = ServiceId::new("rate").unwrap();
    directory.open_targets(&service).count()
}

/// Returns the version of the configuration in force on a host, or 0 before the first one.
pub(crate) fn version(host: &GatewayHost) -> u64 {
    let index = host.state().store_cache.index();
    index.map_or(0, |index| index.config().version().get())
}

/// Waits until a state is reached, and panics after `limit`.
pub(crate) async fn wait_until(limit: Duration, has_state: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !has_state() {
        assert!(
            Instant::now() < end,
            "the expected state was not reached within {limit:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a number of targets and registers them with the store.
pub(crate) async fn start_targets(store: &StoreStandIn, count: usize) -> Vec<TargetStandIn> {
    let mut targets = Vec::new();
    for number in 0..count {
        let target = TargetStandIn::start(&format!("t-{number}")).await.unwrap();
        store.put(&target.key(), &target.entry("rate", "a", "ready"));
        targets.push(target);
    }
    targets
}

impl TestGateway {
    /// Starts a gateway with a number of targets and waits until it is ready and lists all of them.
    pub(crate) async fn new(target_count: usize) -> Self {
        Self::with_revoke_bound(target_count, Duration::from_secs(5)).await
    }

    /// Starts a gateway with a bound on how long a withdrawn key may still work.
    pub(crate) async fn with_revoke_bound(target_count: usize, revoke_bound: Duration) -> Self {
        let store = StoreStandIn::start().await.unwrap();
        store.put_config(&config(1, &["key-1"]));
        let targets = start_targets(&store, target_count).await;
        let settings = GatewaySettings {
            revoke_bound,
            ..host_settings("edge-1", store.address())
        };
        let host = GatewayHost::start(settings, GatewayClock::new())
            .await
            .unwrap();
        let gateway = Self {
            store,
            targets,
            host,
        };
        gateway
            .wait_until(|host| {
                let directory = host.state().store_cache.directory();
                host.state().is_ready() && directory.targets.len() == target_count
            })
            .await;
        gateway
    }

    /// Starts another host of the same zone and waits until it follows this one and lists all targets.
    pub(crate) async fn start_follower(&self, host: &str) -> GatewayHost {
        let settings = GatewaySettings {
            seeds: vec![self.host.state().settings.peer_address],
            revoke_bound: self.host.state().settings.revoke_bound,
            ..host_settings(host, self.store.address())
        };
        let follower = GatewayHost::start(settings, GatewayClock::new())
            .await
            .unwrap();
        wait_until(WAIT_TIMEOUT, || {
            let is_following = follower.state().remote_dispatcher().is_some();
            is_following && open_count(&follower) == open_count(&self.host)
        })
        .await;
        follower
    }

    /// Waits until the gateway reaches a state, and panics after [`WAIT_TIMEOUT`].
    pub(crate) async fn wait_until(&self, has_state: impl Fn(&GatewayHost) -> bool) {
        wait_until(WAIT_TIMEOUT, || has_state(&self.host)).await;
    }

    /// Sends a request to the gateway and reads the response.
    pub(crate) async fn call(&self, line: &str, key: &str, body: &str) -> CallerAnswer {
        call(self.host.caller_address(), line, key, body).await
    }

    /// Returns all requests that the targets received.
    pub(crate) fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.targets
            .iter()
            .flat_map(TargetStandIn::requests)
            .collect()
    }
}

/// Sends a request over a new connection and reads the response.
pub(crate) async fn call(address: SocketAddr, line: &str, key: &str, body: &str) -> CallerAnswer {
    call_with_id(address, "id-1", line, key, body).await
}

/// Sends a request with an id over a new connection and reads the response.
pub(crate) async fn call_with_id(
    address: SocketAddr,
    id: &str,
    line: &str,
    key: &str,
    body: &str,
) -> CallerAnswer {
    send(address, (id, DEADLINE), line, key, body).await
}

/// Sends a request over a new connection and waits for the response for up to `deadline`.
pub(crate) async fn call_for(address: SocketAddr, line: &str, deadline: Duration) -> CallerAnswer {
    send(address, ("id-1", deadline), line, "key-1", "").await
}

async fn send(
    address: SocketAddr,
    (id, deadline): (&str, Duration),
    line: &str,
    key: &str,
    body: &str,
) -> CallerAnswer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let deadline = deadline.as_millis();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\nx-deadline-ms: {deadline}\r\n\
         authorization: Bearer {key}\r\n{FORGED_TEAM}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut text)).await;
    read.expect("no response in time").unwrap();
    let text = String::from_utf8(text).unwrap();
    let (head, body) = text
        .split_once("\r\n\r\n")
        .expect("incomplete response head");
    CallerAnswer {
        status: head[9..12].parse().unwrap(),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}
