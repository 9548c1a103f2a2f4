//! Calls between hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_gateway::{
    peer_calls::{
        call,
        notify, //
    },
    peer_service,
    prelude::*,
    state::GatewayState,
};
use chicorycroft_peer::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        copy_bidirectional, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

use crate::setting::{
    TestSetting,
    settings_of, //
};

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a relay to a host. It closes the first connection as soon as something comes on it.
async fn relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let mut space = [0; 64];
        let _ = first.read(&mut space).await;
        drop(first);
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut onward = TcpStream::connect(to).await.unwrap();
            tokio::spawn(async move { copy_bidirectional(&mut stream, &mut onward).await });
        }
    });
    address
}

/// Guards against a host that is taken for lost, with its permits and its part of the rates, because one
/// connection to it was reset.
#[tokio::test]
async fn call_survives_the_reset_of_a_connection() {
    let setting = TestSetting::new(1).await;
    let server = PeerServer::new("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = server.address().unwrap();
    let stop = tokio::sync::watch::Sender::new(false);
    let forward = async |_, _| http::Response::new(String::new());
    tokio::spawn(server.serve(async |message| message, forward, stop.subscribe()));
    let message = GatewayMessage::Gossip(Vec::new());
    let broken = relay(address).await;
    let answer = call(setting.host.state(), broken, message.clone(), LIMIT).await;
    assert_eq!(answer.unwrap(), message);
}

/// Guards against a log line about a lost permit for each request that another host granted: the host's
/// acknowledgement of a permit that is given back was read as a refusal.
#[tokio::test]
async fn permit_that_is_given_back_is_acknowledged() {
    let setting = TestSetting::new(1).await;
    let state = setting.host.state().clone();
    let server = PeerServer::new("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = server.address().unwrap();
    let stop = tokio::sync::watch::Sender::new(false);
    let forward = async |_, _| http::Response::new(String::new());
    let served = state.clone();
    let on_message = move |message| peer_service::on_message(served.clone(), message);
    tokio::spawn(server.serve(on_message, forward, stop.subscribe()));
    let notice = ReleaseNotice {
        service: ServiceId::new("rate").unwrap(),
        zone: None,
        target: TargetId::new("t-0").unwrap(),
        permit: PermitNumber::new(7),
        result: AttemptResult::Good,
        elapsed_millis: 20,
    };
    let release = GatewayMessage::Release(notice);
    notify(&state, address, release.clone(), LIMIT)
        .await
        .unwrap();
    // A message that is answered is not taken for one that is only acknowledged.
    let gossip = GatewayMessage::Gossip(Vec::new());
    assert!(notify(&state, address, gossip, LIMIT).await.is_err());
    assert!(call(&state, address, release, LIMIT).await.is_err());
}

/// Guards against callers within their rate that are refused: a host that did not reach its dispatcher for a
/// moment asked the next one, which decided by its small part of the rate instead of asking the dispatcher.
#[tokio::test]
async fn host_that_is_not_the_dispatcher_passes_permits_on() {
    let first = TestSetting::new(1).await;
    first
        .store
        .put_config(&config_with_rate(2, &["key-1"], 100.0));
    let settings = GatewaySettings {
        seeds: vec![first.host.state().settings.peer_address],
        ..settings_of("edge-2", first.store.address())
    };
    let second = GatewayHost::start(settings, GatewayClock::new())
        .await
        .unwrap();
    let (state, asked) = (first.host.state(), second.state());
    let has_rates = |state: &GatewayState| {
        let index = state.knowledge.index();
        index.is_some_and(|index| index.config().version() == ConfigVersion::new(2))
    };
    first
        .until(|_| asked.dispatcher_ahead().is_some() && has_rates(asked) && has_rates(state))
        .await;
    let request = AdmitRequest {
        request: "id-1".into(),
        service: ServiceId::new("rate").unwrap(),
        zone: Some(ZoneId::new("a").unwrap()),
        charged_team: Some(TeamId::new("weavers").unwrap()),
        team: None,
        priority: 1,
        is_idempotent: true,
        is_repeat: false,
        wait_millis: 100,
        left_millis: 1000,
        connected: Vec::new(),
        least_trust: TargetTrust::Blocked,
        tried: Vec::new(),
    };
    let admit = GatewayMessage::Admit(request);
    let address = asked.settings.peer_address;
    let answer = call(state, address, admit, LIMIT).await.unwrap();
    assert!(
        matches!(answer, GatewayMessage::Admitted(AdmitAnswer::Granted(_))),
        "{answer:?}"
    );
    assert_eq!(asked.dispatcher.usage().len(), 0, "the asked host decided");
    assert_eq!(state.dispatcher.usage().len(), 1);
}
