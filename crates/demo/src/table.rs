//! Formats the measures as tables.

use std::{
    fmt::Write,
    time::Duration, //
};

use crate::{
    measures::{
        DemoReport,
        TeamMeasures, //
    },
    scenario::GRAY_TARGET,
};

/// Returns the tables and the violated invariants as plain text.
pub fn render_report(report: &DemoReport) -> String {
    let mut text = format!(
        "\nseed {}, {} s of load\n\n",
        report.plan.seed,
        report.plan.length.as_secs()
    );
    push_teams(&mut text, report);
    text.push('\n');
    for (name, value) in measure_rows(report) {
        push_line(&mut text, format_args!("{name:<58} {value}\n"));
    }
    text.push('\n');
    if report.violations.is_empty() {
        text.push_str("No invariant was broken.\n");
    }
    for violation in &report.violations {
        push_line(&mut text, format_args!("BROKEN {violation}\n"));
    }
    text
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a String cannot fail.
    let _ = text.write_fmt(line);
}

fn push_teams(text: &mut String, report: &DemoReport) {
    let head = [
        "team", "rate", "burst", "asked", "within", "answered", "share", "over", "false", "failed",
        "excess",
    ];
    push_line(text, format_args!("{:<14}", head[0]));
    for name in &head[1..] {
        push_line(text, format_args!(" {name:>8}"));
    }
    text.push('\n');
    for measures in &report.teams {
        let TeamMeasures {
            team,
            sent_count,
            within,
            answered,
            over_rate,
            false_refusals,
            failed,
            overshoot,
        } = measures;
        let share = format!("{:.1} %", measures.share() * 100.0);
        push_line(
            text,
            format_args!(
                "{:<14} {:>8} {:>8} {sent_count:>8} {within:>8} {answered:>8} {share:>8} \
                 {over_rate:>8} {false_refusals:>8} {failed:>8} {overshoot:>8.1}\n",
                team.id, team.rate, team.burst
            ),
        );
    }
    text.push_str(
        "within: what one limiter with this rate and burst lets through; share: answered of \
         within;\nover: refused as over the rate; false: those within it; failed: refused or failed \
         otherwise;\nexcess: received beyond rate x window + burst, in the worst window\n",
    );
}

fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1000.0)
}

fn measure_rows(report: &DemoReport) -> Vec<(String, String)> {
    let row = |name: &str, value: String| (name.to_owned(), value);
    let worst = report
        .teams
        .iter()
        .min_by(|a, b| a.share().total_cmp(&b.share()));
    let worst = worst.map_or_else(String::new, |team| {
        format!("{:.1} % ({})", team.share() * 100.0, team.team.id)
    });
    let gray = format!(
        "{} requests in {:.1} s",
        report.gray_requests,
        report.gray_time.as_secs_f64()
    );
    let detection = match report.detection {
        Some(time) => format!("{:.1} s", time.as_secs_f64()),
        None => "not detected in this run".into(),
    };
    let ejected = match report.false_ejections.is_empty() {
        true => "none".into(),
        false => report.false_ejections.join(", "),
    };
    let stop = format!(
        "{} (drained: {})",
        report.cut_stop,
        if report.is_drained { "yes" } else { "no" }
    );
    let ratio = |part: usize, whole: usize| format!("{part} of {whole}");
    let mut rows = vec![
        row(
            "worst-served team, share of what it asked within its rate",
            worst,
        ),
        row(
            &format!("gray target {GRAY_TARGET}: time until out of use"),
            detection,
        ),
        row("gray target: what it got while it failed", gray),
        row("other targets ejected", ejected),
        row(
            "requests in the zone > 3 s after it was out, of all there",
            ratio(report.zone_late, report.zone_total),
        ),
        row(
            "withdrawn key: answered > 3 s after, of the tries",
            ratio(report.key_late, report.key_tries),
        ),
        row(
            "purchases that ran more than once, of those that ran",
            ratio(report.double_runs, report.purchases),
        ),
        row(
            "purchases that ran, of those answered not-run",
            ratio(report.false_not_run, report.not_run),
        ),
        row(
            "most requests at once at a cold target",
            format!(
                "{} ({} requests)",
                report.cold_concurrent_max, report.cold_requests
            ),
        ),
        row("heads with a key at targets", report.key_heads.to_string()),
        row(
            "answers to another request",
            report.wrong_answers.to_string(),
        ),
        row(
            "answers cut at hosts that ran on",
            report.cut_running.to_string(),
        ),
        row("requests cut by the planned stop", stop),
        row("requests cut by the crash", report.cut_crash.to_string()),
        row(
            "requests that found a closed port",
            report.unreachable.to_string(),
        ),
        row(
            "requests not sent, with too many in flight",
            report.unsent.to_string(),
        ),
    ];
    let failures = report.failures.iter();
    let failures = failures.map(|(reason, count)| format!("{reason} {count}"));
    let failures = failures.collect::<Vec<_>>().join(", ");
    rows.push(row("failures by reason", failures));
    for latency in &report.latency {
        let name = format!("latency of answered {}, p50 / p99", latency.kind.name());
        let value = format!("{} / {}", millis(latency.p50), millis(latency.p99));
        rows.push((name, value));
    }
    rows
}
