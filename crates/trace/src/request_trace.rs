//! Gathers the lines of a request and orders them by cause.
//!
//! Clocks differ between hosts, so that times of two hosts are never compared. The lines of the host that took
//! the request stand in the order in which it wrote them; what a dispatcher decided stands before the line that
//! follows from it.

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::log_line::LogLine;

/// One step on a request's way.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceStep {
    /// The host that wrote the line.
    pub host: SmolStr,
    /// Time since that host's first line about the request, in milliseconds.
    pub offset_millis: Option<u64>,
    /// What the line tells.
    pub event: SmolStr,
    /// Its fields.
    pub fields: IndexMap<SmolStr, SmolStr>,
}

/// Something that the logs do not tell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceGap {
    /// A host left lines out while it worked on the request.
    LinesLeftOut {
        /// The host.
        host: SmolStr,
        /// Number of lines.
        count: u64,
    },
    /// No line tells who granted the permit of an attempt.
    NoGrant {
        /// Target of the attempt.
        target: SmolStr,
    },
    /// No line tells how an attempt ended for which a permit was granted.
    NoAttempt {
        /// Target of the permit.
        target: SmolStr,
    },
    /// No line tells how the request ended.
    NoEnd,
}

/// One request's way.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceReport {
    /// Id of the request.
    pub request: SmolStr,
    /// The steps by cause.
    pub steps: Vec<TraceStep>,
    /// What is missing.
    pub gaps: Vec<TraceGap>,
    /// Lines that were cut, mixed or no lines of a log.
    pub skipped: u64,
}

/// A line of a request, with the time of its host and its place in the input.
#[derive(Clone, Debug)]
struct FoundLine {
    line: LogLine,
    at: Option<u64>,
}

/// Gathers the lines of one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    request: SmolStr,
    found: Vec<FoundLine>,
    /// Time of the last line of each host.
    latest: IndexMap<SmolStr, u64>,
    /// Lines left out, with the time of the line before.
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
    /// Starts to look for a request.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            found: Vec::new(),
            latest: IndexMap::new(),
            left_out: Vec::new(),
            skipped: 0,
        }
    }

    /// Takes a line of a host's log; the lines of one host come in its order.
    pub fn take(&mut self, text: &str, host: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Ok(line) = LogLine::new(text, host) else {
            self.skipped += 1;
            return;
        };
        if let Some(at) = line.unix_millis {
            self.latest.insert(line.host.clone(), at);
        }
        let at = self.latest.get(&line.host).copied();
        if line.event == "lines_left_out" {
            let count = line.field("count").and_then(|count| count.parse().ok());
            self.left_out
                .push((line.host, at.unwrap_or(0), count.unwrap_or(1)));
        } else if line.field("id") == Some(&self.request) {
            self.found.push(FoundLine { line, at });
        }
    }

    /// Orders what was found.
    pub fn finish(self) -> TraceReport {
        let mut gaps = self.gaps_of_logs();
        let (decisions, mut ordered): (Vec<_>, Vec<_>) = self
            .found
            .iter()
            .partition(|found| is_of_dispatcher(&found.line));
        // A host whose time of day was set back still writes in order, so that its order is kept.
        for decision in decisions {
            let place = place_of(&decision.line, &ordered);
            if place.is_none() && is_grant(&decision.line) {
                let target = decision.line.field("target").unwrap_or_default();
                gaps.push(TraceGap::NoAttempt {
                    target: target.into(),
                });
            }
            let end = ordered.iter().position(|found| is_end(&found.line));
            let place = place.or(end).unwrap_or(ordered.len());
            ordered.insert(place, decision);
        }
        for (place, found) in ordered.iter().enumerate() {
            if is_attempt(&found.line) && !has_grant(&ordered[..place], &found.line) {
                let target = found.line.field("target").unwrap_or_default();
                gaps.push(TraceGap::NoGrant {
                    target: target.into(),
                });
            }
        }
        if !ordered.iter().any(|found| is_end(&found.line)) {
            gaps.push(TraceGap::NoEnd);
        }
        let first_of = |host: &SmolStr| {
            let own = self.found.iter().filter(|found| found.line.host == *host);
            own.filter_map(|found| found.at).min()
        };
        let steps = ordered.iter().map(|found| TraceStep {
            host: found.line.host.clone(),
            offset_millis: found
                .at
                .zip(first_of(&found.line.host))
                .map(|(at, first)| at - first),
            event: found.line.event.clone(),
            fields: found.line.fields.clone(),
        });
        TraceReport {
            steps: steps.collect(),
            request: self.request.clone(),
            gaps,
            skipped: self.skipped,
        }
    }

    /// Returns the lines that hosts left out between their first and last line about the request.
    fn gaps_of_logs(&self) -> Vec<TraceGap> {
        let is_near = |host: &SmolStr, at: u64| {
            let own = self.found.iter().filter(|found| found.line.host == *host);
            let times: Vec<u64> = own.filter_map(|found| found.at).collect();
            let (first, last) = (times.iter().min(), times.iter().max());
            first.is_some_and(|first| *first <= at) && last.is_some_and(|last| at <= *last)
        };
        let near = self
            .left_out
            .iter()
            .filter(|(host, at, _)| is_near(host, *at));
        near.map(|(host, _, count)| TraceGap::LinesLeftOut {
            host: host.clone(),
            count: *count,
        })
        .collect()
    }
}

/// Tells whether a line is a dispatcher's, which may be another host than the one that took the request.
fn is_of_dispatcher(line: &LogLine) -> bool {
    ["permit_granted", "permit_refused", "permit_relayed"].contains(&line.event.as_str())
}

/// Returns the place of the line that follows from a dispatcher's decision.
fn place_of(decision: &LogLine, ordered: &[&FoundLine]) -> Option<usize> {
    let follows = |place: usize| {
        let line = &ordered[place].line;
        match decision.event.as_str() {
            "permit_granted" => {
                is_attempt(line)
                    && line.field("target") == decision.field("target")
                    && !has_grant(&ordered[..place], line)
            }
            "permit_refused" => {
                line.event == "permit_answer"
                    && line.field("dispatcher") == Some(&decision.host)
                    && !has_refusal(&ordered[..place], decision)
            }
            // The dispatcher that a call was passed on to decides next.
            _ => is_of_dispatcher(line) && decision.field("dispatcher") == Some(&line.host),
        }
    };
    (0..ordered.len()).find(|place| follows(*place))
}

/// Tells whether the grant of an attempt stands before it and after the last attempt at that target.
fn has_grant(before: &[&FoundLine], attempt: &LogLine) -> bool {
    let target = attempt.field("target");
    let same = before
        .iter()
        .rev()
        .filter(|found| found.line.field("target") == target);
    let mut same = same.filter(|found| is_grant(&found.line) || is_attempt(&found.line));
    same.next().is_some_and(|found| is_grant(&found.line))
}

/// Tells whether a refusal of the same dispatcher is the last line before.
fn has_refusal(before: &[&FoundLine], refusal: &LogLine) -> bool {
    before
        .last()
        .is_some_and(|found| found.line.event == refusal.event && found.line.host == refusal.host)
}

/// Tells whether a field says something that its line does not say already.
fn is_told((key, value): &(&SmolStr, &SmolStr)) -> bool {
    !(*key == "id" || *key == "level" && *value == "INFO")
}

impl std::fmt::Display for TraceStep {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let offset = match self.offset_millis {
            Some(millis) => format_smolstr!("+{millis} ms"),
            None => SmolStr::new_static("-"),
        };
        write!(f, "{:<20} {offset:>9}  {:<18}", self.host, self.event)?;
        for (key, value) in self.fields.iter().filter(is_told) {
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
