//! Sessions about access and rate limits.

use std::time::Duration;

use crate::{
    assert_golden,
    session::{
        FleetPlan,
        KEY,
        request_of, //
    },
};

/// Guards against an open route that requires a key, or that sends a team header to the target.
#[test]
fn open_route() {
    assert_golden("open_route", FleetPlan::new(1, 1), async |session| {
        session.call(0, "GET /notices/today HTTP/1.1", "").await;
    });
}

/// Guards against a key that reaches a target through the query, a header or a cookie, and against a
/// host that does not forward to the owner of a target.
#[test]
fn lookup_through_owner() {
    assert_golden(
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

/// Guards against a request that runs without a valid key, and against a refusal that reveals the
/// key in the response or the log.
#[test]
fn wrong_and_missing_key() {
    assert_golden(
        "wrong_and_missing_key",
        FleetPlan::new(1, 1),
        async |session| {
            session.call(0, "GET /rates/oman HTTP/1.1", "").await;
            let wrong = "GET /rates/oman HTTP/1.1\nX-Api-Key: k-wrong";
            session.call(0, wrong, "").await;
        },
    );
}

/// Guards against a withdrawn key that is still accepted on a connection that was open before.
#[test]
fn withdrawn_key() {
    assert_golden("withdrawn_key", FleetPlan::new(1, 1), async |session| {
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

/// Guards against a team that exceeds its burst, and against refusals that last longer than the rate
/// requires.
#[test]
fn over_the_rate() {
    assert_golden("over_the_rate", FleetPlan::new(1, 1), async |session| {
        let head = format!("GET /rates HTTP/1.1\nX-Api-Key: {KEY}");
        for _ in 0..3 {
            session.call_and_wait(0, &head).await;
        }
        session.advance(Duration::from_secs(1)).await;
        session.call_and_wait(0, &head).await;
    });
}
