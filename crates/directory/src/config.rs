//! A version of the gateway's configuration, and its validation.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;
use thiserror::Error;

/// Whether a request without an answer may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RequestClass {
    /// Running the request more than once does no harm.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RouteDestination {
    /// The service.
    pub service: ServiceId,
    /// Fraction of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// A route: the requests of a host name and path prefix, and how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct GatewayRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host name of the requests, compared without regard to case.
    pub host: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be sent again.
    pub class: RequestClass,
    /// Longest time until the answer; `None` leaves it to the caller's deadline.
    pub timeout: Option<Duration>,
    /// Latency objective: an answer after this time has little value to the caller.
    pub objective: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services that receive the requests; at least one has a weight above zero.
    pub destinations: Vec<RouteDestination>,
    /// Largest number of targets that one request is sent to.
    pub attempts_max: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// Limits that apply to each target of a service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Largest number of connections that a target accepts from all its clients together.
    pub connections_max: u32,
    /// Requests per second that a cold target handles.
    pub cold_rate: RequestRate,
}

/// Keys, priority and rate limit of a team.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TeamTerms {
    /// Digests of the keys that authenticate the team.
    pub keys: Vec<KeyDigest>,
    /// Priority that overrides the one of the route.
    pub priority: Option<u8>,
    /// Requests per second over all hosts; `None` means no limit.
    pub rate: Option<RequestRate>,
    /// Requests beyond the rate that are accepted in a burst.
    pub burst: BurstSize,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes_max: usize,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Inconsistency for which a configuration is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A route has no destination with a weight above zero.
    #[error(
        "route {route} has no destination with a weight above zero; give it a service or a split"
    )]
    NoDestination {
        /// The route.
        route: RouteId,
    },
    /// A route names a service that the configuration does not list.
    #[error(
        "route {route} names service {service}, which is not listed; list it, or correct the route"
    )]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// A prefix does not begin or does not end with a slash, so it could match within a path segment.
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: RouteId,
        /// The prefix.
        prefix: SmolStr,
    },
    /// Two teams list the same key, so that a request could not be assigned to one of them.
    #[error("teams {first} and {second} hold the same key; give each team keys of its own")]
    SharedKey {
        /// The team listed first.
        first: TeamId,
        /// The team listed second.
        second: TeamId,
    },
}

/// A validated configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayConfig {
    version: ConfigVersion,
    routes: Vec<GatewayRoute>,
    services: IndexMap<ServiceId, ServiceTerms>,
    teams: IndexMap<TeamId, TeamTerms>,
    limits: CallerLimits,
}

impl GatewayConfig {
    /// Creates a configuration after checking its routes, services and teams against each other.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency. The caller then keeps the version in force.
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

    /// Returns the configuration with its parts in the order of their names, so that equal ones have equal encodings.
    pub(crate) fn sorted(&self) -> Self {
        let mut sorted = self.clone();
        sorted.routes.sort_by(|left, right| left.id.cmp(&right.id));
        sorted.services.sort_unstable_keys();
        sorted.teams.sort_unstable_keys();
        sorted
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[GatewayRoute] {
        &self.routes
    }

    /// Returns all services.
    pub fn services(&self) -> &IndexMap<ServiceId, ServiceTerms> {
        &self.services
    }

    /// Returns the limits of a service; `None` if it is not listed.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceTerms> {
        self.services.get(id)
    }

    /// Returns a team; `None` if it is not listed.
    pub fn team(&self, id: &TeamId) -> Option<&TeamTerms> {
        self.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &IndexMap<TeamId, TeamTerms> {
        &self.teams
    }

    /// Returns the limits on callers.
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
    if route
        .destinations
        .iter()
        .all(|destination| destination.weight == 0)
    {
        return Err(ConfigError::NoDestination {
            route: route.id.clone(),
        });
    }
    for destination in &route.destinations {
        if !services.contains_key(&destination.service) {
            return Err(ConfigError::UnknownService {
                route: route.id.clone(),
                service: destination.service.clone(),
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
