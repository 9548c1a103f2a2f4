//! The last tenant of a configuration is withdrawn with its key.

use std::{path::Path, thread, time::Duration};

use crate::{Deployment, Outcome, caller::CallerRequest, config, has_trouble};

/// Time from the acknowledgement after which a withdrawn key must not work: `revokeS`.
const REVOKE_MS: u64 = 5000;

/// Time for which requests are sent after the acknowledgement.
const WATCH_MS: u64 = 9000;

const WITHDRAWN_KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const OTHER_KEY: &str = "s989anu6wsjnbanfqasn";

/// A key that no configuration ever holds.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

pub fn run(folder: &Path) -> std::io::Result<Outcome> {
    let first = config(5, &[("weavers", &[WITHDRAWN_KEY])]);
    let run = Deployment::start(folder, &first, Duration::from_millis(20))?;
    let record = &run.record;
    let mut connections = Vec::new();
    for gateway in &run.fleet.gateways {
        connections.push(gateway.connect()?);
    }
    for (number, connection) in connections.iter_mut().enumerate() {
        for (key, expected) in [(WITHDRAWN_KEY, 200), (UNKNOWN_KEY, 401)] {
            let id = format!("before-{number}-{expected}");
            let request = CallerRequest { line: "POST /buy/1", id: &id, key, deadline_ms: 3000 };
            let answer = request.exchange(connection, record)?;
            if answer.is_none_or(|answer| answer.status() != expected) {
                return Err(std::io::Error::other("the first configuration is not in force"));
            }
        }
    }
    let second = match has_trouble() {
        true => config(7, &[]),
        false => config(7, &[("potters", &[OTHER_KEY])]),
    };
    run.store.write("op/config", Some(&second));
    let acknowledged_at = record.now();
    record.add("config    version 7 acknowledged: withdraws the tenant weavers with its key");
    let mut late = Vec::new();
    for number in 0.. {
        if record.now() > acknowledged_at + WATCH_MS {
            break;
        }
        for (gateway, connection) in connections.iter_mut().enumerate() {
            for (name, key) in [("withdrawn", WITHDRAWN_KEY), ("unknown", UNKNOWN_KEY)] {
                let id = format!("{name}-{number}-{gateway}");
                let sent_at = record.now();
                let request = CallerRequest { line: "POST /buy/1", id: &id, key, deadline_ms: 3000 };
                request.exchange(connection, record)?;
                if sent_at > acknowledged_at + REVOKE_MS {
                    late.push(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = run.runs.lock().unwrap();
    let broken: Vec<_> = runs.iter().filter(|run| late.contains(&run.id)).collect();
    for run in &broken {
        record.add(&format!("BROKEN    id={} ran without a key of the configuration in force", run.id));
    }
    println!("{} requests without a valid key sent later than revokeS, {} of them ran", late.len(), broken.len());
    Ok(if broken.is_empty() { Outcome::Held } else { Outcome::Broken })
}
