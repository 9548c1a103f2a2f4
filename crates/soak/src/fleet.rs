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

/// Time from SIGTERM to SIGKILL; the platform's `graceS`.
pub const GRACE_TIME: Duration = Duration::from_secs(6);

/// Time in which a fleet must become ready. It takes about a second; the margin is for a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a readiness probe.
const READY_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two readiness probes during the start.
const READY_PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Number of hosts whose addresses all hosts get as seeds.
const SEED_COUNT: usize = 3;

/// Ports of a host for callers, readiness probes and peers.
const PORTS: [u16; 3] = [8405, 8406, 8407];

/// Zones of the fleet.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A host with the relays on its links.
#[derive(Debug)]
pub struct SoakHost {
    files: ProcessFiles,
    settings: SettingsStandIn,
    /// Relay from callers.
    pub callers: FaultRelay,
    /// Relay from other hosts.
    pub peers: FaultRelay,
    /// Relay to the store.
    pub store: FaultRelay,
    /// The process, or `None` while the host is down.
    pub process: Option<GatewayProcess>,
}

/// A target with the relay in front of it.
#[derive(Debug)]
pub struct SoakTarget {
    /// The stand-in.
    pub target: TargetStandIn,
    /// Relay from all hosts.
    pub link: FaultRelay,
    zone: &'static str,
    /// Number of incarnations that have registered.
    incarnation: u64,
    /// Number of writes of the present incarnation.
    sequence: u64,
}

impl SoakTarget {
    /// Writes the entry of the target, with the relay's address, to the store. A target that has removed its entry
    /// registers as a later incarnation.
    pub fn publish_entry(&mut self, store: &StoreStandIn) {
        self.incarnation += 1;
        self.sequence = 0;
        self.renew_entry(store);
    }

    /// Writes the entry of the present incarnation again.
    pub fn renew_entry(&mut self, store: &StoreStandIn) {
        self.sequence += 1;
        let address = self.link.address();
        let mut entry = self.target.entry_at(address, "rate", self.zone, "ready");
        entry["born"] = self.incarnation.into();
        entry["seq"] = self.sequence.into();
        store.put(&self.target.key(), &entry);
    }
}

/// A fleet of hosts with its store and targets.
#[derive(Debug)]
pub struct SoakFleet {
    /// The store.
    pub store: StoreStandIn,
    /// The hosts.
    pub hosts: Vec<SoakHost>,
    /// The targets.
    pub targets: Vec<SoakTarget>,
}

/// Returns the addresses of a host. The loopback address is derived from the id of this process and the host, and the
/// ports are below the ephemeral range, so that neither another run nor an outgoing connection occupies one.
fn host_addresses(host: HostIndex) -> [SocketAddr; 3] {
    let [_, _, run_high, run_low] = std::process::id().to_be_bytes();
    let number = u8::try_from(host.0 + 1).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(127, run_high, run_low, number);
    PORTS.map(|port| SocketAddr::from((ip, port)))
}

impl SoakHost {
    /// Starts the gateway process.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        let process = GatewayProcess::start(&self.files, &self.peers.address().to_string());
        self.process = Some(process.wrap_err("failed to start the gateway")?);
        Ok(())
    }

    /// Sends a signal to the process, if there is one. Failures are logged only.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process
            && let Err(error) = process.signal(signal)
        {
            println!("event=signal_failed signal={signal:?} error=\"{error}\"");
        }
    }

    /// Returns the address of the readiness probe.
    pub fn ready_address(&self) -> SocketAddr {
        self.settings.ready
    }
}

/// Returns `true` if a host answers the readiness probe with status 200.
pub async fn is_ready(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!("GET {READY_PATH} HTTP/1.1\r\nhost: host\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        Ok::<_, std::io::Error>(answer.ends_with(b"200"))
    };
    matches!(timeout(READY_PROBE_TIMEOUT, probe).await, Ok(Ok(true)))
}

impl SoakFleet {
    /// Starts the store, the targets and the hosts, and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a program does not start or a host does not become ready.
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
            let mut target = SoakTarget {
                target,
                link,
                zone,
                incarnation: 0,
                sequence: 0,
            };
            target.publish_entry(&store);
            targets.push(target);
        }
        let mut hosts = Vec::new();
        for number in 0..host_count {
            hosts.push(create_host(program, dir, HostIndex(number), store.address()).await?);
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
        let end = Instant::now() + READY_TIMEOUT;
        for host in &self.hosts {
            while !is_ready(host.ready_address()).await {
                if Instant::now() > end {
                    return Err(eyre!(
                        "the host at {} is not ready after {READY_TIMEOUT:?}",
                        host.ready_address()
                    ));
                }
                sleep(READY_PROBE_PERIOD).await;
            }
        }
        Ok(self)
    }

    /// Kills all processes and waits until they have ended, so that their addresses are free.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for a process fails.
    pub async fn kill_all(&mut self) -> Result<()> {
        for host in &mut self.hosts {
            host.signal(Signal::KILL);
            if let Some(mut process) = host.process.take() {
                process.wait().await?;
            }
        }
        Ok(())
    }

    /// Returns the relay on a link.
    pub fn relay(&self, link: LinkKind) -> &FaultRelay {
        match link {
            LinkKind::Callers(host) => &self.hosts[host.0].callers,
            LinkKind::Peers(host) => &self.hosts[host.0].peers,
            LinkKind::Store(host) => &self.hosts[host.0].store,
            LinkKind::Target(target) => &self.targets[target.0].link,
        }
    }
}

async fn create_host(
    program: &Path,
    dir: &Path,
    host: HostIndex,
    store: SocketAddr,
) -> Result<SoakHost> {
    let [callers, ready, peers] = host_addresses(host);
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
        revoke_seconds: crate::history::REVOKE_TIME.as_secs_f64(),
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
