//! A few hosts before scripted targets, and callers that write plain bytes.

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
        TargetAct,
        TargetScript,
        read_body,
        read_head, //
    },
    transcript, //
};

/// Key of the only team.
pub(crate) const KEY: &str = "k-lusail-1";

/// Time that a fleet gets for its first heartbeats, ownership and tokens.
const START_TIME: Duration = Duration::from_secs(8);

/// Time that passes at once; below the tick of the hosts.
const TIME_STEP: Duration = Duration::from_millis(20);

/// Real time that the system gets to move what was written between sockets of one process.
const SETTLE_TIME: Duration = Duration::from_micros(300);

/// Turns of the runtime, each with a look at the sockets, that end all work which is under way.
const SETTLE_TURNS: usize = 40;

/// Longest wait of a request for tokens of other hosts or for ownership.
const CALL_WAIT: Duration = Duration::from_millis(200);

/// Time in which a host takes a published version, also after one that it refused.
const PUBLISH_WAIT: Duration = Duration::from_secs(1);

/// What a session starts with: the zones of its hosts and targets.
pub(crate) struct FleetPlan {
    pub(crate) hosts: Vec<&'static str>,
    pub(crate) targets: Vec<&'static str>,
}

impl FleetPlan {
    /// Plans hosts and targets in one zone.
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
    // The start is also the seed of the host's choices.
    let clock = HostClock::new(UnixTime::from_millis(1_000 + at as u64));
    let host = EntryHost::start(settings, platform.client(), clock).await;
    host.unwrap()
}

impl Session {
    /// Starts a fleet, waits until every target has an owner, and begins to record.
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
        session.pass(START_TIME).await;
        transcript::open();
        session
    }

    /// Makes the platform list the running hosts, and peers that run elsewhere.
    pub(crate) fn list_hosts(&self, peers: Vec<HostListing>) {
        let own = self.hosts.iter().map(|host| HostListing {
            id: host.state().settings.host.clone(),
            zone: host.state().settings.zone.clone(),
            address: host.peer_address(),
            is_leaving: false,
        });
        self.platform.set_hosts(own.chain(peers).collect());
    }

    /// Lets time pass.
    pub(crate) async fn pass(&self, time: Duration) {
        for _ in 0..time.div_duration_f64(TIME_STEP).ceil() as usize {
            tokio::time::advance(TIME_STEP).await;
            self.settle().await;
        }
    }

    /// Lets what was written arrive, while the clock stands still.
    pub(crate) async fn settle(&self) {
        for _ in 0..SETTLE_TURNS {
            tokio::task::yield_now().await;
        }
        let wait = || std::thread::sleep(SETTLE_TIME);
        tokio::task::spawn_blocking(wait).await.unwrap();
        for _ in 0..SETTLE_TURNS {
            tokio::task::yield_now().await;
        }
    }

    /// Scripts the next request at any target.
    pub(crate) fn script(&self, act: TargetAct) {
        self.script.push(act);
    }

    /// Publishes the configuration with a change to its text.
    pub(crate) async fn publish(&self, version: u64, from: &str, to: &str) {
        assert!(self.document.contains(from), "{from}");
        let text = self.document.replace(from, to);
        transcript::note(&format!("operators publish version {version}"), to);
        self.platform.publish(version, &[("all", text)]);
        self.pass(PUBLISH_WAIT).await;
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

    /// Sends a request over a new connection and waits for its answer.
    pub(crate) async fn call(&self, host: usize, head: &str, body: &str) -> String {
        let mut caller = self.caller(host).await;
        caller.send(&request_of(head, body)).await;
        caller.answer().await
    }

    /// Sends a request over a new connection and lets time pass for its answer.
    pub(crate) async fn call_and_wait(&self, host: usize, head: &str) -> String {
        let mut caller = self.caller(host).await;
        caller.send(&request_of(head, "")).await;
        self.settle().await;
        self.pass(CALL_WAIT).await;
        caller.answer().await
    }

    /// Replaces the addresses of this run by names.
    pub(crate) fn masked(&self, text: String) -> String {
        let names = self.targets.iter().map(|target| {
            let port = target.address.port();
            (format!("127.0.0.1:{port}"), format!("[{}]", target.name))
        });
        names.fold(text, |text, (address, name)| text.replace(&address, &name))
    }
}

/// A caller's connection.
pub(crate) struct Caller {
    stream: BufStream<TcpStream>,
}

/// Makes a request from the lines of its head and its body.
pub(crate) fn request_of(head: &str, body: &str) -> String {
    let length = match body {
        "" => String::new(),
        body => format!("Content-Length: {}\n", body.len()),
    };
    let head = format!("{head}\nHost: gateway\n{length}\n");
    head.replace('\n', "\r\n") + body
}

impl Caller {
    /// Sends bytes as they are.
    pub(crate) async fn send(&mut self, text: &str) {
        transcript::note("caller sends", text);
        self.stream.write_all(text.as_bytes()).await.unwrap();
        self.stream.flush().await.unwrap();
    }

    /// Reads an answer; its date is masked.
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
