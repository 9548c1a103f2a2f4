//! Starts hosts, targets and the platform on free ports.

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
    net::TcpListener,
    task::JoinHandle,
    time::Instant, //
};

use crate::{
    DemoError,
    records::{
        ArrivalRecord,
        EventLog, //
    },
    scenario::{
        self,
        TEAMS,
        TargetConfig, //
    },
};

/// Number of slots of a target, which is the default of the configuration.
const SLOTS: usize = 2;
/// Service time of a lookup or purchase.
const RATE_TIME: Duration = Duration::from_millis(8);
/// Service time of an upload, after its body has been received.
const DOCUMENT_TIME: Duration = Duration::from_millis(25);
/// Maximum time until all targets have an owning host.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(20);

/// A target and the task that serves it.
#[derive(Debug)]
pub struct RunningTarget {
    /// Configuration of the target.
    pub config: TargetConfig,
    /// The stand-in target.
    pub target: StandinTarget,
    /// Requests that arrived at the target.
    pub arrivals: EventLog<ArrivalRecord>,
    address: SocketAddr,
    server: JoinHandle<std::io::Result<()>>,
}

impl RunningTarget {
    async fn start(config: TargetConfig, epoch: Instant) -> Result<Self, DemoError> {
        let arrivals = EventLog::new();
        let log = arrivals.clone();
        let observer = move |arrival: TargetArrival<'_>| {
            log.push(ArrivalRecord {
                at: epoch.elapsed(),
                concurrent: arrival.concurrent,
                is_cold: arrival.is_cold,
                is_call: arrival.path.ends_with("-call"),
            });
        };
        let time = match config.service {
            "rate" => RATE_TIME,
            _ => DOCUMENT_TIME,
        };
        let keys = TEAMS
            .iter()
            .flat_map(|team| [1, 2].map(|number| scenario::team_key(team.id, number)));
        let target = StandinTarget::new(SLOTS, time)
            .with_observer(observer)
            .with_forbidden_texts(keys);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        Ok(Self {
            config,
            address: listener.local_addr()?,
            server: tokio::spawn(target.clone().serve(listener)),
            target,
            arrivals,
        })
    }

    /// Aborts all connections and closes the port, as if the target's process had ended.
    pub fn stop(&self) {
        self.server.abort();
    }

    /// Serves the target on its port again. The target is cold for `cold_time`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is no longer available.
    pub async fn restart(&mut self, cold_time: Duration) -> Result<(), DemoError> {
        let listener = TcpListener::bind(self.address).await?;
        self.target.restart_cold(cold_time);
        self.server = tokio::spawn(self.target.clone().serve(listener));
        Ok(())
    }
}

impl Drop for RunningTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// The hosts, the targets and the platform of a run.
#[derive(Debug)]
pub struct DemoFleet {
    /// The platform.
    pub platform: StandinPlatform,
    /// The running hosts.
    pub hosts: Vec<EntryHost>,
    /// The targets.
    pub targets: Vec<RunningTarget>,
    version: u64,
}

impl DemoFleet {
    /// Starts the platform, the targets and the hosts, and waits until each target has an owning host.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available, a host cannot be started or a target has no owner after
    /// 20 s.
    pub async fn start(epoch: Instant) -> Result<Self, DemoError> {
        let mut targets = Vec::new();
        for config in scenario::target_configs() {
            targets.push(RunningTarget::start(config, epoch).await?);
        }
        let mut fleet = Self {
            platform: StandinPlatform::new(),
            hosts: Vec::new(),
            targets,
            version: 0,
        };
        fleet.publish(true, None);
        let address = fleet.platform.spawn().await?;
        for (id, zone) in scenario::entry_hosts() {
            fleet.hosts.push(start_host(&id, zone, address).await?);
        }
        fleet.publish_hosts(None);
        fleet.wait_for_owners().await?;
        Ok(fleet)
    }

    /// Publishes the configuration, with or without the key that is withdrawn during the run.
    pub fn publish(&mut self, has_withdrawn_key: bool, zone_out: Option<(UnixTime, UnixTime)>) {
        self.version += 1;
        let targets = self.targets.iter();
        let configs: Vec<_> = targets
            .map(|target| (target.config.clone(), target.address))
            .collect();
        let parts = [
            ("inventory", scenario::inventory_part(&configs)),
            ("teams", scenario::teams_part(has_withdrawn_key)),
            ("rules", scenario::rules_part(zone_out)),
        ];
        self.platform.publish(self.version, &parts);
    }

    /// Publishes the list of hosts, in which the host named `leaving` is marked as about to leave.
    pub fn publish_hosts(&self, leaving: Option<&str>) {
        let listing = |host: &EntryHost| HostListing {
            id: host.state().settings.host.clone(),
            zone: host.state().settings.zone.clone(),
            address: host.peer_address(),
            is_leaving: Some(host.state().settings.host.as_str()) == leaving,
        };
        self.platform
            .set_hosts(self.hosts.iter().map(listing).collect());
    }

    /// Returns the target with a name.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut RunningTarget> {
        self.targets
            .iter_mut()
            .find(|target| target.config.id == id)
    }

    /// Removes the host with a name from the fleet, so that the caller can stop it.
    pub fn remove_host(&mut self, id: &str) -> Option<EntryHost> {
        let is_named = |host: &EntryHost| host.state().settings.host.as_str() == id;
        let index = self.hosts.iter().position(is_named)?;
        Some(self.hosts.remove(index))
    }

    async fn wait_for_owners(&self) -> Result<(), DemoError> {
        let deadline = Instant::now() + OWNERSHIP_TIMEOUT;
        let owned_count = |host: &EntryHost| host.state().owned().iter().count();
        while self.hosts.iter().map(owned_count).sum::<usize>() < self.targets.len() {
            if Instant::now() > deadline {
                let seconds = OWNERSHIP_TIMEOUT.as_secs();
                return Err(DemoError::OwnershipTimeout { seconds });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Ends all hosts without a planned stop.
    pub async fn crash_hosts(self) {
        for host in self.hosts {
            host.crash().await;
        }
    }
}

async fn start_host(id: &str, zone: &str, platform: SocketAddr) -> Result<EntryHost, DemoError> {
    let settings = format!(
        "{{host: {id}, zone: {zone}, platform: '{platform}', caller_listen: '127.0.0.1:0', \
         peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', drain_limit_ms: 10000}}"
    );
    let settings =
        HostSettings::new(&settings).map_err(|error| DemoError::Config(error.to_string()))?;
    let client = http_client(settings.platform);
    Ok(EntryHost::start(settings, client, HostClock::with_system_time()).await?)
}
