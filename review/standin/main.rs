//! Stand-ins and cases of the review. Usage: `review-standin CASE RECORD`; the environment variable `TROUBLE=0` leaves
//! the disruption out. Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod backend;
mod caller;
mod gateway;
mod http;
mod late_write;
mod record;
mod refused_config;
mod stale_seeds;
mod store;
mod wire;

use std::{
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{Backend, RunRequest};
use gateway::Fleet;
use record::Record;
use store::Store;

/// Zones of the deployment, with two backends each.
const ZONES: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
}

/// A small deployment.
pub struct Deployment {
    pub store: Store,
    pub backends: Vec<Backend>,
    pub fleet: Fleet,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<RunRequest>>>,
}

/// Name and keys of a tenant.
pub type TenantKeys<'a> = (&'a str, &'a [&'a str]);

/// Returns a configuration with a safe and an unsafe route, which need a key, and tenants without a limit.
pub fn config(version: u64, tenants: &[TenantKeys<'_>]) -> String {
    config_with_rate(version, tenants, 0)
}

/// Returns a configuration like [`config`] whose tenants have a rate, and a burst of the same size; 0 is no limit.
pub fn config_with_rate(version: u64, tenants: &[TenantKeys<'_>], rate: u64) -> String {
    let route = |prefix, kind| {
        let values = [("host", caller::HOST), ("prefix", prefix), ("kind", kind)];
        wire::fill(wire::ROUTE, &values)
    };
    let rate = rate.to_string();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            let values = [("name", *name), ("keys", &keys.join(",")), ("rate", &rate)];
            wire::fill(wire::TENANT, &values)
        })
        .collect();
    let values = [
        ("version", version.to_string()),
        ("look", route("/look/", "safe")),
        ("buy", route("/buy/", "unsafe")),
        ("tenants", tenants.join(",")),
    ];
    wire::fill(
        wire::CONFIG,
        &values
            .each_ref()
            .map(|(name, value)| (*name, value.as_str())),
    )
}

impl Deployment {
    /// Starts the store with a first configuration, the backends, which work on a request for `work`, and a gateway in
    /// each zone.
    pub fn start(path: &Path, config: &str, work: Duration) -> std::io::Result<Self> {
        Self::start_fleet(path, config, work, (1, false))
    }

    /// Starts a deployment like [`Self::start`] with a number of gateways in each zone, and with seeds that may be stale.
    pub fn start_fleet(
        path: &Path,
        config: &str,
        work: Duration,
        (per_zone, has_stale_seeds): (usize, bool),
    ) -> std::io::Result<Self> {
        let record = Record::new(path)?;
        // Loopback addresses of this run only.
        let id = std::process::id();
        let net = format!("127.{}.{}", 64 + (id >> 8) % 128, id % 256);
        let store = Store::start(&format!("{net}.1"))?;
        store.write(wire::name("config-key"), Some(config));
        let runs = Arc::default();
        let mut backends = Vec::new();
        for (number, zone) in ZONES.iter().flat_map(|zone| [zone, zone]).enumerate() {
            let (ip, id) = (
                format!("{net}.{}", 101 + number),
                format!("i-{:08x}", 0x7f3a_91c2 + number),
            );
            backends.push(Backend::start(
                (&ip, &id, zone),
                work,
                &store,
                &record,
                &runs,
            )?);
        }
        let fleet = Fleet::start((&net, &ZONES, store.address), per_zone, has_stale_seeds)?;
        record.add("all gateways are ready");
        // The gateways find each other and read the entries of the backends.
        std::thread::sleep(Duration::from_secs(4));
        Ok(Self {
            store,
            backends,
            fleet,
            record,
            runs,
        })
    }
}

/// Returns `true` unless the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let path = Path::new(path);
    let outcome = match case.as_str() {
        "refused-config" => refused_config::run(path),
        "stale-seeds" => stale_seeds::run(path),
        "late-write" => late_write::run(path),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
