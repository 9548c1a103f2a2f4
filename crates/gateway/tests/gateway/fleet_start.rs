//! A fleet whose hosts all start at the same moment.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use futures_util::future::join_all;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt,
        copy, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::test_gateway::{
    call,
    host_settings, //
};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Hosts, as many as in the smallest deployments.
const HOST_COUNT: usize = 33;

/// Hosts that get requests: the load balancer finds some of them ready first.
const BUSY_HOST_COUNT: usize = 8;

/// Interval between the requests to one of these hosts.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// How slow the hosts are.
#[derive(Clone, Copy, Debug)]
struct SlowStart {
    /// Time from which calls between hosts are slow.
    from: Instant,
    /// Time until which they are.
    until: Instant,
    /// Delay of such a call.
    delay: Duration,
}

/// Time in which an answer is good: the objective of the routes.
const OBJECTIVE: Duration = Duration::from_millis(800);

/// Time for which requests are sent.
const SEND_TIME: Duration = Duration::from_secs(6);

/// Time over which the fraction of served requests is taken.
const STEP: Duration = Duration::from_secs(1);

/// Copies bytes, with a delay until the host has processor time.
async fn copy_late(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, slow: SlowStart) {
    let mut space = vec![0; 1 << 16];
    while let Ok(count @ 1..) = from.read(&mut space).await {
        if (slow.from..slow.until).contains(&Instant::now()) {
            sleep(slow.delay).await;
        }
        if to.write_all(&space[..count]).await.is_err() {
            return;
        }
    }
}

/// Starts a relay in front of the port for other hosts. Until a time it is slow in one direction, as a host is whose
/// processor is taken up by its start.
async fn start_relay(onward: SocketAddr, slow: SlowStart) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(onward) = TcpStream::connect(onward).await else {
                continue;
            };
            let ((from, back), (answers, to)) = (stream.into_split(), onward.into_split());
            tokio::spawn(copy_late(from, to, slow));
            tokio::spawn(async move {
                let (mut answers, mut back) = (answers, back);
                // Ends with either host.
                let _ = copy(&mut answers, &mut back).await;
            });
        }
    });
    address
}

/// Starts all hosts at once, and the targets of each zone. Calls between them are slow until then.
async fn start_fleet(store: &StoreStandIn, slow: SlowStart) -> Vec<GatewayHost> {
    let mut relays = Vec::new();
    let mut reserved = Vec::new();
    for _ in 0..HOST_COUNT {
        // No other listener of the test takes ports of this address.
        let free = TcpListener::bind("127.0.0.2:0").await.unwrap();
        let listen = free.local_addr().unwrap();
        reserved.push(free);
        relays.push((start_relay(listen, slow).await, listen));
    }
    drop(reserved);
    let seeds: Vec<SocketAddr> = relays.iter().take(3).map(|(address, _)| *address).collect();
    let start = |(number, (address, listen)): (usize, (SocketAddr, SocketAddr))| {
        let settings = GatewaySettings {
            zone: ZoneId::new(ZONES[number % 3]).unwrap(),
            zone_count: 3,
            seeds: seeds.clone(),
            peer_listen: listen,
            peer_address: address,
            ..host_settings(&format!("edge-{number:02}"), store.address())
        };
        GatewayHost::start(settings, GatewayClock::new())
    };
    let hosts = join_all(relays.into_iter().enumerate().map(start)).await;
    hosts.into_iter().map(Result::unwrap).collect()
}

/// Sends requests to each host, and returns the fraction that was served in each step, in percent.
async fn served_by_step(hosts: &[GatewayHost], started: Instant) -> Vec<usize> {
    let steps = (SEND_TIME.as_millis() / STEP.as_millis()) as usize;
    let tally = Mutex::new(vec![(0, 0); steps]);
    let send = |(number, host): (usize, &GatewayHost)| {
        let (address, tally) = (host.caller_address(), &tally);
        let offset = SEND_INTERVAL * number as u32 / BUSY_HOST_COUNT as u32;
        async move {
            let mut sent = Vec::new();
            for count in 0..(SEND_TIME.as_millis() / SEND_INTERVAL.as_millis()) as u32 {
                let at = started + offset + SEND_INTERVAL * count;
                sent.push(async move {
                    sleep_until(at).await;
                    let status = call(address, "GET /look/a", "key-1", "").await.status;
                    let is_good = status == 200 && at.elapsed() < OBJECTIVE;
                    let step = (at - started).as_millis() / STEP.as_millis();
                    let mut tally = tally.lock().unwrap();
                    let bin = &mut tally[(step as usize).min(steps - 1)];
                    *bin = (bin.0 + 1, bin.1 + usize::from(is_good));
                });
            }
            join_all(sent).await;
        }
    };
    join_all(hosts.iter().enumerate().map(send)).await;
    let tally = tally.into_inner().unwrap();
    tally
        .iter()
        .map(|(sent, served)| served * 100 / sent)
        .collect()
}

/// Returns the time from which a percentage of the requests of each further step get a good answer.
fn good_from(served: &[usize], percent_min: usize) -> Duration {
    let last_bad = served.iter().rposition(|percent| *percent < percent_min);
    STEP * last_bad.map_or(0, |step| step as u32 + 1)
}

/// Starts all hosts and returns the percentage of the requests of each step that got a good answer.
async fn run_start((from, slow_for, delay): (Duration, Duration, Duration)) -> Vec<usize> {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&config(1, &["key-1"]));
    let mut targets = Vec::new();
    for zone in ZONES {
        for number in 0..8 {
            let target = TargetStandIn::start(&format!("t-{zone}-{number}"))
                .await
                .unwrap();
            store.put(&target.key(), &target.entry("rate", zone, "ready"));
            targets.push(target);
        }
    }
    let started = Instant::now();
    let hosts = start_fleet(
        &store,
        SlowStart {
            from: started + from,
            until: started + slow_for,
            delay,
        },
    )
    .await;
    let served = served_by_step(&hosts[..BUSY_HOST_COUNT], started).await;
    println!(
        "calls between hosts slow from {from:?} to {slow_for:?} by {delay:?}: good {served:?} %"
    );
    served
}

/// Guards against a fleet that serves poorly for seconds after all of its hosts started at once, because these answer each
/// other late while they start.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_serves_soon_after_all_hosts_started() {
    let millis = Duration::from_millis;
    let served = run_start((millis(0), millis(0), millis(0))).await;
    assert!(good_from(&served, 90) <= millis(1000), "{served:?}");
    // Answers come after hosts have stopped to wait for them.
    let served = run_start((millis(800), millis(4000), millis(200))).await;
    assert!(good_from(&served, 90) <= millis(2000), "{served:?}");
    // Hardly any answers come, and each host finds out by itself.
    let served = run_start((millis(800), millis(4000), millis(600))).await;
    assert!(good_from(&served, 85) <= millis(2000), "{served:?}");
}
