//! Collects the lines of a request and puts them in causal order.
//!
//! Clocks differ between hosts, so that times of different hosts are never compared. The lines of the host that
//! received the request keep the order in which it wrote them; each decision of a dispatcher is placed before the
//! line that results from it.

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::log_line::LogLine;

/// One step in the processing of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceStep {
    /// Name of the host that wrote the line.
    pub host: SmolStr,
    /// Time since the first line of that host about the request, in milliseconds.
    pub offset_millis: Option<u64>,
    /// Event that the line reports.
    pub event: SmolStr,
    /// Other fields of the line.
    pub fields: IndexMap<SmolStr, SmolStr>,
}

/// Information that is missing in the logs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceGap {
    /// A host left out lines while it processed the request.
    LinesLeftOut {
        /// Name of the host.
        host: SmolStr,
        /// Number of lines left out.
        count: u64,
    },
    /// No line reports which dispatcher granted the permit of an attempt.
    NoGrant {
        /// Target of the attempt.
        target: SmolStr,
    },
    /// No line reports the result of an attempt for which a permit was granted.
    NoAttempt {
        /// Target of the permit.
        target: SmolStr,
    },
    /// No line reports the outcome of the request.
    NoEnd,
}

/// The steps of one request, in causal order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceReport {
    /// Id of the request.
    pub request: SmolStr,
    /// Steps in causal order.
    pub steps: Vec<TraceStep>,
    /// Missing information.
    pub gaps: Vec<TraceGap>,
    /// Number of lines that were truncated, interleaved or not lines of a log.
    pub skipped: u64,
}

/// A line about the request.
#[derive(Clone, Debug)]
struct MatchedLine {
    line: LogLine,
    /// Time of the line or, if it has none, of the previous line of the same host.
    at: Option<u64>,
}

/// Collects the lines of one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    request: SmolStr,
    matched: Vec<MatchedLine>,
    /// Time of the last line of each host.
    last_times: IndexMap<SmolStr, u64>,
    /// Host, time of the previous line and number of lines for each report of lines left out.
    left_out: Vec<(SmolStr, u64, u64)>,
    skipped: u64,
}

fn is_grant(line: &LogLine) -> bool {
    line.event == "permit_granted"
}

fn is_attempt(line: &LogLine) -> bool {
    line.event.starts_with("attempt")
}

fn is_end(line: &LogLine) -> bool {
    line.event == "request"
}

impl RequestTrace {
    /// Creates a trace without lines for the request with this id.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            matched: Vec::new(),
            last_times: IndexMap::new(),
            left_out: Vec::new(),
            skipped: 0,
        }
    }

    /// Adds a line of a host's log, if it concerns the request. The lines of one host must be added in the
    /// order in which the host wrote them; lines that cannot be parsed are only counted.
    pub fn add_line(&mut self, text: &str, host: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Ok(line) = LogLine::new(text, host) else {
            self.skipped += 1;
            return;
        };
        if let Some(at) = line.unix_millis {
            self.last_times.insert(line.host.clone(), at);
        }
        let at = self.last_times.get(&line.host).copied();
        if line.event == "lines_left_out" {
            let count = line.field("count").and_then(|count| count.parse().ok());
            self.left_out
                .push((line.host, at.unwrap_or(0), count.unwrap_or(1)));
        } else if line.field("id") == Some(&self.request) {
            self.matched.push(MatchedLine { line, at });
        }
    }

    /// Puts the collected lines in causal order and reports missing ones.
    pub fn finish(self) -> TraceReport {
        let mut gaps = self.left_out_gaps();
        let (decisions, mut ordered): (Vec<_>, Vec<_>) = self
            .matched
            .iter()
            .partition(|matched| is_dispatcher_line(&matched.line));
        // The order of lines is kept instead of sorting by time, as a host's clock may have been set back.
        for decision in decisions {
            let index = insertion_index(&decision.line, &ordered);
            if index.is_none() && is_grant(&decision.line) {
                let target = decision.line.field("target").unwrap_or_default();
                gaps.push(TraceGap::NoAttempt {
                    target: target.into(),
                });
            }
            let end = ordered.iter().position(|matched| is_end(&matched.line));
            let index = index.or(end).unwrap_or(ordered.len());
            ordered.insert(index, decision);
        }
        for (index, matched) in ordered.iter().enumerate() {
            if is_attempt(&matched.line) && !has_grant(&ordered[..index], &matched.line) {
                let target = matched.line.field("target").unwrap_or_default();
                gaps.push(TraceGap::NoGrant {
                    target: target.into(),
                });
            }
        }
        if !ordered.iter().any(|matched| is_end(&matched.line)) {
            gaps.push(TraceGap::NoEnd);
        }
        let first_time_of = |host: &SmolStr| {
            let host_lines = self
                .matched
                .iter()
                .filter(|matched| matched.line.host == *host);
            host_lines.filter_map(|matched| matched.at).min()
        };
        let steps = ordered.iter().map(|matched| TraceStep {
            host: matched.line.host.clone(),
            offset_millis: matched
                .at
                .zip(first_time_of(&matched.line.host))
                .map(|(at, first)| at - first),
            event: matched.line.event.clone(),
            fields: matched.line.fields.clone(),
        });
        TraceReport {
            steps: steps.collect(),
            request: self.request.clone(),
            gaps,
            skipped: self.skipped,
        }
    }

    /// Returns the lines that hosts left out between their first and last line about the request.
    fn left_out_gaps(&self) -> Vec<TraceGap> {
        let is_within_request = |host: &SmolStr, at: u64| {
            let host_lines = self
                .matched
                .iter()
                .filter(|matched| matched.line.host == *host);
            let times: Vec<u64> = host_lines.filter_map(|matched| matched.at).collect();
            let (first, last) = (times.iter().min(), times.iter().max());
            first.is_some_and(|first| *first <= at) && last.is_some_and(|last| at <= *last)
        };
        let reports = self
            .left_out
            .iter()
            .filter(|(host, at, _)| is_within_request(host, *at));
        reports
            .map(|(host, _, count)| TraceGap::LinesLeftOut {
                host: host.clone(),
                count: *count,
            })
            .collect()
    }
}

/// Returns `true` if a line reports the decision of a dispatcher, which may run on another host than the one that
/// received the request.
fn is_dispatcher_line(line: &LogLine) -> bool {
    ["permit_granted", "permit_refused", "permit_relayed"].contains(&line.event.as_str())
}

/// Returns the index of the line that results from a dispatcher's decision.
fn insertion_index(decision: &LogLine, ordered: &[&MatchedLine]) -> Option<usize> {
    let is_result = |index: usize| {
        let line = &ordered[index].line;
        match decision.event.as_str() {
            "permit_granted" => {
                is_attempt(line)
                    && line.field("target") == decision.field("target")
                    && !has_grant(&ordered[..index], line)
            }
            "permit_refused" => {
                line.event == "permit_answer"
                    && line.field("dispatcher") == Some(&decision.host)
                    && !has_refusal(&ordered[..index], decision)
            }
            // The dispatcher to which the call was relayed decides next.
            _ => is_dispatcher_line(line) && decision.field("dispatcher") == Some(&line.host),
        }
    };
    (0..ordered.len()).find(|index| is_result(*index))
}

/// Returns `true` if the lines before an attempt contain its grant, after the previous attempt at that target.
fn has_grant(before: &[&MatchedLine], attempt: &LogLine) -> bool {
    let target = attempt.field("target");
    let of_target = before
        .iter()
        .rev()
        .filter(|matched| matched.line.field("target") == target);
    let mut of_target =
        of_target.filter(|matched| is_grant(&matched.line) || is_attempt(&matched.line));
    of_target
        .next()
        .is_some_and(|matched| is_grant(&matched.line))
}

/// Returns `true` if the last line of `before` is a refusal by the same dispatcher.
fn has_refusal(before: &[&MatchedLine], refusal: &LogLine) -> bool {
    before.last().is_some_and(|matched| {
        matched.line.event == refusal.event && matched.line.host == refusal.host
    })
}

/// Returns `true` for the fields that are displayed: all except the id of the request, which the report shows
/// once, and the usual level.
fn is_displayed((key, value): &(&SmolStr, &SmolStr)) -> bool {
    !(*key == "id" || *key == "level" && *value == "INFO")
}

impl std::fmt::Display for TraceStep {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let offset = match self.offset_millis {
            Some(millis) => format_smolstr!("+{millis} ms"),
            None => SmolStr::new_static("-"),
        };
        write!(f, "{:<20} {offset:>9}  {:<18}", self.host, self.event)?;
        for (key, value) in self.fields.iter().filter(is_displayed) {
            match value.contains(' ') {
                true => write!(f, " {key}=\"{value}\"")?,
                false => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}

impl std::fmt::Display for TraceGap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::LinesLeftOut { host, count } => {
                write!(f, "{host} left out {count} lines meanwhile")
            }
            Self::NoGrant { target } => {
                write!(f, "no line tells who granted the attempt at {target}")
            }
            Self::NoAttempt { target } => {
                write!(f, "no line tells how the attempt at {target} ended")
            }
            Self::NoEnd => write!(f, "no line tells how the request ended"),
        }
    }
}

impl std::fmt::Display for TraceReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "request {}: {} lines", self.request, self.steps.len())?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        for gap in &self.gaps {
            writeln!(f, "  missing: {gap}")?;
        }
        if self.skipped > 0 {
            writeln!(
                f,
                "  {} lines were cut or mixed and are left out",
                self.skipped
            )?;
        }
        Ok(())
    }
}
