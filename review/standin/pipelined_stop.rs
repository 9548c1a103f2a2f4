//! A gateway is stopped as planned while a connection has two requests.

use std::{path::Path, thread, time::Duration};

use crate::{
    Deployment, Outcome,
    caller::{CallerRequest, record_answer},
    config,
    gateway::Signal,
    has_trouble,
};

/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(1000);

/// Time after the last byte of a request from which a closed connection counts: `lossSlackS`.
const LOSS_SLACK_MS: u64 = 200;

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

pub fn run(folder: &Path) -> std::io::Result<Outcome> {
    let run = Deployment::start(folder, &config(5, &[("weavers", &[KEY])]), WORK)?;
    let record = &run.record;
    let gateway = &run.fleet.gateways[0];
    let mut connection = gateway.connect()?;
    let request = |id| CallerRequest { line: "GET /look/1", id, key: KEY, deadline_ms: 4000 };
    for id in ["first", "second"] {
        record.add(&format!("sent      id={id}"));
        connection.write(request(id).text().as_bytes())?;
    }
    let sent_at = record.now();
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        gateway.signal(Signal::Terminate)?;
        record.add("SIGTERM   to the gateway");
    }
    let mut lost = Vec::new();
    for id in ["first", "second"] {
        let answer = connection.read().unwrap_or(None);
        record_answer(record, id, answer.as_ref());
        if answer.is_none() {
            let after = record.now() - sent_at;
            record.add(&format!("connection of id={id} ended {after} ms after the last byte of the request"));
            if after > LOSS_SLACK_MS {
                lost.push(id);
            }
        }
    }
    println!("requests without an answer: {lost:?}");
    Ok(if lost.is_empty() { Outcome::Held } else { Outcome::Broken })
}
