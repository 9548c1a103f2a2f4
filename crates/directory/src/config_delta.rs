//! The difference between two versions of the configuration.
//!
//! A configuration with some thousand routes has hundreds of kilobytes, and most versions change a few of them. A host that
//! has an earlier version gets the changes. Of earlier versions a host keeps only a digest of each route and team.

use std::{
    collections::VecDeque,
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    num::ParseIntError,
    str::FromStr,
};

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::config::{
    CallerLimits,
    GatewayConfig,
    GatewayRoute,
    ServiceTerms,
    TeamTerms, //
};

/// Number of versions to which a host knows the changes. Operators write up to three a second, and a host that was late
/// gets the latest one.
const OUTLINES_MAX: usize = 6;

/// Digest of the content of a configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ConfigDigest(u64);

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ConfigDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A version of the configuration and its content, by which a host states what it has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ConfigBase {
    /// The version.
    pub version: ConfigVersion,
    /// Digest of its content.
    pub digest: ConfigDigest,
}

fn digest_of(value: impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Digests of the parts of a configuration.
#[derive(Clone, Debug)]
struct ConfigOutline {
    base: ConfigBase,
    routes: IndexMap<RouteId, u64>,
    teams: IndexMap<TeamId, u64>,
}

impl ConfigOutline {
    fn new(config: &GatewayConfig) -> Self {
        let routes = config.routes().iter();
        let routes: IndexMap<_, _> = routes
            .map(|route| (route.id.clone(), digest_of(route)))
            .collect();
        let teams = config.teams().iter();
        let teams: IndexMap<_, _> = teams
            .map(|team| (team.0.clone(), digest_of(team)))
            .collect();
        let services = config.services().iter().map(digest_of);
        let rest = digest_of((config.version(), config.limits(), config.routes().len()));
        let parts = routes.values().chain(teams.values()).copied();
        // A sum does not depend on the order of the parts.
        let sum = parts.chain(services).fold(rest, u64::wrapping_add);
        Self {
            base: ConfigBase {
                version: config.version(),
                digest: ConfigDigest(sum),
            },
            routes,
            teams,
        }
    }
}

/// The changes that turn one configuration into another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The configuration that the changes apply to.
    pub base: ConfigBase,
    /// The result.
    pub result: ConfigBase,
    /// Routes that are missing in the result.
    pub removed_routes: Vec<RouteId>,
    /// Routes that are new or differ.
    pub routes: Vec<GatewayRoute>,
    /// All services of the result.
    pub services: IndexMap<ServiceId, ServiceTerms>,
    /// Teams that are missing in the result.
    pub removed_teams: Vec<TeamId>,
    /// Teams that are new or differ.
    pub teams: IndexMap<TeamId, TeamTerms>,
    /// Limits of the result.
    pub limits: CallerLimits,
}

impl ConfigDelta {
    fn new(base: &ConfigOutline, next: &GatewayConfig, outline: &ConfigOutline) -> Self {
        let removed_routes = base.routes.keys();
        let removed_routes = removed_routes.filter(|id| !outline.routes.contains_key(*id));
        let is_new_route =
            |route: &&GatewayRoute| base.routes.get(&route.id) != outline.routes.get(&route.id);
        let removed_teams = base.teams.keys();
        let removed_teams = removed_teams.filter(|id| !outline.teams.contains_key(*id));
        let teams = next.teams().iter();
        let teams = teams.filter(|(id, _)| base.teams.get(*id) != outline.teams.get(*id));
        let mut delta = Self {
            base: base.base,
            result: outline.base,
            removed_routes: removed_routes.cloned().collect(),
            routes: next.routes().iter().filter(is_new_route).cloned().collect(),
            services: next.services().clone(),
            removed_teams: removed_teams.cloned().collect(),
            teams: teams
                .map(|(id, terms)| (id.clone(), terms.clone()))
                .collect(),
            limits: next.limits(),
        };
        // Equal changes have equal encodings on all hosts.
        delta.removed_routes.sort_unstable();
        delta.routes.sort_by(|left, right| left.id.cmp(&right.id));
        delta.services.sort_unstable_keys();
        delta.removed_teams.sort_unstable();
        delta.teams.sort_unstable_keys();
        delta
    }

    /// Returns the configuration that results from the changes, or `None` if they apply to another one than `base` or the
    /// result is not the stated one.
    pub fn apply(self, base: &GatewayConfig) -> Option<GatewayConfig> {
        if config_base(base) != self.base {
            return None;
        }
        let known = base.routes().iter().map(|route| (&route.id, route));
        let mut routes: IndexMap<RouteId, GatewayRoute> = known
            .map(|(id, route)| (id.clone(), route.clone()))
            .collect();
        let removed: IndexSet<RouteId> = self.removed_routes.into_iter().collect();
        routes.retain(|id, _| !removed.contains(id));
        routes.extend(
            self.routes
                .into_iter()
                .map(|route| (route.id.clone(), route)),
        );
        let mut teams = base.teams().clone();
        teams.retain(|id, _| !self.removed_teams.contains(id));
        teams.extend(self.teams);
        let version = self.result.version;
        let routes = routes.into_values().collect();
        let next = GatewayConfig::new(version, routes, self.services, teams, self.limits).ok()?;
        (config_base(&next) == self.result).then_some(next)
    }
}

/// Returns the version and digest of a configuration.
pub fn config_base(config: &GatewayConfig) -> ConfigBase {
    ConfigOutline::new(config).base
}

/// What a host needs to get a version: its changes, or all of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigChange {
    /// The whole configuration.
    Whole(Box<GatewayConfig>),
    /// The changes of an earlier version.
    Changed(Box<ConfigDelta>),
}

impl ConfigChange {
    /// Returns the number of routes that the change holds.
    pub fn route_count(&self) -> usize {
        match self {
            Self::Whole(config) => config.routes().len(),
            Self::Changed(delta) => delta.routes.len(),
        }
    }

    /// Returns the resulting configuration on a host that has `current`, or `None` if the changes apply to another one.
    pub fn apply(self, current: Option<&GatewayConfig>) -> Option<GatewayConfig> {
        match self {
            Self::Whole(config) => Some(*config),
            Self::Changed(delta) => delta.apply(current?),
        }
    }
}

/// Digests of the latest versions that a host had in force, the present one last.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    outlines: VecDeque<ConfigOutline>,
}

impl ConfigHistory {
    /// Creates a history without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the version that comes into force.
    pub fn push(&mut self, config: &GatewayConfig) {
        if self.outlines.len() == OUTLINES_MAX {
            self.outlines.pop_front();
        }
        self.outlines.push_back(ConfigOutline::new(config));
    }

    /// Returns the present version, or `None` before the first one.
    pub fn base(&self) -> Option<ConfigBase> {
        self.outlines.back().map(|outline| outline.base)
    }

    /// Returns the version and digest of a version, if the history has it.
    pub fn find(&self, version: ConfigVersion) -> Option<ConfigBase> {
        let mut latest = self.outlines.iter().rev();
        let outline = latest.find(|outline| outline.base.version == version);
        outline.map(|outline| outline.base)
    }

    /// Returns the changes of a configuration of the history since an earlier one, or all of it if the earlier one is not
    /// known or most routes have changed.
    pub fn change_since(&self, base: Option<ConfigBase>, config: &GatewayConfig) -> ConfigChange {
        let find = |found: &dyn Fn(&ConfigOutline) -> bool| {
            let mut latest = self.outlines.iter().rev();
            latest.find(|outline| found(outline))
        };
        let earlier = base.and_then(|base| find(&|outline| outline.base == base));
        let outline = find(&|outline| outline.base.version == config.version());
        let delta = earlier.zip(outline);
        let delta = delta.map(|(earlier, outline)| ConfigDelta::new(earlier, config, outline));
        match delta {
            Some(delta) if delta.routes.len() <= config.routes().len() / 2 => {
                ConfigChange::Changed(Box::new(delta))
            }
            _ => ConfigChange::Whole(Box::new(config.sorted())),
        }
    }
}
