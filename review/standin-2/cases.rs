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
        // One backend of three spoils two in five of its answers on the unsafe route.
        let is_faulty = has_trouble && n == 1;
        let count = AtomicU64::new(0);
        let handler = move |_: &Backend, head: &str| {
            let is_spoilt = is_faulty
                && head.starts_with("POST /buy/")
                && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
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
    let (mut count, mut wrong) = (0, 0);
    for n in 0..60 {
        let mut client = Client::connect(world.gateways[0].front).map_err(text)?;
        let id = format!("buy-{n}");
        let ask = Ask {
            method: "POST",
            path: "/buy/a",
            id: &id,
            key: Some("k1"),
            body: b"order",
            deadline: MS(2000),
        };
        let answer = client.ask(&ask, &world.record);
        count += usize::from(answer.status != 0);
        wrong += usize::from(answer.status == 101);
        sleep(MS(100));
    }
    verdict(
        world,
        wrong > 0,
        &format!("{count} of 60 requests were answered, {wrong} of them with 101 and nothing else"),
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

/// An earlier incarnation's last write got no answer and is done late, after the next incarnation has left.
fn old_incarnation(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let make = |id: &str, last: u8| {
        Backend::start(
            (id, "rate", "akl-a"),
            (world.ip(last), 2, MS(20)),
            &world.record,
            Arc::new(|_: &Backend, _: &str| Action::Run),
        )
    };
    let (leaving, other) = (
        make("i-1", 101).map_err(text)?,
        make("i-2", 102).map_err(text)?,
    );
    leaving.register(&world.store);
    other.register(&world.store);
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
    let traffic = Traffic::start(world, 6);
    // Stable since the lost write: `stableS` and a little.
    sleep((lost_at + MS(3300)).saturating_duration_since(Instant::now()));
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    sleep((lost_at + MS(4500)).saturating_duration_since(Instant::now()));
    if has_trouble {
        world
            .record
            .line("the store does the late write of the first incarnation");
        world.store.write("servers/i-1", Some(late));
    }
    // Three heartbeats of silence later the store removes the entry.
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    let bound = left_at + MS(2000);
    let arrivals = lock(&leaving.arrivals);
    if arrivals.is_empty() {
        return Err("i-1 got no request at all".to_owned());
    }
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound + MS(100) && arrival.was_run)
        .collect();
    verdict(
        world,
        !late.is_empty(),
        &format!(
            "{} requests ran at i-1, {} of them later than drainS after the store had acknowledged that it is gone (the last {:.2} s after it)",
            arrivals.len(),
            late.len(),
            late.last()
                .map_or(0.0, |arrival| (arrival.at - left_at).as_secs_f64())
        ),
    )
}

/// A backend's write that got no answer is done late, after the backend has left, and the host that reads the store has
/// changed in between by a planned stop.
fn new_reader(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let make = |id: &str, last: u8| {
        Backend::start(
            (id, "rate", "akl-a"),
            (world.ip(last), 2, MS(20)),
            &world.record,
            Arc::new(|_: &Backend, _: &str| Action::Run),
        )
    };
    let (leaving, other) = (
        make("i-1", 101).map_err(text)?,
        make("i-2", 102).map_err(text)?,
    );
    leaving.register(&world.store);
    other.register(&world.store);
    world.start_gateways(3)?;
    sleep(MS(6000));
    let late = leaving.next_entry();
    world
        .record
        .line(&format!("i-1 writes {late}, and gets no answer"));
    let lost_at = Instant::now();
    let until = |at: u64| sleep((lost_at + MS(at)).saturating_duration_since(Instant::now()));
    let traffic = Traffic::start(world, 6);
    until(3300);
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    until(3600);
    world.gateways[0].signal("TERM");
    world.record.line("gateway 1 gets SIGTERM");
    until(5500);
    if has_trouble {
        world.record.line("the store does the late write of i-1");
        world.store.write("servers/i-1", Some(late));
    }
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    world.gateways[0].kill();
    let bound = left_at + MS(2000);
    let arrivals = lock(&leaving.arrivals);
    if arrivals.is_empty() {
        return Err("i-1 got no request at all".to_owned());
    }
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound + MS(100) && arrival.was_run)
        .collect();
    verdict(
        world,
        !late.is_empty(),
        &format!(
            "{} requests ran at i-1, {} of them later than drainS after the store had acknowledged that it is gone (the last {:.2} s after it)",
            arrivals.len(),
            late.len(),
            late.last()
                .map_or(0.0, |arrival| (arrival.at - left_at).as_secs_f64())
        ),
    )
}

/// A backend's write that got no answer is done late, after the backend has left.
fn late_write(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let make = |id: &str, last: u8| {
        Backend::start(
            (id, "rate", "akl-a"),
            (world.ip(last), 2, MS(20)),
            &world.record,
            Arc::new(|_: &Backend, _: &str| Action::Run),
        )
    };
    let (leaving, other) = (
        make("i-1", 101).map_err(text)?,
        make("i-2", 102).map_err(text)?,
    );
    leaving.register(&world.store);
    other.register(&world.store);
    world.start_gateways(2)?;
    sleep(MS(6000));
    let late = leaving.next_entry();
    world
        .record
        .line(&format!("i-1 renews {late}, and gets no answer"));
    let lost_at = Instant::now();
    let until = |at: u64| sleep((lost_at + MS(at)).saturating_duration_since(Instant::now()));
    let traffic = Traffic::start(world, 6);
    until(3300);
    leaving.is_registered.store(false, Ordering::Relaxed);
    let left_at = world.store.write("servers/i-1", None);
    until(5500);
    if has_trouble {
        world.record.line("the store does the late write of i-1");
        world.store.write("servers/i-1", Some(late));
    }
    sleep(3 * HEARTBEAT);
    if has_trouble {
        world.store.write("servers/i-1", None);
    }
    traffic.stop();
    let bound = left_at + MS(2000);
    let arrivals = lock(&leaving.arrivals);
    if arrivals.is_empty() {
        return Err("i-1 got no request at all".to_owned());
    }
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound + MS(100) && arrival.was_run)
        .collect();
    verdict(
        world,
        !late.is_empty(),
        &format!(
            "{} requests ran at i-1, {} of them later than drainS after the store had acknowledged that it is gone (the last {:.2} s after it)",
            arrivals.len(),
            late.len(),
            late.last()
                .map_or(0.0, |arrival| (arrival.at - left_at).as_secs_f64())
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

/// A cold backend becomes cold again before it is warm.
fn cold_again(world: &mut World, has_trouble: bool) -> Result<bool, String> {
    const WARMUP: Duration = Duration::from_secs(3);
    /// Requests in a second, twice the bound, at which a cold backend crashes.
    const CRASH_COUNT: usize = 24;
    world.store.write(wire("config"), Some(config(3, TENANTS)));
    let handler = Arc::new(|backend: &Backend, _: &str| {
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
    });
    let make = |id: &str, last: u8| {
        Backend::start(
            (id, "rate", "akl-a"),
            (world.ip(last), 2, MS(25)),
            &world.record,
            handler.clone(),
        )
    };
    let (cold, other) = (
        make("i-1", 101).map_err(text)?,
        make("i-2", 102).map_err(text)?,
    );
    other.register(&world.store);
    world.start_gateways(1)?;
    let traffic = Traffic::start(world, 6);
    sleep(MS(4000));
    *lock(&cold.cold_until) = Some(Instant::now() + WARMUP);
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
    let limit = (4.7f64 * 1.5 + 5.0).floor() as usize;
    let arrivals = lock(&cold.arrivals);
    let times: Vec<Instant> = arrivals
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at < cold_end)
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
