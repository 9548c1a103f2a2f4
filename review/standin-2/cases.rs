//! The cases.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use crate::world::{
    Action, Ask, Backend, Client, HEARTBEAT, World, config, header, lock, signature, wire,
};

const TENANTS: &str = include_str!("wire/tenants.json");
const MS: fn(u64) -> Duration = Duration::from_millis;

pub fn run(name: &str, folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::new(folder).map_err(|error| error.to_string())?;
    let broken = match name {
        "interim" => interim(&mut world, has_trouble),
        "old-incarnation" => old_incarnation(&mut world, has_trouble),
        "cold-again" => cold_again(&mut world, has_trouble),
        "reborn-cold" => reborn_cold(&mut world, has_trouble),
        "grey-refusal" => grey_refusal(&mut world, has_trouble),
        "late-write" => late_write(&mut world, has_trouble),
        "new-reader" => new_reader(&mut world, has_trouble),
        "last-tenant" => last_tenant(&mut world, has_trouble),
        _ => Err(format!("no case {name}")),
    }?;
    for gateway in &mut world.gateways {
        if gateway.has_ended() {
            return Err("a gateway has ended by itself".to_owned());
        }
    }
    Ok(broken)
}

fn text<E: std::fmt::Display>(error: E) -> String {
    error.to_string()
}

fn verdict(world: &World, is_broken: bool, what: &str) -> Result<bool, String> {
    world.record.say(&format!(
        "{}: {what}",
        if is_broken { "BROKEN" } else { "held" }
    ));
    Ok(is_broken)
}

/// A backend in trouble answers with status 101 to a request that asked for no upgrade.
fn interim(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    for n in 1..=3u8 {
        // One backend of three spoils one in 34 of its answers: less than 0.03 of them.
        let is_faulty = has_trouble && n == 1;
        let count = AtomicU64::new(0);
        let handler = move |_: &Backend, head: &str| {
            let is_spoilt = is_faulty
                && head.starts_with("POST /buy/")
                && count.fetch_add(1, Ordering::Relaxed) % 34 == 33;
            if !is_spoilt {
                return Action::Run;
            }
            let id = header(head, "x-request-id").unwrap_or_default();
            let text = format!(
                "HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: {id}\r\n{}\r\n",
                signature()
            );
            Action::Write(text.into_bytes())
        };
        let id = format!("i-{n}");
        let backend = Backend::start(
            (&id, "rate", "akl-a"),
            (world.ip(100 + n), 2, MS(20)),
            &world.record,
            Arc::new(handler),
        )
        .map_err(text)?;
        backend.register(&world.store);
    }
    world.start_gateways(1)?;
    sleep(MS(1500));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (front, record) = (world.gateways[0].front, world.record.clone());
            std::thread::spawn(move || {
                let statuses = (0..100).map(|n| {
                    sleep(MS(20));
                    let id = format!("buy-{client}-{n}");
                    let ask = Ask {
                        method: "POST",
                        path: "/buy/a",
                        id: &id,
                        key: Some("k1"),
                        body: b"order",
                        deadline: MS(2000),
                    };
                    let client = Client::connect(front);
                    client.map_or(0, |mut client| client.ask(&ask, &record).status)
                });
                statuses.collect::<Vec<u16>>()
            })
        })
        .collect();
    let statuses = clients.into_iter().filter_map(|client| client.join().ok());
    let statuses: Vec<u16> = statuses.flatten().collect();
    let count = |is_counted: fn(&u16) -> bool| statuses.iter().copied().filter(is_counted).count();
    let (answered, wrong) = (count(|status| *status != 0), count(|status| *status == 101));
    verdict(
        world,
        wrong > 0,
        &format!(
            "{answered} of {} requests were answered, {wrong} of them with 101 and nothing else",
            statuses.len()
        ),
    )
}

/// A backend with a gray failure runs requests and then fails them with 503, without the header that says "not run".
fn grey_refusal(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let mut backends = Vec::new();
    let is_failing = Arc::new(AtomicBool::new(false));
    for n in 1..=8u8 {
        // One backend of eight fails two in five of its unsafe requests.
        let is_failing = (n == 1).then(|| is_failing.clone());
        let count = AtomicU64::new(0);
        let handler = move |_: &Backend, head: &str| {
            let is_faulty = is_failing
                .as_ref()
                .is_some_and(|is_failing| is_failing.load(Ordering::Relaxed));
            let fails = is_faulty
                && head.starts_with("POST /buy/")
                && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
            if !fails {
                return Action::Run;
            }
            let id = header(head, "x-request-id").unwrap_or_default();
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {id}\r\n{}Content-Length: 6\r\n\r\nfailed",
                signature()
            );
            Action::Write(text.into_bytes())
        };
        let id = format!("i-{n}");
        let backend = Backend::start(
            (&id, "rate", "akl-a"),
            (world.ip(100 + n), 2, MS(20)),
            &world.record,
            Arc::new(handler),
        )
        .map_err(text)?;
        backend.register(&world.store);
        backends.push(backend);
    }
    world.start_gateways(1)?;
    sleep(MS(1500));
    let (mut refused, mut twice) = (0, 0);
    let runs = |id: &str| {
        backends
            .iter()
            .map(|backend| {
                lock(&backend.arrivals)
                    .iter()
                    .filter(|arrival| arrival.id == id && arrival.was_run)
                    .count()
            })
            .sum::<usize>()
    };
    is_failing.store(has_trouble, Ordering::Relaxed);
    let started_at = Instant::now();
    for n in 0.. {
        if started_at.elapsed() > MS(6000) {
            break;
        }
        let order = |attempt: u32| -> Result<(u16, usize), String> {
            let mut client = Client::connect(world.gateways[0].front).map_err(text)?;
            let id = format!("order-{n}-attempt-{attempt}");
            let ask = Ask {
                method: "POST",
                path: "/buy/a",
                id: &id,
                key: Some("k1"),
                body: b"order",
                deadline: MS(2000),
            };
            let answer = client.ask(&ask, &world.record);
            Ok((answer.status, runs(&id)))
        };
        let (status, run_count) = order(1)?;
        if [408, 421, 429, 503].contains(&status) {
            refused += usize::from(run_count > 0);
            // The promise says that the request has not run: the client sends the order once more.
            let (_, again) = order(2)?;
            twice += usize::from(run_count > 0 && again > 0);
        }
        sleep(MS(20));
    }
    verdict(
        world,
        refused > 0,
        &format!(
            "{refused} unsafe requests were answered with a promise that they had not run, and had run; {twice} orders ran twice, as their clients sent them again"
        ),
    )
}

/// Backends of a case, of which one is in trouble or leaves: the pages allow shares of 0.13 and 0.14.
const POOL: u8 = 8;

/// Starts and registers the backends i-1 to i-8, and returns the first one.
fn start_pool(world: &World) -> Result<Arc<Backend>, String> {
    let make = |n: u8| {
        let backend = Backend::start(
            (&format!("i-{n}"), "rate", "akl-a"),
            (world.ip(100 + n), 2, MS(20)),
            &world.record,
            Arc::new(|_: &Backend, _: &str| Action::Run),
        )
        .map_err(text)?;
        backend.register(&world.store);
        Ok::<_, String>(backend)
    };
    let first = make(1)?;
    for n in 2..=POOL {
        make(n)?;
    }
    Ok(first)
}

/// An earlier incarnation's last write got no answer and is done late, after the next incarnation has left.
fn old_incarnation(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let leaving = start_pool(world)?;
    world.start_gateways(2)?;
    sleep(MS(4000));
    // The last write of the first incarnation: the store will do it later.
    let late = leaving.next_entry();
    world
        .record
        .line(&format!("i-1 writes {late}, and gets no answer"));
    let lost_at = Instant::now();
    sleep(MS(50));
    world
        .record
        .line("i-1 crashes, and starts again under its id");
    leaving.be_reborn();
    sleep(MS(300));
    leaving.write_entry(&world.store);
    let traffic = Traffic::start(world, 24);
    let mut late_at = None;
    // Stable since the lost write: `stableS` and a little.
    sleep((lost_at + MS(3300)).saturating_duration_since(Instant::now()));
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    sleep((lost_at + MS(4500)).saturating_duration_since(Instant::now()));
    if has_trouble {
        world
            .record
            .line("the store does the late write of the first incarnation");
        late_at = Some(world.store.write("servers/i-1", Some(late)));
    }
    // Three heartbeats of silence later the store removes the entry.
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    judge_late(world, &leaving, left_at, late_at)
}

/// A backend's write that got no answer is done late, after the backend has left, and the host that reads the store has
/// changed in between by a planned stop.
fn new_reader(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let leaving = start_pool(world)?;
    world.start_gateways(3)?;
    sleep(MS(6000));
    let late = leaving.next_entry();
    world
        .record
        .line(&format!("i-1 writes {late}, and gets no answer"));
    let lost_at = Instant::now();
    let until = |at: u64| sleep((lost_at + MS(at)).saturating_duration_since(Instant::now()));
    let traffic = Traffic::start(world, 24);
    let mut late_at = None;
    until(3300);
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    until(3600);
    world.gateways[0].signal("TERM");
    world.record.line("gateway 1 gets SIGTERM");
    until(5500);
    if has_trouble {
        world.record.line("the store does the late write of i-1");
        late_at = Some(world.store.write("servers/i-1", Some(late)));
    }
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    world.gateways[0].kill();
    judge_late(world, &leaving, left_at, late_at)
}

/// A backend's write that got no answer is done late, after the backend has left.
fn late_write(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let leaving = start_pool(world)?;
    world.start_gateways(2)?;
    sleep(MS(6000));
    let late = leaving.next_entry();
    world
        .record
        .line(&format!("i-1 renews {late}, and gets no answer"));
    let lost_at = Instant::now();
    let until = |at: u64| sleep((lost_at + MS(at)).saturating_duration_since(Instant::now()));
    let traffic = Traffic::start(world, 24);
    let mut late_at = None;
    until(3300);
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    until(5500);
    if has_trouble {
        world.record.line("the store does the late write of i-1");
        late_at = Some(world.store.write("servers/i-1", Some(late)));
    }
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    judge_late(world, &leaving, left_at, late_at)
}

/// Judges the requests that ran at a backend which has left. Also those count as in time that arrive within `stableS` after
/// the late write, in case that counts as a disruption of the store.
fn judge_late(
    world: &World,
    leaving: &Backend,
    left_at: Instant,
    late_at: Option<Instant>,
) -> Result<bool, String> {
    let bound = left_at + MS(2000);
    let stable_at = late_at.map_or(bound, |late_at| bound.max(late_at + MS(3000)));
    let arrivals = lock(&leaving.arrivals);
    if arrivals.is_empty() {
        return Err("i-1 got no request at all".to_owned());
    }
    let count_after = |time: Instant| {
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.at > time + MS(100) && arrival.was_run);
        late.count()
    };
    let (late_count, settled_count) = (count_after(bound), count_after(stable_at));
    let last = arrivals.iter().map(|arrival| arrival.at).max();
    verdict(
        world,
        settled_count > 0,
        &format!(
            "{} requests ran at i-1, {late_count} of them later than drainS after the store had acknowledged that it is gone, {settled_count} of these later than stableS after the late write; the last {:.2} s after the acknowledgement",
            arrivals.len(),
            last.map_or(0.0, |last| last
                .saturating_duration_since(left_at)
                .as_secs_f64())
        ),
    )
}

/// A steady flow of requests, each client on a kept connection.
struct Traffic {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Traffic {
    fn start(world: &World, clients: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..clients).map(|client| {
            let front = world.gateways[client % world.gateways.len()].front;
            let (is_over, record) = (is_over.clone(), world.record.clone());
            std::thread::spawn(move || {
                let mut connection = None;
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Some(open) = connection.take().or_else(|| Client::connect(front).ok())
                    else {
                        sleep(MS(100));
                        continue;
                    };
                    let mut open = open;
                    count += 1;
                    let id = format!("c{client}-{count}");
                    let ask = Ask {
                        method: "POST",
                        path: "/buy/a",
                        id: &id,
                        key: Some("k1"),
                        body: b"order",
                        deadline: MS(2000),
                    };
                    let answer = open.ask(&ask, &record);
                    let is_kept = answer.is_whole
                        && answer.status != 0
                        && !header(&answer.head, "connection")
                            .is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    connection = is_kept.then_some(open);
                    sleep(MS(if answer.status == 200 { 20 } else { 100 }));
                }
            })
        });
        Self {
            is_over: is_over.clone(),
            threads: threads.collect(),
        }
    }

    fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

const WARMUP: Duration = Duration::from_secs(3);

/// Starts a backend that crashes when it gets twice the bound of requests in a second while it is cold.
fn start_fragile(
    world: &World,
    (id, zone): (&str, &str),
    last: u8,
) -> Result<Arc<Backend>, String> {
    const CRASH_COUNT: usize = 24;
    let handler = |backend: &Backend, _: &str| {
        let is_overrun = !backend.cold_left().is_zero() && {
            let arrivals = lock(&backend.arrivals);
            let now = Instant::now();
            arrivals
                .iter()
                .rev()
                .take_while(|arrival| now - arrival.at < MS(1000))
                .count()
                >= CRASH_COUNT
        };
        match is_overrun {
            true => Action::Crash,
            false => Action::Run,
        }
    };
    let address = (world.ip(last), 2, MS(25));
    Backend::start(
        (id, "rate", zone),
        address,
        &world.record,
        Arc::new(handler),
    )
    .map_err(text)
}

/// Judges the most requests that a backend got in one second of its cold time.
fn judge_cold(
    world: &World,
    cold: &Backend,
    (from, until): (Instant, Instant),
) -> Result<bool, String> {
    let limit = (4.7f64 * 1.5 + 5.0).floor() as usize;
    let arrivals = lock(&cold.arrivals);
    let times: Vec<Instant> = arrivals
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= from && *at < until)
        .collect();
    let in_second = |from: &Instant| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < *from + MS(1000))
            .count()
    };
    let most = times.iter().map(in_second).max().unwrap_or(0);
    let crash = if cold.has_crashed() {
        ", and crashed"
    } else {
        ""
    };
    verdict(
        world,
        most > limit,
        &format!(
            "the cold backend got up to {most} requests in one second{crash}; {limit} are allowed"
        ),
    )
}

/// A cold backend becomes cold again before it is warm.
fn cold_again(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let cold = start_fragile(world, ("i-1", "akl-a"), 101)?;
    for n in 2..=POOL {
        let other = start_fragile(world, (&format!("i-{n}"), "akl-a"), 100 + n)?;
        other.register(&world.store);
    }
    world.start_gateways(1)?;
    let traffic = Traffic::start(world, 24);
    sleep(MS(4000));
    let cold_from = Instant::now();
    *lock(&cold.cold_until) = Some(cold_from + WARMUP);
    cold.register(&world.store);
    sleep(MS(2000));
    if has_trouble {
        *lock(&cold.cold_until) = Some(Instant::now() + WARMUP);
        world
            .record
            .line("i-1 is cold again, for 3 s, and its entry says so");
        cold.write_entry(&world.store);
    }
    let cold_end = lock(&cold.cold_until).unwrap_or_else(Instant::now);
    sleep(cold_end.saturating_duration_since(Instant::now()) + MS(1000));
    traffic.stop();
    judge_cold(world, &cold, (cold_from, cold_end))
}

/// A backend crashes and starts again under its id, cold. Then the store does a write of the first incarnation, which got no
/// answer; the next heartbeat of the second one replaces it.
fn reborn_cold(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let backend = start_fragile(world, ("i-1", "akl-a"), 101)?;
    backend.register(&world.store);
    for n in 2..=POOL {
        let other = start_fragile(world, (&format!("i-{n}"), "akl-a"), 100 + n)?;
        other.register(&world.store);
    }
    world.start_gateways(1)?;
    let traffic = Traffic::start(world, 24);
    sleep(MS(4000));
    // From here on the case itself writes the entries of i-1.
    backend.is_registered.store(false, Ordering::Relaxed);
    let late = backend.next_entry();
    world
        .record
        .line(&format!("i-1 renews {late}, and gets no answer"));
    let lost_at = Instant::now();
    let until = |at: u64| sleep((lost_at + MS(at)).saturating_duration_since(Instant::now()));
    until(50);
    world.record.line("i-1 crashes");
    backend.set_down(true);
    until(2000);
    world.record.line("i-1 starts again under its id, cold");
    lock(&backend.arrivals).clear();
    backend.be_reborn();
    let cold_from = Instant::now();
    *lock(&backend.cold_until) = Some(cold_from + WARMUP);
    backend.set_down(false);
    backend.write_entry(&world.store);
    until(2800);
    if has_trouble {
        world
            .record
            .line("the store does the late write of the first incarnation");
        world.store.write(&backend.key(), Some(late));
    }
    until(3500);
    backend.write_entry(&world.store);
    until(5000);
    backend.write_entry(&world.store);
    until(5500);
    traffic.stop();
    judge_cold(world, &backend, (cold_from, cold_from + WARMUP))
}

/// A new version takes the only tenant away.
fn last_tenant(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let backend = Backend::start(
        ("i-1", "rate", "akl-a"),
        (world.ip(101), 2, MS(20)),
        &world.record,
        Arc::new(|_: &Backend, _: &str| Action::Run),
    )
    .map_err(text)?;
    backend.register(&world.store);
    world.start_gateways(2)?;
    sleep(MS(1500));
    let tenants = match has_trouble {
        true => "{}",
        false => include_str!("wire/tenants-without-keys.json"),
    };
    let taken_at = world.store.write(wire("config"), Some(config(7, tenants)));
    sleep(MS(5200).saturating_sub(taken_at.elapsed()));
    let mut ran = 0;
    for n in 0..10 {
        let mut client = Client::connect(world.gateways[n % 2].front).map_err(text)?;
        let id = format!("buy-{n}");
        let ask = Ask {
            method: "POST",
            path: "/buy/a",
            id: &id,
            key: Some("k1"),
            body: b"order",
            deadline: MS(2000),
        };
        client.ask(&ask, &world.record);
        ran += usize::from(
            lock(&backend.arrivals)
                .iter()
                .any(|arrival| arrival.id == id && arrival.was_run),
        );
        sleep(MS(100));
    }
    verdict(
        world,
        ran > 0,
        &format!("{ran} of 10 requests ran with a key that a configuration took away 5.2 s before"),
    )
}
