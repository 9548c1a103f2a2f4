//! Sessions about late and duplicate responses.

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
};

/// Guards against a late response that is sent to the next request, and against a retry of an order
/// after its deadline.
#[test]
fn late_answer() {
    assert_golden("late_answer", FleetPlan::new(1, 1), async |session| {
        let release = Arc::new(Notify::new());
        session.script(TargetBehaviour::Late(release.clone()));
        let mut caller = session.caller(0).await;
        caller
            .send(&request_of("POST /notices/first HTTP/1.1", "labels"))
            .await;
        session.settle().await;
        session.advance(Duration::from_millis(2100)).await;
        caller.answer().await;
        release.notify_one();
        session.settle().await;
        caller
            .send(&request_of("POST /notices/second HTTP/1.1", "labels"))
            .await;
        caller.answer().await;
    });
}

/// Guards against a duplicate response that stays on a kept connection and is sent to the next
/// request.
#[test]
fn answer_sent_twice() {
    assert_golden("answer_sent_twice", FleetPlan::new(1, 1), async |session| {
        session.script(TargetBehaviour::Twice);
        session.call(0, "GET /notices/first HTTP/1.1", "").await;
        session.settle().await;
        session.call(0, "GET /notices/second HTTP/1.1", "").await;
    });
}

/// Guards against an order that is called not run although it ran: a target writes its refusal of an earlier order
/// once more on a kept connection.
#[test]
fn refusal_sent_again() {
    assert_golden(
        "refusal_sent_again",
        FleetPlan::new(1, 1),
        async |session| {
            session.script(TargetBehaviour::Shed);
            session.call(0, "POST /notices HTTP/1.1", "first").await;
            session.settle().await;
            session.script(TargetBehaviour::RepeatRefusal);
            session.call(0, "POST /notices HTTP/1.1", "second").await;
        },
    );
}

/// Guards against swapped responses: two requests are in flight at a target through its owner, and
/// the second is answered first.
#[test]
fn answers_out_of_order() {
    assert_golden(
        "answers_out_of_order",
        FleetPlan::new(2, 1),
        async |session| {
            // One good response unlocks the second slot of the cold target.
            session.call(0, "GET /notices/warm-up HTTP/1.1", "").await;
            let release = Arc::new(Notify::new());
            session.script(TargetBehaviour::Late(release.clone()));
            let mut first = session.caller(0).await;
            first
                .send(&request_of("GET /notices/first HTTP/1.1", ""))
                .await;
            session.settle().await;
            session.call(0, "GET /notices/second HTTP/1.1", "").await;
            release.notify_one();
            first.answer().await;
        },
    );
}
