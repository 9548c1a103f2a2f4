//! One version of the gateway's configuration.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;
use thiserror::Error;

/// What may be done with a request that got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestClass {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
}

/// One service that a route may send to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteDestination {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the other destinations.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host name of the requests.
    pub host: SmolStr,
    /// Start of the path, with a slash at both ends.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub class: RequestClass,
    /// Longest time that a request is kept waiting; none leaves it to the caller's deadline.
    pub timeout: Option<Duration>,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services that take the requests; never empty.
    pub destinations: Vec<RouteDestination>,
    /// Most targets that one request is sent to.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What holds for all targets of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Most connections that a target takes from all callers together.
    pub connections_max: u32,
    /// Requests per second that a cold target bears.
    pub cold_rate: RequestRate,
}

/// A team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTerms {
    /// Digests of the keys that are granted.
    pub keys: Vec<KeyDigest>,
    /// Rank, which goes before the one of the route.
    pub priority: Option<u8>,
    /// Requests per second over all hosts; none means no limit.
    pub rate: Option<RequestRate>,
    /// Requests beyond the rate that may come at once.
    pub burst: BurstSize,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes_max: usize,
    /// Largest body, in bytes.
    pub body_bytes_max: u64,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A route has no destination with a weight.
    #[error("route {route} has no destination; give it a service or a split")]
    NoDestination {
        /// The route.
        route: RouteId,
    },
    /// A route names a service that is not listed.
    #[error("route {route} names service {service}, which is not listed")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// A prefix has no slash at one of its ends.
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: RouteId,
        /// The prefix.
        prefix: SmolStr,
    },
    /// Two teams hold the same key.
    #[error("teams {first} and {second} hold the same key")]
    SharedKey {
        /// The team listed first.
        first: TeamId,
        /// The team listed second.
        second: TeamId,
    },
}

/// A configuration that is consistent in itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayConfig {
    version: ConfigVersion,
    routes: Vec<GatewayRoute>,
    services: IndexMap<ServiceId, ServiceTerms>,
    teams: IndexMap<TeamId, TeamTerms>,
    limits: CallerLimits,
}

impl GatewayConfig {
    /// Checks the records against each other.
    ///
    /// # Errors
    ///
    /// Fails on the first contradiction; the version in force stays.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<GatewayRoute>,
        services: IndexMap<ServiceId, ServiceTerms>,
        teams: IndexMap<TeamId, TeamTerms>,
        limits: CallerLimits,
    ) -> Result<Self, ConfigError> {
        for route in &routes {
            check_route(route, &services)?;
        }
        check_keys(&teams)?;
        Ok(Self {
            version,
            routes,
            services,
            teams,
            limits,
        })
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[GatewayRoute] {
        &self.routes
    }

    /// Returns what holds for a service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceTerms> {
        self.services.get(id)
    }

    /// Returns a team.
    pub fn team(&self, id: &TeamId) -> Option<&TeamTerms> {
        self.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &IndexMap<TeamId, TeamTerms> {
        &self.teams
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

fn check_route(
    route: &GatewayRoute,
    services: &IndexMap<ServiceId, ServiceTerms>,
) -> Result<(), ConfigError> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(ConfigError::BadPrefix {
            route: route.id.clone(),
            prefix: route.prefix.clone(),
        });
    }
    if route.destinations.iter().all(|part| part.weight == 0) {
        return Err(ConfigError::NoDestination {
            route: route.id.clone(),
        });
    }
    for part in &route.destinations {
        if !services.contains_key(&part.service) {
            return Err(ConfigError::UnknownService {
                route: route.id.clone(),
                service: part.service.clone(),
            });
        }
    }
    Ok(())
}

fn check_keys(teams: &IndexMap<TeamId, TeamTerms>) -> Result<(), ConfigError> {
    let mut holders: IndexMap<KeyDigest, &TeamId> = IndexMap::new();
    for (team, terms) in teams {
        for key in &terms.keys {
            if let Some(first) = holders.insert(*key, team).filter(|first| *first != team) {
                return Err(ConfigError::SharedKey {
                    first: first.clone(),
                    second: team.clone(),
                });
            }
        }
    }
    Ok(())
}
