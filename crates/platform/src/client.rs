//! Read one value, wait for a newer one, list hosts.

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

/// Why the platform gave no answer.
#[derive(Clone, Debug, Error)]
pub enum PlatformError {
    /// The platform could not be reached or broke off.
    #[error("the platform is not reachable: {reason}")]
    Unreachable {
        /// What failed.
        reason: SmolStr,
    },
    /// There is no such value.
    #[error("the platform has no value {name}")]
    Missing {
        /// Name of the value.
        name: SmolStr,
    },
    /// The name is no valid name of a value.
    #[error("{name:?} is no valid name of a value")]
    BadName {
        /// The name.
        name: SmolStr,
    },
    /// This host has made as many calls as it may.
    #[error("the budget of calls is used up for {wait:?}")]
    OverBudget {
        /// Time until the next call is allowed.
        wait: Duration,
    },
    /// The answer makes no sense.
    #[error("the platform's answer is not valid: {reason}")]
    BadAnswer {
        /// What is wrong.
        reason: SmolStr,
    },
}

/// A value with the version that the platform gives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformValue {
    /// The content.
    pub content: Bytes,
    /// The platform's version of this value.
    pub version: ConfigVersion,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostListing {
    /// Name of the host.
    pub id: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
    /// Address for the other hosts.
    pub address: SocketAddr,
    /// Whether the host is about to leave.
    pub is_leaving: bool,
}

/// A pending answer of the platform.
pub type PlatformFuture<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send>>;

type ReadCall = Box<dyn Fn(SmolStr) -> PlatformFuture<PlatformValue> + Send + Sync>;
type WaitCall =
    Box<dyn Fn(SmolStr, ConfigVersion) -> PlatformFuture<Option<PlatformValue>> + Send + Sync>;
type HostsCall = Box<dyn Fn() -> PlatformFuture<Vec<HostListing>> + Send + Sync>;

/// The platform's configuration service, whatever carries the calls.
pub struct PlatformClient {
    read: ReadCall,
    wait_newer: WaitCall,
    list_hosts: HostsCall,
}

/// Longest time that a call waits for the budget.
const BUDGET_WAIT_MAX: Duration = Duration::from_secs(5);

/// A budget with the clock that it goes by.
struct CallGate {
    budget: Arc<CallBudget>,
    started_at: Instant,
}

impl CallGate {
    async fn enter(&self) -> Result<(), PlatformError> {
        let deadline = Instant::now() + BUDGET_WAIT_MAX;
        loop {
            let now = MonoTime::START.after(self.started_at.elapsed());
            let Err(wait) = self.budget.try_take(now) else {
                return Ok(());
            };
            if Instant::now() + wait > deadline {
                return Err(PlatformError::OverBudget { wait });
            }
            // The timer of the runtime has a resolution of 1 ms; a shorter sleep would not wait.
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
    /// Makes a client of three calls.
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

    /// Makes a client whose calls wait until the budget allows them.
    pub fn with_budget(self, budget: Arc<CallBudget>) -> Self {
        let client = Arc::new(self);
        let gate = Arc::new(CallGate {
            budget,
            started_at: Instant::now(),
        });
        let (reader, read_gate) = (client.clone(), gate.clone());
        let (waiter, wait_gate) = (client.clone(), gate.clone());
        Self::new(
            move |name| {
                let (client, gate) = (reader.clone(), read_gate.clone());
                Box::pin(async move {
                    gate.enter().await?;
                    client.read(&name).await
                })
            },
            move |name, version| {
                let (client, gate) = (waiter.clone(), wait_gate.clone());
                Box::pin(async move {
                    gate.enter().await?;
                    client.wait_newer(&name, version).await
                })
            },
            move || {
                let (client, gate) = (client.clone(), gate.clone());
                Box::pin(async move {
                    gate.enter().await?;
                    client.list_hosts().await
                })
            },
        )
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached or has no such value.
    pub async fn read(&self, name: &str) -> Result<PlatformValue, PlatformError> {
        (self.read)(name.into()).await
    }

    /// Waits for a newer version of a value; `None` when none came within the platform's time.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached or has no such value.
    pub async fn wait_newer(
        &self,
        name: &str,
        version: ConfigVersion,
    ) -> Result<Option<PlatformValue>, PlatformError> {
        (self.wait_newer)(name.into(), version).await
    }

    /// Lists the hosts. The list lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached.
    pub async fn list_hosts(&self) -> Result<Vec<HostListing>, PlatformError> {
        (self.list_hosts)().await
    }
}
