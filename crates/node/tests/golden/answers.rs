//! Sessions about answers that come late or twice.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::sync::Notify;

use crate::{
    play,
    session::{
        FleetPlan,
        request_of, //
    },
    target::TargetAct,
};

/// Guards against a late answer that reaches the next request, and against a retry of an order
/// whose deadline has passed.
#[test]
fn late_answer() {
    play("late_answer", FleetPlan::new(1, 1), async |session| {
        let turn = Arc::new(Notify::new());
        session.script(TargetAct::Late(turn.clone()));
        let mut caller = session.caller(0).await;
        caller
            .send(&request_of("POST /notices/first HTTP/1.1", "labels"))
            .await;
        session.settle().await;
        session.pass(Duration::from_millis(2100)).await;
        caller.answer().await;
        turn.notify_one();
        session.settle().await;
        caller
            .send(&request_of("POST /notices/second HTTP/1.1", "labels"))
            .await;
        caller.answer().await;
    });
}

/// Guards against a second answer that is left on a kept connection and reaches the next request.
#[test]
fn answer_sent_twice() {
    play("answer_sent_twice", FleetPlan::new(1, 1), async |session| {
        session.script(TargetAct::Twice);
        session.call(0, "GET /notices/first HTTP/1.1", "").await;
        session.settle().await;
        session.call(0, "GET /notices/second HTTP/1.1", "").await;
    });
}

/// Guards against answers that change places: two requests are with a target at once, by way of its
/// owner, and the second is answered first.
#[test]
fn answers_out_of_order() {
    play(
        "answers_out_of_order",
        FleetPlan::new(2, 1),
        async |session| {
            // One good answer opens the second slot of the cold target.
            session.call(0, "GET /notices/warm-up HTTP/1.1", "").await;
            let turn = Arc::new(Notify::new());
            session.script(TargetAct::Late(turn.clone()));
            let mut first = session.caller(0).await;
            first
                .send(&request_of("GET /notices/first HTTP/1.1", ""))
                .await;
            session.settle().await;
            session.call(0, "GET /notices/second HTTP/1.1", "").await;
            turn.notify_one();
            first.answer().await;
        },
    );
}
