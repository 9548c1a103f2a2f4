//! A few hosts, stand-in targets and a stand-in platform in one process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::Instant, //
};

/// Key of the only team.
pub(crate) const KEY: &str = "k-lusail-1";

/// Hosts in one zone before targets of one service.
pub(crate) struct TestFleet {
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) targets: Vec<StandinTarget>,
}

fn document(targets: &[SocketAddr], hosts: usize, limit: &str) -> String {
    let digest = KeyDigest::of_key(KEY.as_bytes());
    let targets: String = targets
        .iter()
        .enumerate()
        .map(|(at, address)| {
            format!("  - {{id: rate-{at}, service: rate, zone: muscat-1, address: '{address}'}}\n")
        })
        .collect();
    format!(
        "zones: [{{id: muscat-1, region: muscat}}]
services: [{{id: rate, floor: 0.5, warm_up_answers: 1}}]
targets:
{targets}teams: [{{id: lusail, key_digests: ['{digest}'], {limit}}}]
routes: [{{id: lookups, prefix: /rates, service: rate}}]
rules: {{host_bound: {hosts}}}
"
    )
}

async fn start_host(platform: &StandinPlatform, at: usize) -> EntryHost {
    let settings = format!(
        "{{host: entry-{at}, zone: muscat-1, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}}"
    );
    let settings = HostSettings::new(&settings).unwrap();
    let clock = HostClock::with_system_time();
    EntryHost::start(settings, platform.client(), clock)
        .await
        .unwrap()
}

impl TestFleet {
    /// Starts hosts and targets, and waits until each target has an owner.
    pub(crate) async fn start(host_count: usize, target_count: usize, limit: &str) -> Self {
        let mut targets = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..target_count {
            let target = StandinTarget::new(2, Duration::from_millis(1));
            addresses.push(target.spawn().await.unwrap());
            targets.push(target);
        }
        let platform = StandinPlatform::new();
        platform.publish(1, &[("all", document(&addresses, host_count, limit))]);
        let mut hosts = Vec::new();
        for at in 0..host_count {
            hosts.push(start_host(&platform, at).await);
        }
        let listing = |host: &EntryHost| HostListing {
            id: host.state().settings.host.clone(),
            zone: host.state().settings.zone.clone(),
            address: host.peer_address(),
            is_leaving: false,
        };
        platform.set_hosts(hosts.iter().map(listing).collect());
        let fleet = Self { hosts, targets };
        fleet.wait_for_owners().await;
        fleet
    }

    async fn wait_for_owners(&self) {
        let limit = Instant::now() + Duration::from_secs(20);
        let count = |host: &EntryHost| host.state().owned().iter().count();
        while self.hosts.iter().map(count).sum::<usize>() < self.targets.len() {
            assert!(Instant::now() < limit, "not every target has an owner");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a lookup to a host and returns the whole answer.
    pub(crate) async fn get(&self, host: usize, path: &str) -> String {
        let address = self.hosts[host].caller_address();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: gateway\r\nX-Api-Key: {KEY}\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    }

    /// Stops all hosts.
    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.crash().await;
        }
    }
}
