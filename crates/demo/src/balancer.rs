//! Sends callers to the hosts that say that they are ready, as the platform's balancer does.

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

/// Time between two looks at the hosts.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Parts of the reasons of targets that are out without an ejection.
const BOOKED_REASONS: [&str; 2] = ["by a booking", "not listed"];
/// Longest time that a host may take to say that it is ready.
const CHECK_MAX: Duration = Duration::from_millis(500);

/// A host as the balancer sees it.
#[derive(Debug)]
pub struct BalancedHost {
    /// Name of the host.
    pub id: HostId,
    /// Address for callers.
    pub address: SocketAddr,
    admin: SocketAddr,
    is_ready: AtomicBool,
}

/// The balancer: the hosts, and the targets that they reported as ejected.
#[derive(Debug)]
pub struct DemoBalancer {
    hosts: Vec<Arc<BalancedHost>>,
    ejected: Mutex<BTreeSet<SmolStr>>,
}

impl DemoBalancer {
    /// Makes a balancer before running hosts.
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

    /// Chooses a ready host by a random number.
    pub fn choose(&self, random: u64) -> Option<Arc<BalancedHost>> {
        let is_ready = |host: &&Arc<BalancedHost>| host.is_ready.load(Ordering::Relaxed);
        let ready: Vec<_> = self.hosts.iter().filter(is_ready).collect();
        let count = u64::try_from(ready.len()).ok().filter(|count| *count > 0)?;
        let at = usize::try_from(random % count).ok()?;
        ready.get(at).map(|host| Arc::clone(host))
    }

    /// Returns the targets that some host reported as out for another reason than a booking.
    pub fn ejected(&self) -> BTreeSet<SmolStr> {
        let ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
        ejected.clone()
    }

    /// Looks at the hosts until the task is dropped.
    pub async fn watch(self: Arc<Self>) {
        loop {
            for host in &self.hosts {
                let ready = tokio::time::timeout(CHECK_MAX, get(host.admin, "/readyz")).await;
                let is_ready = matches!(ready, Ok(Some((200, _))));
                host.is_ready.store(is_ready, Ordering::Relaxed);
                let status = tokio::time::timeout(CHECK_MAX, get(host.admin, "/status")).await;
                if let Ok(Some((200, body))) = status {
                    let found = ejected_in(&body);
                    let mut ejected = self.ejected.lock().unwrap_or_else(PoisonError::into_inner);
                    ejected.extend(found);
                }
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}

/// Returns the targets that a status shows as ejected: out, but neither by a booking nor unlisted.
fn ejected_in(body: &[u8]) -> Vec<SmolStr> {
    let Ok(status) = serde_json::from_slice::<serde_json::Value>(body) else {
        return Vec::new();
    };
    let targets = status["targets"].as_array().map(Vec::as_slice);
    let ejected = targets.unwrap_or_default().iter().filter(|target| {
        let reason = target["reason"].as_str().unwrap_or_default();
        let is_booked = BOOKED_REASONS.iter().any(|booked| reason.contains(booked));
        target["in"] == false && !is_booked
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
