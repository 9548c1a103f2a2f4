//! A small fleet with scripted targets, and callers that write raw bytes.

use std::time::Duration;

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_standin::prelude::*;
use tokio::{
    io::{
        AsyncWriteExt,
        BufStream, //
    },
    net::TcpStream,
};

use crate::{
    target::{
        ScriptedTarget,
        TargetBehaviour,
        TargetScript,
        read_body,
        read_head, //
    },
    transcript, //
};

/// Key of the only team.
pub(crate) const KEY: &str = "k-lusail-1";

/// Time in which a fleet exchanges its first heartbeats and obtains ownership and tokens.
const START_TIME: Duration = Duration::from_secs(8);

/// Step by which the clock advances. It is shorter than the tick of the hosts.
const TIME_STEP: Duration = Duration::from_millis(20);

/// Real time in which the system transfers written bytes between sockets of one process.
const SETTLE_TIME: Duration = Duration::from_micros(300);

/// Number of runtime iterations, each of which polls the sockets, that complete all pending work.
const SETTLE_YIELDS: usize = 40;

/// Longest time that a request waits for tokens of other hosts or for an owner.
const CALL_WAIT: Duration = Duration::from_millis(200);

/// Time in which a host adopts a published version, even after it refused one.
const PUBLISH_WAIT: Duration = Duration::from_secs(1);

/// Layout of a session's fleet: the zones of its hosts and targets.
pub(crate) struct FleetPlan {
    pub(crate) hosts: Vec<&'static str>,
    pub(crate) targets: Vec<&'static str>,
}

impl FleetPlan {
    /// Creates a layout with all hosts and targets in one zone.
    pub(crate) fn new(host_count: usize, target_count: usize) -> Self {
        Self {
            hosts: vec!["muscat-1"; host_count],
            targets: vec!["muscat-1"; target_count],
        }
    }
}

/// A running session.
pub(crate) struct Session {
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) targets: Vec<ScriptedTarget>,
    pub(crate) platform: StandinPlatform,
    script: TargetScript,
    document: String,
}

fn document(targets: &[ScriptedTarget], zones: &[&str], host_count: usize) -> String {
    let digest = KeyDigest::of_key(KEY.as_bytes());
    let targets = targets.iter().zip(zones).map(|(target, zone)| {
        let (name, address) = (&target.name, target.address);
        format!("  - {{id: {name}, service: rate, zone: {zone}, address: '{address}'}}\n")
    });
    let targets: String = targets.collect();
    format!(
        "zones: [{{id: muscat-1, region: muscat}}, {{id: muscat-2, region: muscat}}]
services: [{{id: rate, floor: 0.5, warm_up_answers: 1, deadline_ms: 2000}}]
targets:
{targets}teams: [{{id: lusail, key_digests: ['{digest}'], rate: 2, burst: 2}}]
routes:
  - {{id: lookups, prefix: /rates, service: rate}}
  - {{id: notices, prefix: /notices, service: rate, access: open}}
rules: {{host_bound: {host_count}, bookings: []}}
"
    )
}

async fn start_host(platform: &StandinPlatform, at: usize, zone: &str) -> EntryHost {
    let settings = format!(
        "{{host: entry-{at}, zone: {zone}, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}}"
    );
    let settings = HostSettings::new(&settings).unwrap();
    // The start time is also the seed of the host's random choices.
    let clock = HostClock::new(UnixTime::from_millis(1_000 + at as u64));
    let host = EntryHost::start(settings, platform.client(), clock).await;
    host.unwrap()
}

impl Session {
    /// Starts a fleet, waits until every target has an owner, and starts to record.
    pub(crate) async fn start(plan: FleetPlan) -> Self {
        let script = TargetScript::default();
        let mut targets = Vec::new();
        for at in 0..plan.targets.len() {
            let target = ScriptedTarget::start(format!("rate-{at}"), script.clone());
            targets.push(target.await);
        }
        let document = document(&targets, &plan.targets, plan.hosts.len());
        let platform = StandinPlatform::new();
        platform.publish(1, &[("all", document.clone())]);
        let mut hosts = Vec::new();
        for (at, zone) in plan.hosts.iter().enumerate() {
            hosts.push(start_host(&platform, at, zone).await);
        }
        let session = Self {
            hosts,
            targets,
            platform,
            script,
            document,
        };
        session.list_hosts(Vec::new());
        session.advance(START_TIME).await;
        transcript::open();
        session
    }

    /// Lists the running hosts and additional peers on the platform.
    pub(crate) fn list_hosts(&self, peers: Vec<HostListing>) {
        let own = self.hosts.iter().map(|host| HostListing {
            id: host.state().settings.host.clone(),
            zone: host.state().settings.zone.clone(),
            address: host.peer_address(),
            is_leaving: false,
        });
        self.platform.set_hosts(own.chain(peers).collect());
    }

    /// Advances the clock in steps.
    pub(crate) async fn advance(&self, time: Duration) {
        for _ in 0..time.div_duration_f64(TIME_STEP).ceil() as usize {
            tokio::time::advance(TIME_STEP).await;
            self.settle().await;
        }
    }

    /// Lets written bytes arrive and pending tasks run, while the clock is paused.
    pub(crate) async fn settle(&self) {
        for _ in 0..SETTLE_YIELDS {
            tokio::task::yield_now().await;
        }
        let wait = || std::thread::sleep(SETTLE_TIME);
        tokio::task::spawn_blocking(wait).await.unwrap();
        for _ in 0..SETTLE_YIELDS {
            tokio::task::yield_now().await;
        }
    }

    /// Sets the behaviour for the next request at any target.
    pub(crate) fn script(&self, behaviour: TargetBehaviour) {
        self.script.push(behaviour);
    }

    /// Publishes the configuration with `from` replaced by `to`.
    pub(crate) async fn publish(&self, version: u64, from: &str, to: &str) {
        assert!(self.document.contains(from), "{from}");
        let text = self.document.replace(from, to);
        transcript::note(&format!("operators publish version {version}"), to);
        self.platform.publish(version, &[("all", text)]);
        self.advance(PUBLISH_WAIT).await;
    }

    /// Connects a caller to a host.
    pub(crate) async fn caller(&self, host: usize) -> Caller {
        let address = self.hosts[host].caller_address();
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Caller {
            stream: BufStream::new(stream),
        }
    }

    /// Sends a request over a new connection and waits for its response.
    pub(crate) async fn call(&self, host: usize, head: &str, body: &str) -> String {
        let mut caller = self.caller(host).await;
        caller.send(&request_of(head, body)).await;
        caller.answer().await
    }

    /// Sends a request over a new connection, advances the clock, and waits for its response.
    pub(crate) async fn call_and_wait(&self, host: usize, head: &str) -> String {
        let mut caller = self.caller(host).await;
        caller.send(&request_of(head, "")).await;
        self.settle().await;
        self.advance(CALL_WAIT).await;
        caller.answer().await
    }

    /// Replaces the addresses of the targets with their names.
    pub(crate) fn masked(&self, text: String) -> String {
        let names = self.targets.iter().map(|target| {
            let port = target.address.port();
            (format!("127.0.0.1:{port}"), format!("[{}]", target.name))
        });
        names.fold(text, |text, (address, name)| text.replace(&address, &name))
    }
}

/// Connection of a caller.
pub(crate) struct Caller {
    stream: BufStream<TcpStream>,
}

/// Builds a request from the lines of its head and its body.
pub(crate) fn request_of(head: &str, body: &str) -> String {
    let length = match body {
        "" => String::new(),
        body => format!("Content-Length: {}\n", body.len()),
    };
    let head = format!("{head}\nHost: gateway\n{length}\n");
    head.replace('\n', "\r\n") + body
}

impl Caller {
    /// Sends text without any changes.
    pub(crate) async fn send(&mut self, text: &str) {
        transcript::note("caller sends", text);
        self.stream.write_all(text.as_bytes()).await.unwrap();
        self.stream.flush().await.unwrap();
    }

    /// Reads a response and masks its date.
    pub(crate) async fn answer(&mut self) -> String {
        let head = read_head(&mut self.stream).await.unwrap_or_default();
        let body = read_body(&mut self.stream, &head).await;
        let body = body.map_or("[cut]".into(), |body| String::from_utf8(body).unwrap());
        let is_date = |line: &str| line.starts_with("date: ");
        let lines = head.lines().map(|line| match is_date(line) {
            true => "date: [date]\n".to_owned(),
            false => format!("{line}\n"),
        });
        let answer = lines.collect::<String>() + &body;
        transcript::note("caller gets", &answer);
        answer
    }
}
