//! Finds the route, the team and the service of a request.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::{
    GatewayConfig,
    GatewayRoute, //
};

/// Why a request may not run. It has certainly not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RoutingError {
    /// No route matches the host and path.
    #[error("no route matches")]
    NoRoute,
    /// The route needs a key and none came, or no team holds it.
    #[error("no team holds the key")]
    BadKey,
}

/// A configuration with the indexes that lookups need.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    config: Arc<GatewayConfig>,
    /// Positions of the routes of a host name, the longest prefix first.
    hosts: IndexMap<SmolStr, Vec<usize>>,
    keys: IndexMap<KeyDigest, TeamId>,
}

impl RouteIndex {
    /// Indexes a configuration.
    pub fn new(config: Arc<GatewayConfig>) -> Self {
        let routes = config.routes();
        let mut hosts: IndexMap<SmolStr, Vec<usize>> = IndexMap::new();
        for (position, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions.sort_by_key(|&position| std::cmp::Reverse(routes[position].prefix.len()));
        }
        let keys = config
            .teams()
            .iter()
            .flat_map(|(team, terms)| terms.keys.iter().map(|key| (*key, team.clone())))
            .collect();
        Self {
            config,
            hosts,
            keys,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<GatewayConfig> {
        &self.config
    }

    /// Returns the route of a request: the longest prefix that begins the path.
    ///
    /// # Errors
    ///
    /// Fails when no route of the host matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&GatewayRoute, RoutingError> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let positions = self.hosts.get(name.as_str()).into_iter().flatten();
        positions
            .map(|&position| &self.config.routes()[position])
            .find(|route| path.starts_with(route.prefix.as_str()))
            .ok_or(RoutingError::NoRoute)
    }

    /// Returns the team that a request runs for; none on public routes.
    ///
    /// # Errors
    ///
    /// Fails when the route needs a key and no team holds the one that came.
    pub fn team(
        &self,
        route: &GatewayRoute,
        key: Option<&[u8]>,
    ) -> Result<Option<&TeamId>, RoutingError> {
        if route.is_public || self.config.teams().is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(RoutingError::BadKey)?;
        let team = self.keys.get(&KeyDigest::of_key(key));
        team.map(Some).ok_or(RoutingError::BadKey)
    }

    /// Returns the rank of a request; that of the team goes before that of the route.
    pub fn priority(&self, route: &GatewayRoute, team: Option<&TeamId>) -> u8 {
        let team = team.and_then(|team| self.config.team(team));
        team.and_then(|terms| terms.priority)
            .unwrap_or(route.priority)
    }
}

/// Returns the service for a request. Requests spread over the destinations by the hash of their id,
/// so that all hosts together keep the weights without talking.
pub fn destination_of<'a>(route: &'a GatewayRoute, request: &str) -> Option<&'a ServiceId> {
    let total: u64 = route
        .destinations
        .iter()
        .map(|part| u64::from(part.weight))
        .sum();
    let mut point = xxh3_64(request.as_bytes()).checked_rem(total)?;
    for part in &route.destinations {
        let weight = u64::from(part.weight);
        if point < weight {
            return Some(&part.service);
        }
        point -= weight;
    }
    None
}
