//! Calls between gateway hosts.

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

use crate::test_gateway::{
    TestGateway,
    host_settings,
    open_count, //
};

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a TCP relay to a host. It closes the first connection as soon as it receives data.
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

/// Guards against a host that is treated as down, with the loss of its permits and its share of the rates,
/// because one connection to it was reset.
#[tokio::test]
async fn call_survives_the_reset_of_a_connection() {
    let gateway = TestGateway::new(1).await;
    let server = PeerServer::new("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = server.address().unwrap();
    let stop = tokio::sync::watch::Sender::new(false);
    let forward = async |_, _| http::Response::new(String::new());
    tokio::spawn(server.serve(async |message| message, forward, stop.subscribe()));
    let message = GatewayMessage::Gossip(Vec::new());
    let broken = relay(address).await;
    let answer = call(gateway.host.state(), broken, message.clone(), LIMIT).await;
    assert_eq!(answer.unwrap(), message);
}

/// Guards against reading the acknowledgement of a released permit as a refusal, which logs a lost release for
/// each request whose permit came from another host.
#[tokio::test]
async fn released_permit_is_acknowledged() {
    let gateway = TestGateway::new(1).await;
    let state = gateway.host.state().clone();
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
        signals: None,
        host: None,
    };
    let release = GatewayMessage::Release(notice);
    notify(&state, address, release.clone(), LIMIT)
        .await
        .unwrap();
    // `notify` must reject an answer, and `call` must reject an acknowledgement.
    let gossip = GatewayMessage::Gossip(Vec::new());
    assert!(notify(&state, address, gossip, LIMIT).await.is_err());
    assert!(call(&state, address, release, LIMIT).await.is_err());
}

/// Guards against refusing callers that are within their rate: a host that briefly cannot reach its dispatcher
/// asks the next host, which must relay the request and not decide by its own small share of the rate.
#[tokio::test]
async fn host_that_is_not_the_dispatcher_relays_permit_requests() {
    let first = TestGateway::new(1).await;
    first
        .store
        .put_config(&config_with_rate(2, &["key-1"], 100.0));
    let settings = GatewaySettings {
        seeds: vec![first.host.state().settings.peer_address],
        ..host_settings("edge-2", first.store.address())
    };
    let second = GatewayHost::start(settings, GatewayClock::new())
        .await
        .unwrap();
    let (state, follower) = (first.host.state(), second.state());
    let has_rates = |state: &GatewayState| {
        let index = state.store_cache.index();
        index.is_some_and(|index| index.config().version() == ConfigVersion::new(2))
    };
    first
        .wait_until(|_| {
            follower.remote_dispatcher().is_some() && has_rates(follower) && has_rates(state)
        })
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
        objective_millis: None,
        connected: Vec::new(),
        least_trust: TargetTrust::Blocked,
        tried: Vec::new(),
    };
    let admit = GatewayMessage::Admit(request);
    let address = follower.settings.peer_address;
    let answer = call(state, address, admit, LIMIT).await.unwrap();
    assert!(
        matches!(
            &answer,
            GatewayMessage::Admitted(PermitReply {
                answer: AdmitAnswer::Granted(_),
                load: Some(_),
            })
        ),
        "{answer:?}"
    );
    assert_eq!(
        follower.dispatcher.teams().usage().len(),
        0,
        "the follower charged the team itself"
    );
    assert_eq!(state.dispatcher.teams().usage().len(), 1);
}

/// Guards against a dispatcher whose link is filled for most of a second by each change, because it sends the whole
/// directory to every host of its zone.
#[tokio::test]
async fn answer_to_a_follower_has_the_changed_entries_only() {
    let gateway = TestGateway::new(1).await;
    let (store, target) = (&gateway.store, &gateway.targets[0]);
    for number in 0..300 {
        let entry = target.entry("rate", "a", "ready");
        store.put(&format!("servers/s-{number}"), &entry);
    }
    gateway.wait_until(|host| open_count(host) == 301).await;
    let state = gateway.host.state();
    let (known, positions) = state.store_cache.shared_directory();
    store.remove("servers/s-7");
    gateway.wait_until(|host| open_count(host) == 300).await;
    let request = FollowRequest {
        member: state.gossip.own(),
        config: Some(ConfigVersion::new(1)),
        content: known.content,
        positions,
        wait_millis: 100,
        is_read_wanted: false,
        is_dispatcher: false,
        lease_millis: None,
        short_teams: Vec::new(),
        served: None,
        era: state.store_cache.era_sighting(state.now()),
        transfer: Some(state.transfer_state()),
    };
    let message = PeerMessage::Gateway(GatewayMessage::Follow(request));
    let answer = peer_service::on_message(state.clone(), message).await;
    let codec = PeerCodec::new();
    let bytes = codec.encode(&answer, codec.highest()).unwrap();
    assert!(bytes.len() < 1000, "{} bytes", bytes.len());
    let PeerMessage::Gateway(GatewayMessage::FollowAnswer(answer)) = answer else {
        panic!("expected the answer to a follower");
    };
    let DirectoryUpdate::Changed(delta) = answer.directory else {
        panic!("expected changes, got {:?}", answer.directory);
    };
    assert_eq!(delta.apply(&known).unwrap().targets.len(), 300);
}
