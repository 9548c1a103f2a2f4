//! Messages of format version 1, where they differ from the current version.

use std::net::SocketAddr;

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::heartbeat::{
    ConfigSummary,
    Heartbeat,
    RecentContact,
    SequenceEcho,
    ServiceBaseline,
    TargetLoad, //
};

/// The load of a target in format version 1, without the suspect flag.
#[derive(Deserialize, Serialize)]
struct TargetLoadV1 {
    target: TargetId,
    in_flight: u16,
    limit: u16,
}

/// The heartbeat in format version 1.
#[derive(Deserialize, Serialize)]
pub(crate) struct HeartbeatV1 {
    host: HostId,
    incarnation: HostIncarnation,
    zone: ZoneId,
    address: SocketAddr,
    sequence: u64,
    echo: Option<SequenceEcho>,
    config: Option<ConfigSummary>,
    is_platform_recent: bool,
    is_leaving: bool,
    targets: Vec<TargetLoadV1>,
    baselines: Vec<ServiceBaseline>,
    #[serde(rename = "heard")]
    recent_contacts: Vec<RecentContact>,
}

impl From<&Heartbeat> for HeartbeatV1 {
    fn from(heartbeat: &Heartbeat) -> Self {
        let heartbeat = heartbeat.clone();
        let targets = heartbeat.targets.into_iter().map(|load| TargetLoadV1 {
            target: load.target,
            in_flight: load.in_flight,
            limit: load.limit,
        });
        Self {
            host: heartbeat.host,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone,
            address: heartbeat.address,
            sequence: heartbeat.sequence,
            echo: heartbeat.echo,
            config: heartbeat.config,
            is_platform_recent: heartbeat.is_platform_recent,
            is_leaving: heartbeat.is_leaving,
            targets: targets.collect(),
            baselines: heartbeat.baselines,
            recent_contacts: heartbeat.recent_contacts,
        }
    }
}

impl From<HeartbeatV1> for Heartbeat {
    fn from(heartbeat: HeartbeatV1) -> Self {
        let targets = heartbeat.targets.into_iter().map(|load| TargetLoad {
            target: load.target,
            in_flight: load.in_flight,
            limit: load.limit,
            is_suspect: false,
        });
        Self {
            host: heartbeat.host,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone,
            address: heartbeat.address,
            sequence: heartbeat.sequence,
            echo: heartbeat.echo,
            config: heartbeat.config,
            is_platform_recent: heartbeat.is_platform_recent,
            is_leaving: heartbeat.is_leaving,
            targets: targets.collect(),
            baselines: heartbeat.baselines,
            recent_contacts: heartbeat.recent_contacts,
        }
    }
}
