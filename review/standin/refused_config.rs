//! A key is withdrawn by a configuration that also adds a tenant whose name has a capital letter.

use std::{path::Path, thread, time::Duration};

use crate::{Deployment, Outcome, caller::CallerRequest, config, has_trouble, wire};

/// Time from the acknowledgement after which a withdrawn key must not work: `revokeS`.
const REVOKE_MS: u64 = 5000;

/// Time for which requests with the withdrawn key are sent after the acknowledgement.
const WATCH_MS: u64 = 12_000;

const KEPT_KEY: &str = "s989anu6wsjnbanfqasn";
const WITHDRAWN_KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const NEW_KEY: &str = "k4t0w7c1q9xz3m5v8b2n";

pub fn run(path: &Path) -> std::io::Result<Outcome> {
    let first = config(5, &[("weavers", &[WITHDRAWN_KEY, KEPT_KEY])]);
    let run = Deployment::start(path, &first, Duration::from_millis(20))?;
    let record = &run.record;
    let mut connections = Vec::new();
    for gateway in &run.fleet.gateways {
        connections.push(gateway.connect()?);
    }
    for (number, connection) in connections.iter_mut().enumerate() {
        let id = format!("before-{number}");
        let request = CallerRequest {
            line: "POST /buy/1",
            id: &id,
            key: WITHDRAWN_KEY,
            deadline_ms: 3000,
        };
        let answer = request.exchange(connection, record)?;
        if answer.is_none_or(|answer| answer.status() != 200) {
            return Err(std::io::Error::other(
                "a request with a valid key was not served",
            ));
        }
    }
    let new_name = match has_trouble() {
        true => "Sohar-Coop",
        false => "sohar-coop",
    };
    run.store.write(
        wire::name("config-key"),
        Some(&config(
            7,
            &[("weavers", &[KEPT_KEY]), (new_name, &[NEW_KEY])],
        )),
    );
    let acknowledged_at = record.now();
    record.add(&format!(
        "config    version 7 acknowledged: withdraws {WITHDRAWN_KEY}, adds tenant {new_name}"
    ));
    let mut late = Vec::new();
    for number in 0.. {
        let sent_at = record.now();
        if sent_at > acknowledged_at + WATCH_MS {
            break;
        }
        for (gateway, connection) in connections.iter_mut().enumerate() {
            for (name, key) in [("withdrawn", WITHDRAWN_KEY), ("new", NEW_KEY)] {
                let id = format!("{name}-{number}-{gateway}");
                let sent_at = record.now();
                let request = CallerRequest {
                    line: "POST /buy/1",
                    id: &id,
                    key,
                    deadline_ms: 3000,
                };
                request.exchange(connection, record)?;
                if key == WITHDRAWN_KEY && sent_at > acknowledged_at + REVOKE_MS {
                    late.push(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = run.runs.lock().unwrap();
    let broken: Vec<_> = runs.iter().filter(|run| late.contains(&run.id)).collect();
    for run in &broken {
        let after = run.at - acknowledged_at;
        record.add(&format!(
            "BROKEN    id={} ran for {} {after} ms after its key was withdrawn",
            run.id, run.tenant
        ));
    }
    println!(
        "{} requests with the withdrawn key sent later than revokeS, {} of them ran",
        late.len(),
        broken.len()
    );
    Ok(if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
