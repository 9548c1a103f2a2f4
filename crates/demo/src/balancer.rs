//! Distributes requests among the hosts that report themselves ready, as the platform's load balancer
//! does.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;

/// Pause between two polls of the hosts.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Substrings of the status reasons of targets that are out of use for another reason than ejection.
const NON_EJECTION_REASONS: [&str; 2] = ["by a booking", "not listed"];
/// Timeout of a readiness or status request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A host and its readiness.
#[derive(Debug)]
pub struct BalancedHost {
    /// Name of the host.
    pub id: HostId,
    /// Address for callers.
    pub address: SocketAddr,
    admin: SocketAddr,
    is_ready: AtomicBool,
}

/// A load balancer that polls the hosts and collects the targets that they report as ejected.
#[derive(Debug)]
pub struct DemoBalancer {
    hosts: Vec<Arc<BalancedHost>>,
    ejected: Mutex<BTreeSet<SmolStr>>,
}

impl DemoBalancer {
    /// Creates a balancer for running hosts, which are all assumed to be ready.
    pub fn new(hosts: &[EntryHost]) -> Self {
        let balanced = |host: &EntryHost| {
            Arc::new(BalancedHost {
                id: host.state().settings.host.clone(),
                address: host.caller_address(),
                admin: host.admin_address(),
                is_ready: AtomicBool::new(true),
            })
        };
        Self {
            hosts: hosts.iter().map(balanced).collect(),
            ejected: Mutex::default(),
        }
    }

    /// Chooses a ready host by a random number. Returns `None` if no host is ready.
    pub fn choose(&self, random: u64) -> Option<Arc<BalancedHost>> {
        let is_ready = |host: &&Arc<BalancedHost>| host.is_ready.load(Ordering::Relaxed);
        let ready: Vec<_> = self.hosts.iter().filter(is_ready).collect();
        let count = u64::try_from(ready.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        ready.get(index).map(|host| Arc::clone(host))
    }

    /// Returns the targets that any host has reported as ejected.
    pub fn ejected(&self) -> BTreeSet<SmolStr> {
        let ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        ejected.clone()
    }

    /// Polls the readiness and status of the hosts until the future is dropped.
    pub async fn poll_hosts(self: Arc<Self>) {
        loop {
            for host in &self.hosts {
                let ready = tokio::time::timeout(CHECK_TIMEOUT, get(host.admin, "/readyz")).await;
                let is_ready = matches!(ready, Ok(Some((200, _))));
                host.is_ready.store(is_ready, Ordering::Relaxed);
                let status = tokio::time::timeout(CHECK_TIMEOUT, get(host.admin, "/status")).await;
                if let Ok(Some((200, body))) = status {
                    let found = parse_ejected(&body);
                    let mut ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
                    ejected.extend(found);
                }
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}

/// Returns the targets that a status document shows as ejected, which are those out of use for another
/// reason than a booking or a missing entry.
fn parse_ejected(body: &[u8]) -> Vec<SmolStr> {
    let Ok(status) = serde_json::from_slice::<serde_json::Value>(body) else {
        return Vec::new();
    };
    let targets = status["targets"].as_array().map(Vec::as_slice);
    let ejected = targets.unwrap_or_default().iter().filter(|target| {
        let reason = target["reason"].as_str().unwrap_or_default();
        let has_other_reason = NON_EJECTION_REASONS
            .iter()
            .any(|other| reason.contains(other));
        target["in"] == false && !has_other_reason
    });
    ejected
        .filter_map(|target| target["id"].as_str())
        .map(SmolStr::new)
        .collect()
}

async fn get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    connection.abort();
    Some((status, body))
}
