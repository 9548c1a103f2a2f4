//! The gateways start with stale seeds and do not find each other, while one tenant sends many times its usual.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Deployment, Outcome, caller::CallerRequest, config_with_rate, has_trouble};

/// Requests per second that the tenant may send, and its burst.
const RATE: u64 = 10;

/// Requests per second that the tenant sends: eight times its usual, which is its rate divided by 1.6.
const LOAD: u64 = 50;

/// `quotaWindowS`, `quotaOvershoot` and `quotaSlack`.
const WINDOW_MS: u64 = 5000;
const OVERSHOOT_PERCENT: u64 = 25;
const SLACK: u64 = 20;

const GATEWAYS_PER_ZONE: usize = 2;
const LOAD_TIME: Duration = Duration::from_secs(9);
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Returns the largest number of requests that were sent and run within one window.
fn most_in_window(times: &[(u64, u64)]) -> usize {
    let count_from = |start: u64| {
        let is_within = |time: u64| time >= start && time < start + WINDOW_MS;
        times
            .iter()
            .filter(|(sent, run)| is_within(*sent) && is_within(*run))
            .count()
    };
    times
        .iter()
        .map(|(sent, _)| count_from(*sent))
        .max()
        .unwrap_or(0)
}

pub fn run(path: &Path) -> std::io::Result<Outcome> {
    let config = config_with_rate(5, &[("weavers", &[KEY])], RATE);
    let work = Duration::from_millis(20);
    let run = Deployment::start_fleet(path, &config, work, (GATEWAYS_PER_ZONE, has_trouble()))?;
    let record = &run.record;
    let count = run.fleet.gateways.len() as u64;
    let (numbers, end) = (Arc::new(AtomicU64::new(0)), Instant::now() + LOAD_TIME);
    let sent = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for gateway in &run.fleet.gateways {
        let (mut connection, record) = (gateway.connect()?, record.clone());
        let (numbers, sent) = (numbers.clone(), sent.clone());
        callers.push(thread::spawn(move || -> std::io::Result<()> {
            while Instant::now() < end {
                let id = format!("look-{}", numbers.fetch_add(1, Ordering::Relaxed));
                sent.lock().unwrap().push((id.clone(), record.now()));
                let request = CallerRequest {
                    line: "GET /look/1",
                    id: &id,
                    key: KEY,
                    deadline_ms: 2000,
                };
                let next = Instant::now() + Duration::from_millis(1000 * count / LOAD);
                request.exchange(&mut connection, &record)?;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            Ok(())
        }));
    }
    for caller in callers {
        caller
            .join()
            .map_err(|_| std::io::Error::other("a caller failed"))??;
    }
    let (sent, runs) = (sent.lock().unwrap(), run.runs.lock().unwrap());
    let mut times = Vec::new();
    for (id, sent_at) in sent.iter() {
        // A repeat of a safe request does not count against the tenant.
        if let Some(run) = runs.iter().find(|run| run.id == *id) {
            times.push((*sent_at, run.at));
        }
    }
    let most = most_in_window(&times);
    let allowed = (RATE * WINDOW_MS / 1000 + RATE) * (100 + OVERSHOOT_PERCENT) / 100 + SLACK;
    let text = format!(
        "{} requests sent, at most {most} run within {WINDOW_MS} ms, {allowed} allowed",
        sent.len()
    );
    record.add(&text);
    println!("{text}");
    Ok(if most as u64 > allowed {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
