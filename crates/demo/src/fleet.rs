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
    setting::{
        self,
        TEAMS,
        TargetPlace, //
    },
};

/// Slots of a target, as the configuration has it by default.
const SLOTS: usize = 2;
/// Time that a lookup or purchase takes at its target.
const RATE_TIME: Duration = Duration::from_millis(8);
/// Time that an upload takes at its target once it is there.
const DOCUMENT_TIME: Duration = Duration::from_millis(25);
/// Longest time until all targets have an owner.
const OWNERS_MAX: Duration = Duration::from_secs(20);

/// A target with the task that serves it.
#[derive(Debug)]
pub struct RunningTarget {
    /// Its place in the configuration.
    pub place: TargetPlace,
    /// The target.
    pub target: StandinTarget,
    /// The requests that came to it.
    pub arrivals: EventLog<ArrivalRecord>,
    address: SocketAddr,
    server: JoinHandle<std::io::Result<()>>,
}

impl RunningTarget {
    async fn start(place: TargetPlace, epoch: Instant) -> Result<Self, DemoError> {
        let arrivals = EventLog::new();
        let log = arrivals.clone();
        let observer = move |arrival: TargetArrival<'_>| {
            log.push(ArrivalRecord {
                at: epoch.elapsed(),
                at_once: arrival.concurrent,
                is_cold: arrival.is_cold,
                is_call: arrival.path.ends_with("-call"),
            });
        };
        let time = match place.service {
            "rate" => RATE_TIME,
            _ => DOCUMENT_TIME,
        };
        let keys = TEAMS
            .iter()
            .flat_map(|team| [1, 2].map(|number| setting::key_of(team.id, number)));
        let target = StandinTarget::new(SLOTS, time)
            .with_observer(observer)
            .with_forbidden_texts(keys);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        Ok(Self {
            place,
            address: listener.local_addr()?,
            server: tokio::spawn(target.clone().serve(listener)),
            target,
            arrivals,
        })
    }

    /// Cuts all connections and closes the port, as the end of the target's process does.
    pub fn go_down(&self) {
        self.server.abort();
    }

    /// Opens the port again; the target is cold for a time.
    ///
    /// # Errors
    ///
    /// Fails when the port is taken meanwhile.
    pub async fn come_up(&mut self, cold_time: Duration) -> Result<(), DemoError> {
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

/// The hosts, the targets and the platform.
#[derive(Debug)]
pub struct DemoFleet {
    /// The platform.
    pub platform: StandinPlatform,
    /// The hosts that run.
    pub hosts: Vec<EntryHost>,
    /// The targets.
    pub targets: Vec<RunningTarget>,
    version: u64,
}

impl DemoFleet {
    /// Starts everything and waits until each target has an owner.
    ///
    /// # Errors
    ///
    /// Fails when a port is missing or the hosts do not share out the targets.
    pub async fn start(epoch: Instant) -> Result<Self, DemoError> {
        let mut targets = Vec::new();
        for place in setting::target_places() {
            targets.push(RunningTarget::start(place, epoch).await?);
        }
        let mut fleet = Self {
            platform: StandinPlatform::new(),
            hosts: Vec::new(),
            targets,
            version: 0,
        };
        fleet.publish(true, None);
        let address = fleet.platform.spawn().await?;
        for (id, zone) in setting::host_places() {
            fleet.hosts.push(start_host(&id, zone, address).await?);
        }
        fleet.list_hosts(None);
        fleet.wait_for_owners().await?;
        Ok(fleet)
    }

    /// Publishes the configuration with or without the key that is withdrawn in the run.
    pub fn publish(&mut self, has_old_key: bool, zone_out: Option<(UnixTime, UnixTime)>) {
        self.version += 1;
        let targets = self.targets.iter();
        let places: Vec<_> = targets
            .map(|target| (target.place.clone(), target.address))
            .collect();
        let parts = [
            ("inventory", setting::inventory_part(&places)),
            ("teams", setting::teams_part(has_old_key)),
            ("rules", setting::rules_part(zone_out)),
        ];
        self.platform.publish(self.version, &parts);
    }

    /// Tells the platform which hosts there are, and which one is about to leave.
    pub fn list_hosts(&self, leaving: Option<&str>) {
        let listing = |host: &EntryHost| HostListing {
            id: host.state().settings.host.clone(),
            zone: host.state().settings.zone.clone(),
            address: host.peer_address(),
            is_leaving: Some(host.state().settings.host.as_str()) == leaving,
        };
        self.platform
            .set_hosts(self.hosts.iter().map(listing).collect());
    }

    /// Returns a target by name.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut RunningTarget> {
        self.targets.iter_mut().find(|it| it.place.id == id)
    }

    /// Takes a host out by name, to stop it.
    pub fn take_host(&mut self, id: &str) -> Option<EntryHost> {
        let is_named = |host: &EntryHost| host.state().settings.host.as_str() == id;
        let at = self.hosts.iter().position(is_named)?;
        Some(self.hosts.remove(at))
    }

    async fn wait_for_owners(&self) -> Result<(), DemoError> {
        let limit = Instant::now() + OWNERS_MAX;
        let count = |host: &EntryHost| host.state().owned().iter().count();
        while self.hosts.iter().map(count).sum::<usize>() < self.targets.len() {
            if Instant::now() > limit {
                let seconds = OWNERS_MAX.as_secs();
                return Err(DemoError::NoOwners { seconds });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Ends all hosts.
    pub async fn end(self) {
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
        HostSettings::new(&settings).map_err(|error| DemoError::Setting(error.to_string()))?;
    let client = http_client(settings.platform);
    Ok(EntryHost::start(settings, client, HostClock::with_system_time()).await?)
}
