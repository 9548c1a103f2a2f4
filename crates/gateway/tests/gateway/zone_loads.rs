//! Requests of a service whose slots are all in use, in one zone and in two.

use std::{
    net::SocketAddr,
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
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

use crate::test_gateway::{
    CallerAnswer,
    TestGateway,
    WAIT_TIMEOUT,
    call,
    host_settings,
    open_count,
    wait_until, //
};

const LONG: Duration = Duration::from_millis(900);

fn answer_after(time: Duration) -> Option<TargetBehaviour> {
    Some(TargetBehaviour::Answer(time))
}

/// Returns the sum of a counter over its labels.
fn counter(host: &GatewayHost, name: &str) -> u32 {
    let text = host.state().metrics.text().unwrap();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.map(|line| line.rsplit(' ').next().unwrap().parse::<u32>().unwrap());
    values.sum()
}

/// Sends requests over connections of their own, at an interval.
async fn send_spaced(host: &GatewayHost, count: u32, interval: Duration) -> Vec<CallerAnswer> {
    let address = host.caller_address();
    let send = |number| async move {
        sleep(interval * number).await;
        call(address, "POST /buy/a", "key-1", "x").await
    };
    join_all((0..count).map(send)).await
}

/// Guards against a call to the dispatcher for each request of a service that is full, and against a service that stays
/// refused after its slots are free.
#[tokio::test]
async fn full_service_is_refused_without_calls_and_served_within_a_period() {
    let gateway = TestGateway::new(1).await;
    gateway.targets[0].set_default_behaviour(answer_after(LONG));
    let (count, interval) = (80, Duration::from_millis(16));
    let free_up = async {
        sleep(LONG - Duration::from_millis(300)).await;
        gateway.targets[0].set_default_behaviour(None);
    };
    let (answers, ()) = tokio::join!(send_spaced(&gateway.host, count, interval), free_up);
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let calls = counter(&gateway.host, "gateway_permits_total");
    let at_door = counter(&gateway.host, "gateway_door_refusals_total");
    println!(
        "served {served} of 80, {calls} answers of dispatchers, {at_door} refused at the door"
    );
    assert!(at_door >= 20, "{at_door} were refused at the door");
    assert!(calls < 80, "{calls} answers of dispatchers");
    let refused = answers.iter().filter(|answer| answer.status == 503);
    // A dispatcher states no time if a return has no use.
    let stated = refused.clone();
    let stated = stated.filter(|answer| answer.head.contains("retry-after"));
    assert!(stated.count() >= at_door as usize);
    let not_run = 80 - gateway.received_requests().len();
    assert_eq!(refused.count(), not_run, "a refused request has run");
    let sent_at = |number: usize| interval * u32::try_from(number).unwrap();
    let is_late = |number: &usize| sent_at(*number) > LONG + Duration::from_millis(300);
    let late: Vec<usize> = (0..answers.len()).filter(is_late).collect();
    assert!(late.iter().all(|number| answers[*number].status == 200));
}

/// Guards against a wait in the home zone, whose slots are in use for longer, while those of another zone become free: the
/// requests that wait there were refused at the end of their wait.
#[tokio::test]
async fn request_waits_in_the_zone_that_frees_first() {
    let gateway = TestGateway::new(1).await;
    let away = TargetStandIn::start("t-away").await.unwrap();
    gateway
        .store
        .put(&away.key(), &away.entry("rate", "b", "ready"));
    let settings = GatewaySettings {
        zone: ZoneId::new("b").unwrap(),
        seeds: vec![gateway.host.state().settings.peer_address],
        ..host_settings("edge-b", gateway.store.address())
    };
    let clock = GatewayClock::new();
    let other = GatewayHost::start(settings, clock).await.unwrap();
    wait_until(WAIT_TIMEOUT, || {
        let (home, zone) = (gateway.host.state(), ZoneId::new("b").unwrap());
        let is_known = !home.gossip.ranked(&zone, home.now()).is_empty();
        is_known && open_count(&gateway.host) == 2 && open_count(&other) == 2
    })
    .await;
    gateway.targets[0].set_default_behaviour(answer_after(LONG));
    away.set_default_behaviour(answer_after(Duration::from_millis(150)));
    let answers = send_spaced(&gateway.host, 8, Duration::from_millis(12)).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let waited = answers[4..].iter();
    let waited = waited.filter(|answer| answer.status == 200).count();
    println!("served {served} of 8, {waited} of the 4 that found no slot");
    assert!(waited >= 2, "{waited} of 4 got a slot");
}

/// Sends the head of a request with a long body, and returns `true` if it is refused before the body is sent.
async fn is_refused_by_head(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /buy/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: id-2\r\nx-deadline-ms: 3000\r\n\
                authorization: Bearer key-1\r\ncontent-length: 360000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    let read = timeout(Duration::from_millis(200), stream.read_exact(&mut status)).await;
    matches!(read, Ok(Ok(_))) && status.ends_with(b"503")
}

/// Guards against a body that fills the link of a host although the zones have been full for long.
#[tokio::test]
async fn long_body_is_not_read_while_all_zones_are_full() {
    let gateway = TestGateway::new(1).await;
    gateway.targets[0].set_default_behaviour(answer_after(LONG));
    let send_heads = async {
        sleep(Duration::from_millis(400)).await;
        let address = gateway.host.caller_address();
        let heads = join_all((0..4).map(|_| is_refused_by_head(address))).await;
        heads.into_iter().filter(|is_refused| *is_refused).count()
    };
    let load = send_spaced(&gateway.host, 100, Duration::from_millis(6));
    let (_, refused) = tokio::join!(load, send_heads);
    // One request in eight that the loads refuse is let through.
    assert!(
        refused >= 3,
        "{refused} of 4 were refused before their body"
    );
}
