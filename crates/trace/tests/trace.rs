//! Traces of requests in the logs of several hosts.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use chicorycroft_trace::prelude::*;
use quickcheck::quickcheck;

/// Log of the host that received the request. Its clock is seconds apart from those of the two dispatchers.
const ENTRY: &str = "\
unix_ms=5000 level=INFO event=request id=other outcome=ok
unix_ms=5010 level=INFO event=permit_answer id=r1 zone=a dispatcher=edge-2 answer=busy wait_ms=0
unix_ms=5020 level=INFO event=attempt id=r1 target=t-7 zone=b result=shed reason=\"not run\" elapsed_ms=3
event=lines_left_out count=12
unix_ms=5090 level=INFO event=attempt id=r1 target=t-8 zone=b result=good elapsed_ms=60
unix_ms=5091 level=INFO event=request id=r1 outcome=ok status=200 elapsed_ms=81
event=lines_left_out count=4
";

/// Log of the dispatcher that refused a permit.
const FIRST_DISPATCHER: &str = "\
unix_ms=9005 level=INFO event=permit_refused id=r1 reason=busy
unix_ms=9006 level=INFO event=permit_granted id=other permit=1 target=t-1
";

/// Log of the dispatcher that granted two permits; its last line is truncated.
const SECOND_DISPATCHER: &str = "\
unix_ms=101 level=INFO event=permit_granted id=r1 permit=4 target=t-7
unix_ms=121 level=INFO event=permit_granted id=r1 permit=5 target=t-8
unix_ms=122 level=INFO event=permit_granted id
";

fn report(logs: &[(&str, &str)]) -> TraceReport {
    let mut trace = RequestTrace::new("r1");
    for (host, log) in logs {
        log.lines().for_each(|line| trace.add_line(line, host));
    }
    trace.finish()
}

fn events(report: &TraceReport) -> Vec<String> {
    let steps = report.steps.iter();
    steps
        .map(|step| format!("{} {}", step.host, step.event))
        .collect()
}

/// Guards against steps sorted by the clocks of different hosts, which places effects before their causes.
#[test]
fn steps_are_in_causal_order_for_any_clocks_and_file_order() {
    let mut logs = [
        ("edge-1", ENTRY),
        ("edge-2", FIRST_DISPATCHER),
        ("edge-3", SECOND_DISPATCHER),
    ];
    for _ in 0..3 {
        logs.rotate_left(1);
        let report = report(&logs);
        assert_eq!(
            events(&report),
            [
                "edge-2 permit_refused",
                "edge-1 permit_answer",
                "edge-3 permit_granted",
                "edge-1 attempt",
                "edge-3 permit_granted",
                "edge-1 attempt",
                "edge-1 request",
            ]
        );
        assert_eq!(report.steps[3].offset_millis, Some(10));
        assert_eq!(report.steps[3].fields["reason"], "not run");
    }
}

/// Guards against a trace that looks complete although lines are missing, and against reported gaps from outside
/// the time of the request.
#[test]
fn missing_lines_are_reported_as_gaps() {
    let complete = report(&[
        ("edge-1", ENTRY),
        ("edge-2", FIRST_DISPATCHER),
        ("edge-3", SECOND_DISPATCHER),
    ]);
    let left_out = |count| TraceGap::LinesLeftOut {
        host: "edge-1".into(),
        count,
    };
    assert_eq!(complete.skipped, 1, "the truncated line");
    assert_eq!(complete.gaps, [left_out(12), left_out(4)]);
    let entry_only = report(&[("edge-1", ENTRY)]);
    assert!(entry_only.gaps.contains(&TraceGap::NoGrant {
        target: "t-8".into()
    }));
    let no_entry = report(&[("edge-3", SECOND_DISPATCHER)]);
    let no_attempt = |target: &str| TraceGap::NoAttempt {
        target: target.into(),
    };
    assert_eq!(
        no_entry.gaps,
        [no_attempt("t-7"), no_attempt("t-8"), TraceGap::NoEnd]
    );
}

/// Guards against a wrong host name where a log collector added a prefix to the line.
#[test]
fn host_in_the_prefix_overrides_the_file_name() {
    let text = "  18.5003 edge-9 unix_ms=7 level=INFO event=request id=r1 error=\"a=b c\"";
    let line = LogLine::new(text, "file").unwrap();
    assert_eq!((line.host.as_str(), line.unix_millis), ("edge-9", Some(7)));
    assert_eq!(line.field("error"), Some("a=b c"));
    let interleaved = "unix_ms=1 event=per 18.1 edge-2 unix_ms=2 event=request id=r1";
    assert!(LogLine::new(interleaved, "file").is_err());
    let twice = "unix_ms=1 event=permit unix_ms=2 event=request";
    assert_eq!(LogLine::new(twice, "file"), Err(LineError::Interleaved));
    assert_eq!(LogLine::new("no pairs", "file"), Err(LineError::NoEvent));
}

quickcheck! {
    /// Guards against input that makes the parser panic or that yields more steps than lines.
    fn any_text_is_accepted(lines: Vec<String>) -> bool {
        let mut trace = RequestTrace::new("r1");
        for line in &lines {
            trace.add_line(line, "host");
            trace.add_line(&format!("unix_ms=1 event=request id=r1 {line}"), "host");
        }
        trace.finish().steps.len() <= lines.len()
    }
}
