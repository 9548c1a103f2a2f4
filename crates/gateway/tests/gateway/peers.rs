//! Calls between hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_gateway::{
    peer_calls::{
        call,
        notify, //
    },
    peer_service,
};
use chicorycroft_peer::prelude::*;
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

use crate::setting::TestSetting;

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
