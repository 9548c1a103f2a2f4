//! Validation and sanitization of heads in both directions.

use std::net::SocketAddr;

use chicorycroft_proxy::{
    head::check_request,
    prelude::*,
    signals::{
        TargetSignal,
        TargetState, //
    },
};
use http::{
    Request,
    Response,
    StatusCode,
    request::Parts, //
};

fn request(method: &str, uri: &str, headers: &[(&str, &str)]) -> Parts {
    let mut builder = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(()).unwrap().into_parts().0
}

/// Guards against hop-by-hop headers and caller-supplied internal headers that reach a target.
#[test]
fn request_head_is_sanitized() {
    let mut parts = request(
        "POST",
        "/x",
        &[
            ("host", "gateway"),
            ("connection", "close, X-Private, Content-Length"),
            ("x-private", "1"),
            ("content-length", "5"),
            ("keep-alive", "1"),
            ("te", "trailers"),
            ("proxy-connection", "1"),
            ("expect", "100-continue"),
            ("trailer", "Authorization, X-Digest"),
            ("x-team", "other"),
            ("x-request-timeout-ms", "9"),
            ("x-target-state", "cold"),
            ("x-not-run", "1"),
            ("x-started-at", "1"),
            ("forwarded", "for=10.0.0.1"),
            ("x-forwarded-for", "10.0.0.1"),
            ("x-real-ip", "10.0.0.1"),
            ("via", "1.0 old"),
        ],
    );
    let address: SocketAddr = "[::ffff:192.0.2.7]:9".parse().unwrap();
    parts.extensions.insert(CallerAddress(address));
    sanitize_request(&mut parts);
    let mut lines: Vec<String> = parts
        .headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
        .collect();
    lines.sort();
    let expected = [
        "content-length: 5",
        "forwarded: for=192.0.2.7;host=\"gateway\";proto=http",
        "host: gateway",
        "trailer: x-digest",
        "via: 1.0 old",
        "via: 1.1 chicorycroft",
        "x-forwarded-for: 192.0.2.7",
    ];
    assert_eq!(lines, expected);
}

/// Guards against requests that a target could interpret differently.
#[test]
fn unsafe_request_is_refused() {
    let host = ("host", "a");
    let cases = [
        (request("CONNECT", "a:1", &[host]), RefusalKind::NoMethod),
        (request("GET", "/", &[]), RefusalKind::BadRequest),
        (request("GET", "/", &[host, host]), RefusalKind::BadRequest),
        (
            request("GET", "/", &[("host", "u@a")]),
            RefusalKind::BadRequest,
        ),
        (
            request("GET", "http://b/", &[host]),
            RefusalKind::BadRequest,
        ),
        (
            request("GET", "/", &[host, ("upgrade", "h2c")]),
            RefusalKind::BadRequest,
        ),
        (
            request("GET", "/", &[host, ("expect", "more")]),
            RefusalKind::BadExpectation,
        ),
        (request("GET", "/", &[host; 101]), RefusalKind::HeadTooLarge),
    ];
    for (parts, kind) in cases {
        assert_eq!(check_request(&parts), Err(kind), "{parts:?}");
    }
    assert_eq!(check_request(&request("GET", "http://a/", &[host])), Ok(()));
}

/// Guards against reported target states that are misread or forwarded to a caller.
#[test]
fn signal_is_read_and_removed() {
    let cases = [
        (503, "x-not-run", "1", (None, true, true)),
        (429, "x-not-run", "1", (None, true, false)),
        (200, "x-not-run", "1", (None, false, false)),
        (503, "x-not-run", "0", (None, false, false)),
        (
            200,
            "x-target-state",
            "draining",
            (Some(TargetState::Draining), false, false),
        ),
        (
            200,
            "x-target-state",
            "cold",
            (Some(TargetState::Cold), false, false),
        ),
        (200, "x-target-state", "other", (None, false, false)),
    ];
    for (status, name, value, expected) in cases {
        let response = Response::builder().status(status).header(name, value);
        let response = response
            .header("x-started-at", "77")
            .header("keep-alive", "1");
        let mut parts = response.body(()).unwrap().into_parts().0;
        let signal = TargetSignal::new(StatusCode::from_u16(status).unwrap(), &parts.headers);
        assert_eq!((signal.state, signal.is_not_run, signal.is_shed), expected);
        assert_eq!(signal.started_at.as_deref(), Some("77"));
        sanitize_response(&mut parts);
        assert_eq!(parts.headers.keys().collect::<Vec<_>>(), ["via"]);
    }
}
