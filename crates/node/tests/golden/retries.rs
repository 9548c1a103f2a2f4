//! Sessions about requests that are retried and those that must not be.

use std::time::Duration;

use crate::{
    assert_golden,
    session::{
        FleetPlan,
        request_of, //
    },
    target::TargetBehaviour,
};

const LOOKUP: &str = "GET /notices/today HTTP/1.1";
const ORDER: &str = "POST /notices HTTP/1.1";

/// Guards against an idempotent request that fails although another target could answer it.
#[test]
fn lookup_cut_and_retried() {
    assert_golden(
        "lookup_cut_and_retried",
        FleetPlan::new(1, 2),
        async |session| {
            session.script(TargetBehaviour::CutAfterRequest);
            session.call(0, LOOKUP, "").await;
        },
    );
}

/// Guards against an order that is refused although it was never written: the chosen target accepts no
/// connections, and another one can run the order.
#[test]
fn order_cut_before_written() {
    assert_golden(
        "order_cut_before_written",
        FleetPlan::new(1, 2),
        async |session| {
            session.targets[0].task.abort();
            session.settle().await;
            for _ in 0..4 {
                session.call(0, ORDER, "labels").await;
            }
        },
    );
}

/// Guards against an order that runs twice, and against a wrong "not run": the connection closes when
/// half of the order is written.
#[test]
fn order_cut_while_written() {
    assert_golden(
        "order_cut_while_written",
        FleetPlan::new(1, 2),
        async |session| {
            session.script(TargetBehaviour::CutAfterHead);
            let mut caller = session.caller(0).await;
            let request = request_of(ORDER, "labels, labels");
            let (first, _) = request.split_at(request.len() - 7);
            caller.send(first).await;
            caller.answer().await;
        },
    );
}

/// Guards against an order that runs twice, and against a wrong "not run": the connection closes when
/// the order is written completely and not answered.
#[test]
fn order_cut_after_written() {
    assert_golden(
        "order_cut_after_written",
        FleetPlan::new(1, 2),
        async |session| {
            session.script(TargetBehaviour::CutAfterRequest);
            session.call(0, ORDER, "labels").await;
        },
    );
}

/// Guards against an order that fails when one target sheds it as not run, and against a wrong
/// "unknown" when all targets do.
#[test]
fn order_shed() {
    assert_golden("order_shed", FleetPlan::new(1, 2), async |session| {
        session.script(TargetBehaviour::Shed);
        session.call(0, ORDER, "labels").await;
        session.script(TargetBehaviour::Shed);
        session.script(TargetBehaviour::Shed);
        session.call(0, ORDER, "labels").await;
        session.advance(Duration::from_secs(1)).await;
    });
}
