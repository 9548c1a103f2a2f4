//! The client interface of the platform's configuration service, independent of the transport.

use std::{
    fmt,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;
use tokio::time::Instant;

use crate::budget::CallBudget;

/// A call to the platform failed.
#[derive(Clone, Debug, Error)]
pub enum PlatformError {
    /// The platform cannot be reached, does not answer in time, or reports overload or a server error.
    #[error("the platform is not reachable: {reason}")]
    Unreachable {
        /// Description of the failure.
        reason: SmolStr,
    },
    /// The platform does not store this value.
    #[error("the platform has no value {name}")]
    Missing {
        /// Name of the value.
        name: SmolStr,
    },
    /// The name of a value is invalid.
    #[error("invalid value name {name:?}; expected ASCII letters, digits, '-', '_', '.' and '/'")]
    BadName {
        /// The invalid name.
        name: SmolStr,
    },
    /// This host has used up its call budget.
    #[error("the call budget is exhausted; the next call is allowed in {wait:?}")]
    OverBudget {
        /// Time until the next call is allowed.
        wait: Duration,
    },
    /// The answer is malformed or violates the protocol.
    #[error("invalid answer from the platform: {reason}")]
    BadAnswer {
        /// Description of the error.
        reason: SmolStr,
    },
}

/// A value and the version that the platform assigned to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformValue {
    /// The content.
    pub content: Bytes,
    /// Version of this value on the platform.
    pub version: ConfigVersion,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListing {
    /// Name of the host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Address for connections from other hosts.
    pub address: SocketAddr,
    /// Whether the host is about to leave the fleet.
    pub is_leaving: bool,
}

/// A future that resolves to the platform's answer.
pub type PlatformFuture<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send>>;

type ReadCall = Box<dyn Fn(SmolStr) -> PlatformFuture<PlatformValue> + Send + Sync>;
type WaitCall =
    Box<dyn Fn(SmolStr, ConfigVersion) -> PlatformFuture<Option<PlatformValue>> + Send + Sync>;
type HostsCall = Box<dyn Fn() -> PlatformFuture<Vec<HostListing>> + Send + Sync>;

/// A client of the platform's configuration service. The calls are closures, so that the transport can
/// be replaced.
pub struct PlatformClient {
    read: ReadCall,
    wait_newer: WaitCall,
    list_hosts: HostsCall,
}

/// Maximum time that a call waits for the budget.
const BUDGET_WAIT_MAX: Duration = Duration::from_secs(5);

/// Delays calls until the budget allows them, measuring time from its creation.
struct CallLimiter {
    budget: Arc<CallBudget>,
    started_at: Instant,
}

impl CallLimiter {
    async fn acquire(&self) -> Result<(), PlatformError> {
        let deadline = Instant::now() + BUDGET_WAIT_MAX;
        loop {
            let now = MonoTime::START.after(self.started_at.elapsed());
            let Err(wait) = self.budget.try_take(now) else {
                return Ok(());
            };
            if Instant::now() + wait > deadline {
                return Err(PlatformError::OverBudget { wait });
            }
            // Tokio's timer has a resolution of 1 ms; a shorter sleep could return at once and spin.
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformClient(..)")
    }
}

impl PlatformClient {
    /// Creates a client from closures that read a value, wait for a newer version of a value and list
    /// the hosts.
    pub fn new(
        read: impl Fn(SmolStr) -> PlatformFuture<PlatformValue> + Send + Sync + 'static,
        wait_newer: impl Fn(SmolStr, ConfigVersion) -> PlatformFuture<Option<PlatformValue>>
        + Send
        + Sync
        + 'static,
        list_hosts: impl Fn() -> PlatformFuture<Vec<HostListing>> + Send + Sync + 'static,
    ) -> Self {
        Self {
            read: Box::new(read),
            wait_newer: Box::new(wait_newer),
            list_hosts: Box::new(list_hosts),
        }
    }

    /// Returns a client whose calls wait until the budget allows them, for at most 5 s each.
    pub fn with_budget(self, budget: Arc<CallBudget>) -> Self {
        let client = Arc::new(self);
        let limiter = Arc::new(CallLimiter {
            budget,
            started_at: Instant::now(),
        });
        let (reader, read_limiter) = (client.clone(), limiter.clone());
        let (waiter, wait_limiter) = (client.clone(), limiter.clone());
        Self::new(
            move |name| {
                let (client, limiter) = (reader.clone(), read_limiter.clone());
                Box::pin(async move {
                    limiter.acquire().await?;
                    client.read(&name).await
                })
            },
            move |name, version| {
                let (client, limiter) = (waiter.clone(), wait_limiter.clone());
                Box::pin(async move {
                    limiter.acquire().await?;
                    client.wait_newer(&name, version).await
                })
            },
            move || {
                let (client, limiter) = (client.clone(), limiter.clone());
                Box::pin(async move {
                    limiter.acquire().await?;
                    client.list_hosts().await
                })
            },
        )
    }

    /// Reads the current version of a value.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or does not store the value.
    pub async fn read(&self, name: &str) -> Result<PlatformValue, PlatformError> {
        (self.read)(name.into()).await
    }

    /// Waits for a version of a value that is newer than `version`. Returns `None` if the platform ends
    /// the watch without one.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or does not store the value.
    pub async fn wait_newer(
        &self,
        name: &str,
        version: ConfigVersion,
    ) -> Result<Option<PlatformValue>, PlatformError> {
        (self.wait_newer)(name.into(), version).await
    }

    /// Lists the hosts of the fleet. The platform's list lags behind actual changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn list_hosts(&self) -> Result<Vec<HostListing>, PlatformError> {
        (self.list_hosts)().await
    }
}
