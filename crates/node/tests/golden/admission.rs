//! Sessions about who may call, and how often.

use std::time::Duration;

use crate::{
    play,
    session::{
        FleetPlan,
        KEY,
        request_of, //
    },
};

/// Guards against an open route that asks for a key, or that names a team to the target.
#[test]
fn open_route() {
    play("open_route", FleetPlan::new(1, 1), async |session| {
        session.call(0, "GET /notices/today HTTP/1.1", "").await;
    });
}

/// Guards against a lookup whose key reaches a target from any of its places, and against a host
/// that does not reach the owner of a target.
#[test]
fn lookup_through_owner() {
    play(
        "lookup_through_owner",
        FleetPlan::new(2, 1),
        async |session| {
            for host in 0..2 {
                let head = format!(
                    "GET /rates/oman?w=2&api_key={KEY} HTTP/1.1\nX-API-key: {KEY}\n\
                 Authorization: Bearer {KEY}\nCookie: a=1; api_key={KEY}"
                );
                session.call_and_wait(host, &head).await;
            }
        },
    );
}

/// Guards against a request without a valid key that runs, and against a refusal that repeats the
/// key in the answer or the log.
#[test]
fn wrong_and_missing_key() {
    play(
        "wrong_and_missing_key",
        FleetPlan::new(1, 1),
        async |session| {
            session.call(0, "GET /rates/oman HTTP/1.1", "").await;
            let wrong = "GET /rates/oman HTTP/1.1\nX-Api-Key: k-wrong";
            session.call(0, wrong, "").await;
        },
    );
}

/// Guards against a withdrawn key that goes on working on a connection that is already open.
#[test]
fn withdrawn_key() {
    play("withdrawn_key", FleetPlan::new(1, 1), async |session| {
        let request = request_of(&format!("GET /rates HTTP/1.1\nX-Api-Key: {KEY}"), "");
        let mut caller = session.caller(0).await;
        caller.send(&request).await;
        caller.answer().await;
        let digest = chicorycroft_core::prelude::KeyDigest::of_key(KEY.as_bytes());
        let granted = format!("key_digests: ['{digest}']");
        session.publish(2, &granted, "key_digests: []").await;
        caller.send(&request).await;
        caller.answer().await;
    });
}

/// Guards against a team that gets more than its burst at once, and against a refusal that lasts
/// longer than the rate asks for.
#[test]
fn over_the_rate() {
    play("over_the_rate", FleetPlan::new(1, 1), async |session| {
        let head = format!("GET /rates HTTP/1.1\nX-Api-Key: {KEY}");
        for _ in 0..3 {
            session.call_and_wait(0, &head).await;
        }
        session.pass(Duration::from_secs(1)).await;
        session.call_and_wait(0, &head).await;
    });
}
