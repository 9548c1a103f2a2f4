//! Configuration changes, bookings and readiness on several running hosts.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use support::{
    KEY,
    TestFleet, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::Instant, //
};

const LIMIT: &str = "rate: 3000, burst: 3000";

/// Stated time within which a published change is in force on all hosts.
const ADOPTION_TIME: Duration = Duration::from_secs(3);

/// Waits for a condition. Returns `true` if it holds before the limit.
async fn holds_within(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

fn version_of(host: &EntryHost) -> u64 {
    let view = host.state().view();
    view.map_or(0, |view| view.snapshot().version().get())
}

fn all_have(fleet: &TestFleet, version: u64) -> bool {
    fleet.hosts.iter().all(|host| version_of(host) == version)
}

async fn start(hosts: usize, targets: usize) -> TestFleet {
    let fleet = TestFleet::start(hosts, targets, LIMIT).await;
    let is_ready = || fleet.hosts.iter().all(|host| host.state().is_ready());
    assert!(holds_within(Duration::from_secs(20), is_ready).await);
    fleet
}

/// Connection of a caller that stays open.
struct OpenCaller(TcpStream);

impl OpenCaller {
    async fn new(host: &EntryHost) -> Self {
        Self(TcpStream::connect(host.caller_address()).await.unwrap())
    }

    /// Sends a request and returns the complete response.
    async fn get(&mut self) -> String {
        let request = format!("GET /rates HTTP/1.1\r\nHost: gateway\r\nX-Api-Key: {KEY}\r\n\r\n");
        self.0.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        loop {
            let mut buffer = [0; 4096];
            let length = self.0.read(&mut buffer).await.unwrap();
            assert!(length > 0, "the connection was closed");
            answer.extend_from_slice(&buffer[..length]);
            let text = String::from_utf8_lossy(&answer).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let head = head.to_ascii_lowercase();
            let length = head.split_once("content-length: ").unwrap().1;
            let length = length.lines().next().unwrap().parse::<usize>().unwrap();
            if body.len() >= length {
                return text;
            }
        }
    }
}

/// Guards against a withdrawn key that is still accepted on connections that were open before (I4).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_stops_on_open_connections_of_every_host() {
    let fleet = start(3, 1).await;
    let mut callers = Vec::new();
    for host in &fleet.hosts {
        let mut caller = OpenCaller::new(host).await;
        let answer = caller.get().await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        callers.push(caller);
    }
    let (old, new) = (KeyDigest::of_key(KEY.as_bytes()), KeyDigest::of_key(b"k-2"));
    fleet.publish(2, |text| text.replace(&old.to_string(), &new.to_string()));
    tokio::time::sleep(ADOPTION_TIME).await;
    for caller in &mut callers {
        let answer = caller.get().await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    }
    fleet.stop().await;
}

/// Books the second of two targets, which is in a separate zone, out of use, and checks that it gets no
/// requests once 3 s have passed after `delay`. The platform is down from the publication on.
async fn assert_no_new_work_after(action: &str, delay: Duration) {
    let fleet = start(2, 2).await;
    // Hosts prefer targets in their own zone, so that both targets are moved to other zones.
    let two_zones = |text: &str| {
        let zones = "zones: [{id: muscat-2, region: muscat}, {id: muscat-3, region: muscat}, ";
        text.replace("zones: [", zones)
            .replace(
                "rate-1, service: rate, zone: muscat-1",
                "rate-1, service: rate, zone: muscat-2",
            )
            .replace(
                "rate-0, service: rate, zone: muscat-1",
                "rate-0, service: rate, zone: muscat-3",
            )
    };
    fleet.publish(2, two_zones);
    assert!(holds_within(ADOPTION_TIME, || all_have(&fleet, 2)).await);
    let call_all = async || {
        let before = fleet.targets[1].request_count();
        for call in 0..60 {
            fleet.get(call % 2, "/rates").await;
        }
        fleet.targets[1].request_count() - before
    };
    // Hosts own a target of a zone without hosts only after the takeover time.
    let deadline = Instant::now() + Duration::from_secs(15);
    while call_all().await == 0 {
        assert!(Instant::now() < deadline, "the target has no owner");
    }
    let start = fleet.hosts[0].state().clock.unix().after(delay);
    fleet.publish(3, |text| {
        let rules = format!(", bookings: [{{id: out, start: {start}, action: {{{action}}}}}]}}");
        two_zones(text).trim_end().trim_end_matches('}').to_owned() + &rules
    });
    assert!(holds_within(ADOPTION_TIME, || all_have(&fleet, 3)).await);
    fleet.platform.set_down(true);
    if !delay.is_zero() {
        assert!(call_all().await > 0, "the booking came into force early");
    }
    tokio::time::sleep(delay + ADOPTION_TIME).await;
    assert_eq!(call_all().await, 0);
    let answer = fleet.get(0, "/rates").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.stop().await;
}

/// Guards against a zone that still gets requests after a published change takes it out (I7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_that_is_taken_out_gets_no_new_work() {
    assert_no_new_work_after("zone_out: muscat-2", Duration::ZERO).await;
}

/// Guards against a booking that is not applied because it starts while the platform is down (I7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_booked_out_gets_no_new_work() {
    assert_no_new_work_after("zone_out: muscat-2", Duration::from_secs(2)).await;
}

/// Guards against a stopping target that still gets requests (I11).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_target_gets_no_new_work() {
    assert_no_new_work_after("target_stop: rate-1", Duration::ZERO).await;
}

/// Guards against hosts that return to an older version when the platform serves an older index, and a
/// new host that becomes ready with the stale version (I13).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_never_goes_back() {
    let mut fleet = start(2, 1).await;
    fleet.publish(5, str::to_owned);
    assert!(holds_within(ADOPTION_TIME, || all_have(&fleet, 5)).await);
    fleet.publish(4, str::to_owned);
    fleet.add_host().await;
    let new = &fleet.hosts[2];
    let deadline = Instant::now() + Duration::from_secs(10);
    while !new.state().is_ready() {
        assert!(
            Instant::now() < deadline,
            "{:?}",
            new.state().unready_reason()
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(version_of(new), 5);
    tokio::time::sleep(ADOPTION_TIME).await;
    assert!(all_have(&fleet, 5));
    fleet.stop().await;
}

/// Guards against a fleet that refuses requests when the platform is down for longer than the isolation
/// time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_serves_while_platform_is_down() {
    let fleet = start(3, 1).await;
    fleet.platform.set_down(true);
    let end = Instant::now() + Duration::from_secs(8);
    let mut call = 0;
    while Instant::now() < end {
        let answer = fleet.get(call % 3, "/rates").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        call += 1;
    }
    fleet.stop().await;
}

/// Guards against an isolated host that still serves: without the platform and the fleet it does not
/// get notice of withdrawn keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_host_refuses_as_not_run() {
    let mut fleet = start(3, 1).await;
    let mut caller = OpenCaller::new(&fleet.hosts[0]).await;
    assert!(caller.get().await.starts_with("HTTP/1.1 200"));
    fleet.platform.set_down(true);
    for host in fleet.hosts.split_off(1) {
        host.crash().await;
    }
    // The isolation time is 5 s from the last heartbeat; a tick detects it.
    tokio::time::sleep(Duration::from_secs(7)).await;
    assert!(!fleet.hosts[0].state().is_ready());
    let answer = caller.get().await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"run\":\"not-run\""), "{answer}");
    fleet.stop().await;
}

/// Guards against an invalid version that replaces the one in force, or that is not reported to
/// operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_version_leaves_the_last_in_force() {
    let fleet = start(2, 1).await;
    fleet.publish(2, |text| {
        text.replace("prefix: /rates, service: rate", "prefix: /, service: x")
    });
    let has_refused = || {
        let reasons = fleet
            .hosts
            .iter()
            .map(|host| host.state().refused_version());
        reasons
            .flatten()
            .filter(|reason| reason.contains("version 2: all:6:"))
            .count()
            == 2
    };
    assert!(holds_within(ADOPTION_TIME, has_refused).await);
    assert!(all_have(&fleet, 1));
    let answer = fleet.get(0, "/rates").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    fleet.publish(3, str::to_owned);
    assert!(holds_within(ADOPTION_TIME, || all_have(&fleet, 3)).await);
    assert_eq!(fleet.hosts[0].state().refused_version(), None);
    // The same version with different content is an error.
    fleet.publish(3, |text| format!("# other\n{text}"));
    let has_conflict = || {
        let reason = fleet.hosts[0].state().refused_version();
        reason.is_some_and(|reason| reason.contains("version 3 was published twice"))
    };
    assert!(holds_within(ADOPTION_TIME, has_conflict).await);
    fleet.stop().await;
}

/// Guards against platform reads that grow with the number of hosts: only the readers of a zone read
/// from the platform, and the other hosts get the parts from them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_readers_read_changes() {
    let fleet = start(6, 1).await;
    let before = fleet.platform.call_count();
    // The part is longer than one answer between hosts, so that it is sent in chunks.
    let padding = "x".repeat(300_000);
    for version in 2..8 {
        fleet.publish(version, |text| format!("# {version} {padding}\n{text}"));
        assert!(holds_within(ADOPTION_TIME, || all_have(&fleet, version)).await);
    }
    // 2 readers read the part and renew the watch for each of 6 versions, and each host may read the
    // list of hosts twice during the test. If all 6 hosts were readers, they would make 72 calls.
    let calls = fleet.platform.call_count() - before;
    assert!(calls <= 36, "{calls} calls");
    fleet.stop().await;
}

/// Guards against a booked stop of a host that does not start, or that other hosts detect only after
/// the host has stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booked_stop_of_host_begins_its_planned_stop() {
    let fleet = start(2, 1).await;
    fleet.publish(2, |text| {
        let rules =
            ", bookings: [{id: s, start: 2026-01-01T00:00:00Z, action: {host_stop: entry-1}}]}";
        text.trim_end().trim_end_matches('}').to_owned() + rules
    });
    let begun = tokio::time::timeout(ADOPTION_TIME, fleet.hosts[1].drain_requested()).await;
    assert!(begun.is_ok());
    assert!(!fleet.hosts[1].state().is_ready());
    assert!(fleet.hosts[0].state().is_ready());
    let members = &fleet.hosts[0].state().members;
    assert!(holds_within(ADOPTION_TIME, || members.live_hosts().len() == 1).await);
    fleet.stop().await;
}

/// Guards against a process that serves with stale state after a pause. The test blocks the only
/// thread, so that the host is paused like a stopped process.
#[tokio::test]
async fn resumed_host_refuses_until_it_is_current() {
    let fleet = start(1, 1).await;
    let mut caller = OpenCaller::new(&fleet.hosts[0]).await;
    assert!(caller.get().await.starts_with("HTTP/1.1 200"));
    fleet.platform.set_down(true);
    std::thread::sleep(Duration::from_millis(1500));
    for _ in 0..10 {
        let answer = caller.get().await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"run\":\"not-run\""), "{answer}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.platform.set_down(false);
    let is_ready = || fleet.hosts[0].state().is_ready();
    assert!(holds_within(Duration::from_secs(10), is_ready).await);
    fleet.stop().await;
}
