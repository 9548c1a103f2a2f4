//! The processes, relays, store and targets of a run.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use chicorycroft_adapter::headers::READY_PATH;
use chicorycroft_platform_standin::prelude::*;
use eyre::{
    Result,
    WrapErr,
    eyre, //
};
use rustix::process::Signal;
use serde_json::Value;
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

use crate::{
    plan::{
        HostIndex,
        LinkKind,
        TargetIndex, //
    },
    process::{
        GatewayProcess,
        ProcessFiles, //
    },
    relay::FaultRelay,
};

/// Time from the request to stop until the kill; the platform's `graceS`.
pub const GRACE_TIME: Duration = Duration::from_secs(6);

/// Time in which a fleet must become ready: well above the second that it takes, for a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time in which a host answers the readiness question.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// Time between questions.
const ASK_PERIOD: Duration = Duration::from_millis(100);

/// Hosts whose addresses are given to all as seeds.
const SEED_COUNT: usize = 3;

/// Ports of a host for callers, readiness and other hosts.
const PORTS: [u16; 3] = [8405, 8406, 8407];

/// Zones of the fleet.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A host with its links.
#[derive(Debug)]
pub struct SoakHost {
    files: ProcessFiles,
    settings: SettingsStandIn,
    /// From callers.
    pub callers: FaultRelay,
    /// From other hosts.
    pub peers: FaultRelay,
    /// To the store.
    pub store: FaultRelay,
    /// The process; none while the host is down.
    pub process: Option<GatewayProcess>,
}

/// A target with the relay in front of it.
#[derive(Debug)]
pub struct SoakTarget {
    /// The stand-in.
    pub target: TargetStandIn,
    /// From all hosts.
    pub link: FaultRelay,
    zone: &'static str,
}

impl SoakTarget {
    /// Writes its entry to the store.
    pub fn list(&self, store: &StoreStandIn) {
        let address = self.link.address();
        let entry = self.target.entry_at(address, "rate", self.zone, "ready");
        store.put(&self.target.key(), &entry);
    }
}

/// A whole fleet with its surroundings.
#[derive(Debug)]
pub struct SoakFleet {
    /// The store.
    pub store: StoreStandIn,
    /// The hosts.
    pub hosts: Vec<SoakHost>,
    /// The targets.
    pub targets: Vec<SoakTarget>,
}

/// Returns the addresses of a host. Loopback has many addresses, and ports below those that the system gives
/// out, so that neither another run nor an outgoing connection takes one.
fn addresses_of(host: HostIndex) -> [SocketAddr; 3] {
    let [_, _, run_high, run_low] = std::process::id().to_be_bytes();
    let number = u8::try_from(host.0 + 1).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(127, run_high, run_low, number);
    PORTS.map(|port| SocketAddr::from((ip, port)))
}

impl SoakHost {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        let process = GatewayProcess::start(&self.files, &self.peers.address().to_string());
        self.process = Some(process.wrap_err("the gateway does not start")?);
        Ok(())
    }

    /// Sends a signal, if the process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process
            && let Err(error) = process.signal(signal)
        {
            println!("event=signal_failed signal={signal:?} error=\"{error}\"");
        }
    }

    /// Returns the address of the readiness question.
    pub fn ready_address(&self) -> SocketAddr {
        self.settings.ready
    }
}

/// Asks a host whether callers may come.
pub async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        let question = format!("GET {READY_PATH} HTTP/1.1\r\nhost: host\r\n\r\n");
        stream.write_all(question.as_bytes()).await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        Ok::<_, std::io::Error>(answer.ends_with(b"200"))
    };
    matches!(timeout(ASK_LIMIT, ask).await, Ok(Ok(true)))
}

impl SoakFleet {
    /// Starts all, and waits until the hosts are ready.
    ///
    /// # Errors
    ///
    /// Fails when a program does not start, or a host does not become ready.
    pub async fn start(
        program: &Path,
        dir: &Path,
        (host_count, target_count): (usize, usize),
        config: &Value,
    ) -> Result<Self> {
        std::fs::create_dir_all(dir)?;
        let store = StoreStandIn::start().await?;
        store.put_config(config);
        let mut targets = Vec::new();
        for number in 0..target_count {
            let target = TargetStandIn::start(&TargetIndex(number).to_string()).await?;
            let link = FaultRelay::start(target.address()).await?;
            let zone = ZONES[number % ZONES.len()];
            let target = SoakTarget { target, link, zone };
            target.list(&store);
            targets.push(target);
        }
        let mut hosts = Vec::new();
        for number in 0..host_count {
            hosts.push(new_host(program, dir, HostIndex(number), store.address()).await?);
        }
        let fleet = Self {
            store,
            hosts,
            targets,
        };
        fleet.start_hosts().await
    }

    async fn start_hosts(mut self) -> Result<Self> {
        let seeds: Vec<_> = self.hosts.iter().take(SEED_COUNT).collect();
        let seeds: Vec<_> = seeds.iter().map(|host| host.peers.address()).collect();
        for host in &mut self.hosts {
            host.settings.seeds.clone_from(&seeds);
            std::fs::write(&host.files.settings, host.settings.text())?;
            host.start()?;
        }
        let end = Instant::now() + READY_LIMIT;
        for host in &self.hosts {
            while !is_ready(host.ready_address()).await {
                if Instant::now() > end {
                    return Err(eyre!("a host is not ready after {READY_LIMIT:?}"));
                }
                sleep(ASK_PERIOD).await;
            }
        }
        Ok(self)
    }

    /// Kills all processes and waits for their end, so that their addresses are free.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell of an end.
    pub async fn end(&mut self) -> Result<()> {
        for host in &mut self.hosts {
            host.signal(Signal::KILL);
            if let Some(mut process) = host.process.take() {
                process.wait().await?;
            }
        }
        Ok(())
    }

    /// Returns the relay of a link.
    pub fn relay(&self, link: LinkKind) -> &FaultRelay {
        match link {
            LinkKind::Callers(host) => &self.hosts[host.0].callers,
            LinkKind::Peers(host) => &self.hosts[host.0].peers,
            LinkKind::Store(host) => &self.hosts[host.0].store,
            LinkKind::Target(target) => &self.targets[target.0].link,
        }
    }
}

async fn new_host(
    program: &Path,
    dir: &Path,
    host: HostIndex,
    store: SocketAddr,
) -> Result<SoakHost> {
    let [callers, ready, peers] = addresses_of(host);
    let store = FaultRelay::start(store).await?;
    let files = ProcessFiles {
        program: PathBuf::from(program),
        settings: dir.join(format!("{host}.toml")),
        log: dir.join(format!("{host}.log")),
    };
    let settings = SettingsStandIn {
        host: host.to_string(),
        zone: ZONES[host.0 % ZONES.len()].to_owned(),
        zones: ZONES.map(str::to_owned).to_vec(),
        seeds: Vec::new(),
        callers,
        ready,
        peers,
        store: store.address(),
        grace_seconds: GRACE_TIME.as_secs_f64(),
        revoke_seconds: crate::ledger::REVOKE_TIME.as_secs_f64(),
    };
    Ok(SoakHost {
        files,
        settings,
        callers: FaultRelay::start(callers).await?,
        peers: FaultRelay::start(peers).await?,
        store,
        process: None,
    })
}
