//! A write of a backend's entry is done late, after the backend has removed its entry.

use std::{path::Path, thread, time::Duration};

use crate::{Deployment, Outcome, caller::CallerRequest, config, has_trouble};

/// Time from the acknowledgement after which a leaving backend must get no request: `drainS`.
const DRAIN_MS: u64 = 2000;

/// Time from the write that gets no answer to the removal: longer than `stableS`.
const STABLE: Duration = Duration::from_millis(3300);

/// Time from the removal until the delayed write is done, 5.8 s after it was sent.
const DELAY: Duration = Duration::from_millis(2500);

/// Time for which the leaving backend serves on, and requests are sent.
const SERVE_MS: u64 = 6000;

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

pub fn run(path: &Path) -> std::io::Result<Outcome> {
    let run = Deployment::start(
        path,
        &config(5, &[("weavers", &[KEY])]),
        Duration::from_millis(20),
    )?;
    let (record, leaving) = (&run.record, &run.backends[0]);
    let delayed = leaving.delayed_write();
    thread::sleep(STABLE);
    leaving.leave();
    let acknowledged_at = record.now();
    record.add(&format!(
        "leaving   {} has removed its entry, acknowledged",
        leaving.id()
    ));
    thread::sleep(DELAY);
    if has_trouble() {
        run.store.write(&leaving.key(), Some(&delayed));
        record.add(&format!(
            "late      the delayed write of {} is done",
            leaving.id()
        ));
    }
    let mut connections = Vec::new();
    for gateway in &run.fleet.gateways {
        connections.push(gateway.connect()?);
    }
    let mut number = 0;
    while record.now() < acknowledged_at + SERVE_MS {
        for (gateway, connection) in connections.iter_mut().enumerate() {
            let id = format!("look-{number}-{gateway}");
            let request = CallerRequest {
                line: "GET /look/1",
                id: &id,
                key: KEY,
                deadline_ms: 2000,
            };
            request.exchange(connection, record)?;
        }
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let runs = run.runs.lock().unwrap();
    let is_late = |at: u64| at > acknowledged_at + DRAIN_MS;
    let broken: Vec<_> = runs
        .iter()
        .filter(|run| run.backend == leaving.id() && is_late(run.at))
        .collect();
    for run in &broken {
        let after = run.at - acknowledged_at;
        record.add(&format!(
            "BROKEN    id={} reached {} {after} ms after it was gone",
            run.id, run.backend
        ));
    }
    println!(
        "{number} rounds of requests, {} requests reached the backend that had left",
        broken.len()
    );
    Ok(if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
