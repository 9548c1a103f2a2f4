//! Sessions about configuration changes, planned stops, pauses and crashes in a running fleet.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::sync::Notify;

use crate::{
    assert_golden,
    session::{
        FleetPlan,
        request_of, //
    },
    target::TargetBehaviour,
    transcript::note,
};

const LOOKUP: &str = "GET /notices/today HTTP/1.1";

/// Guards against new requests to a zone that is out, and against a request that is cut when its zone
/// is taken out during it.
#[test]
fn zone_taken_out() {
    let plan = FleetPlan {
        targets: vec!["muscat-1", "muscat-2"],
        ..FleetPlan::new(1, 2)
    };
    assert_golden("zone_taken_out", plan, async |session| {
        let release = Arc::new(Notify::new());
        session.script(TargetBehaviour::Late(release.clone()));
        let mut caller = session.caller(0).await;
        caller.send(&request_of(LOOKUP, "")).await;
        session.settle().await;
        let booking = "bookings: [{id: storm, start: '1970-01-01T00:00:00Z', \
                       action: {zone_out: muscat-1}}]";
        session.publish(2, "bookings: []", booking).await;
        session.call(0, LOOKUP, "").await;
        release.notify_one();
        caller.answer().await;
    });
}

/// Guards against a planned stop that cuts an upload, and against targets without an owner after it.
#[test]
fn stop_during_upload() {
    assert_golden(
        "stop_during_upload",
        FleetPlan::new(2, 1),
        async |session| {
            let is_owner = |host: &chicorycroft_node::prelude::EntryHost| {
                host.state().owned().iter().count() == 1
            };
            let owner = session.hosts.iter().position(is_owner).unwrap();
            let request = request_of("POST /notices/scan HTTP/1.1", "first half, second half");
            let (first, second) = request.split_at(request.len() - 11);
            let mut caller = session.caller(owner).await;
            caller.send(first).await;
            session.settle().await;
            note("operators stop the host", "");
            let stop = tokio::spawn(session.hosts.remove(owner).stop());
            session.advance(Duration::from_millis(100)).await;
            caller.send(second).await;
            caller.answer().await;
            // The host serves requests for a delay after it is no longer ready.
            session.advance(Duration::from_millis(1200)).await;
            let is_drained = stop.await.unwrap();
            note(&format!("the host has stopped, drained={is_drained}"), "");
            session.advance(Duration::from_millis(200)).await;
            session.call(0, LOOKUP, "").await;
        },
    );
}

/// Guards against an invalid configuration that is applied in part or interrupts the service, and
/// against an error message without the location of the error.
#[test]
fn refused_configuration() {
    assert_golden(
        "refused_configuration",
        FleetPlan::new(1, 1),
        async |session| {
            let bad = "rules: {host_bound: none";
            session.publish(2, "rules: {host_bound: 1", bad).await;
            session.call(0, LOOKUP, "").await;
            let good = "rules: {host_bound: 4";
            session.publish(3, "rules: {host_bound: 1", good).await;
            session.call(0, LOOKUP, "").await;
        },
    );
}

/// Guards against a host that serves with stale state after a pause, and against one that does not
/// recover: it must serve again once it has read the platform's list of hosts.
#[test]
fn host_wakes_late() {
    assert_golden("host_wakes_late", FleetPlan::new(1, 1), async |session| {
        note(
            "the process is paused for 4 s, and the platform is down",
            "",
        );
        session.platform.set_down(true);
        tokio::time::advance(Duration::from_secs(4)).await;
        session.settle().await;
        session.call_and_wait(0, LOOKUP).await;
        note("the platform is back", "");
        session.platform.set_down(false);
        session.advance(Duration::from_secs(6)).await;
        session.call(0, LOOKUP, "").await;
    });
}

/// Guards against an order that runs twice when the owner of its target crashes during it, and against
/// a target without an owner afterwards: the other host must take it over.
#[test]
fn owner_dies_with_order() {
    assert_golden(
        "owner_dies_with_order",
        FleetPlan::new(2, 1),
        async |session| {
            session.script(TargetBehaviour::Late(Arc::new(Notify::new())));
            let mut caller = session.caller(0).await;
            caller
                .send(&request_of("POST /notices HTTP/1.1", "labels"))
                .await;
            session.settle().await;
            note("entry-1 dies", "");
            session.hosts.remove(1).crash().await;
            session.settle().await;
            caller.answer().await;
            note("the platform's list drops entry-1", "");
            session.list_hosts(Vec::new());
            session.advance(Duration::from_secs(12)).await;
            session.call(0, LOOKUP, "").await;
        },
    );
}

/// Guards against refusals after a planned stop while the platform's list is outdated: the new owner
/// and a third host must both serve requests for the target.
#[test]
fn stop_seen_by_third_host() {
    crate::run(FleetPlan::new(3, 1), async |session| {
        let is_owner =
            |host: &chicorycroft_node::prelude::EntryHost| host.state().owned().iter().count() == 1;
        let owner = session.hosts.iter().position(is_owner).unwrap();
        let stop = tokio::spawn(session.hosts.remove(owner).stop());
        // The host serves requests for a delay of 1 s after it is no longer ready, and waits 0.2 s for the first requests of
        // connections that were just accepted.
        session.advance(Duration::from_millis(1400)).await;
        assert!(stop.await.unwrap());
        for call in 0..10 {
            let answer = session.call_and_wait(call % 2, LOOKUP).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "call {call}: {answer}");
        }
    });
}
