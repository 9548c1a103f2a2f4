//! The way of a request to a target and back.

use std::time::Duration;

use chicorycroft_platform_standin::{
    prelude::*,
    target::SIGNATURE, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::Instant, //
};

use crate::setting::TestSetting;

/// Guards against a target that sees a key, trusts a team that the caller made up, or runs a request that
/// was meant for another target.
#[tokio::test]
async fn target_gets_the_team_and_never_the_key() {
    let setting = TestSetting::new(1).await;
    let answer = setting.call("POST /buy/1?x=2", "key-1", "two labels").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, "answer of t-0")
    );
    assert!(answer.head.contains(SIGNATURE));
    let seen = setting.seen();
    let [request] = &seen[..] else {
        panic!("one request, not {}", seen.len());
    };
    assert!(request.head.starts_with("POST /buy/1?x=2 HTTP/1.1\r\n"));
    assert_eq!(request.body, b"two labels");
    assert!(!request.head.contains("key-1"));
    assert_eq!(request.team(), Some("weavers"));
    assert_eq!(request.target(), Some("t-0"));
    assert_eq!(request.header("x-request-id"), Some("id-1"));
    let left: u64 = request.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(
        (500..=1000).contains(&left),
        "{left} ms, the route allows 1000"
    );
}

/// Guards against requests that run without a route or a key.
#[tokio::test]
async fn request_without_route_or_key_reaches_no_target() {
    let setting = TestSetting::new(1).await;
    assert_eq!(setting.call("GET /gone/1", "key-1", "").await.status, 404);
    assert_eq!(setting.call("GET /look/1", "key-2", "").await.status, 401);
    assert!(setting.seen().is_empty());
    assert_eq!(setting.call("GET /open/1", "key-2", "").await.status, 200);
}

/// Guards against a request that must not run twice and is sent again after its target may have run it, and
/// against a refusal that says that it has not run.
#[tokio::test]
async fn request_that_may_have_run_is_sent_once() {
    for act in [
        TargetBehaviour::Cut,
        TargetBehaviour::CutInAnswer,
        TargetBehaviour::WrongRequestId,
        TargetBehaviour::Hang,
    ] {
        let setting = TestSetting::new(2).await;
        for target in &setting.targets {
            target.set_next_behaviours([act.clone()]);
        }
        let answer = setting.call("POST /buy/1", "key-1", "x").await;
        let expected = match act {
            TargetBehaviour::Hang => 504,
            _ => 502,
        };
        assert_eq!(answer.status, expected, "{act:?}");
        assert_eq!(setting.seen().len(), 1, "{act:?}");
    }
}

/// Guards against a lost request that could have been sent elsewhere.
#[tokio::test]
async fn request_that_did_not_run_or_may_run_twice_is_sent_to_another_target() {
    let cases = [
        ("POST /buy/1", TargetBehaviour::Shed),
        ("POST /buy/1", TargetBehaviour::Misdirect),
        ("GET /look/1", TargetBehaviour::Cut),
        ("GET /look/1", TargetBehaviour::CutInAnswer),
        ("GET /look/1", TargetBehaviour::Fail),
        ("GET /look/1", TargetBehaviour::WrongRequestId),
        ("GET /look/1", TargetBehaviour::Hang),
    ];
    for (line, act) in cases {
        let setting = TestSetting::new(2).await;
        // Whichever target comes first misbehaves once; the other one answers well.
        let first = &setting.targets[0];
        first.set_next_behaviours([act.clone()]);
        let mut answer = setting.call(line, "key-1", "x").await;
        if first.requests().is_empty() {
            answer = setting.call(line, "key-1", "x").await;
        }
        assert_eq!(answer.status, 200, "{line} {act:?}");
    }
}

/// Guards against more attempts than the route allows, and against a refusal without a promise where every
/// target said that it did not run the request.
#[tokio::test]
async fn refusal_is_honest_when_all_targets_shed() {
    let setting = TestSetting::new(3).await;
    for target in &setting.targets {
        target.set_next_behaviours(vec![TargetBehaviour::Shed; 4]);
    }
    let answer = setting.call("POST /buy/1", "key-1", "x").await;
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: 0."));
    assert_eq!(setting.seen().len(), 2);
}

/// Guards against the status of a target's own failure being changed.
#[tokio::test]
async fn failure_of_a_target_is_passed_on() {
    let setting = TestSetting::new(1).await;
    setting.targets[0].set_next_behaviours([TargetBehaviour::Fail]);
    let answer = setting.call("POST /buy/1", "key-1", "x").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (500, "answer of t-0")
    );
}

/// Guards against requests that are held beyond the time that their route allows.
#[tokio::test]
async fn answer_comes_at_the_end_of_the_route_s_time() {
    let setting = TestSetting::new(1).await;
    setting.targets[0].set_next_behaviours([TargetBehaviour::Hang]);
    let start = Instant::now();
    let answer = setting.call("POST /buy/1", "key-1", "x").await;
    assert_eq!(answer.status, 504);
    // The route allows 1 s, and the platform half a second more.
    assert!(start.elapsed() < Duration::from_millis(1500));
}

/// Guards against callers that wait for a slot that cannot become free in time.
#[tokio::test]
async fn request_waits_for_a_slot_and_is_served() {
    let setting = TestSetting::new(1).await;
    let work = Duration::from_millis(200);
    setting.targets[0].set_next_behaviours(vec![TargetBehaviour::Answer(work); 3]);
    let calls = ["POST /buy/1", "POST /buy/2", "POST /buy/3"];
    let calls = calls.map(|line| setting.call(line, "key-1", "x"));
    let [first, second, third] = calls;
    let (first, second, third) = tokio::join!(first, second, third);
    let statuses = [first.status, second.status, third.status];
    assert_eq!(statuses, [200, 200, 200]);
}

/// Guards against requests that no line and no counter tells of: their caller left at its deadline, a moment
/// before the answer.
#[tokio::test]
async fn request_whose_caller_left_is_counted() {
    let setting = TestSetting::new(1).await;
    setting.targets[0].set_next_behaviours([TargetBehaviour::Hang]);
    let mut caller = TcpStream::connect(setting.host.caller_address())
        .await
        .unwrap();
    let head = "GET /open/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: id-1\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    setting
        .until(|_| setting.seen().iter().any(|seen| seen.id() == Some("id-1")))
        .await;
    drop(caller);
    let counter = "gateway_requests_total{outcome=\"caller-left\"} 1";
    setting
        .until(|host| host.state().metrics.text().unwrap().contains(counter))
        .await;
}
