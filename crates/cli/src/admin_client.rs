//! HTTP client for the admin address of a host.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_border::generated::{
    explain::ExplainDocument,
    status::StatusDocument, //
};
use getopts::Matches;
use http::{
    Method,
    Request,
    StatusCode,
    header::HOST, //
};
use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::{
    CommandOutcome,
    EXIT_UNAVAILABLE,
    report,
    usage_error, //
};

/// Timeout for a request to a host, including the connection and the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 256 << 20;

/// Error of a request to an admin address.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The host did not respond.
    #[error("{address}: no answer: {reason}; check the address and that the host runs")]
    Unreachable {
        /// The admin address.
        address: SocketAddr,
        /// Reason for the failure.
        reason: String,
    },
    /// The response has an error status or an invalid body.
    #[error("{address}: the answer is not valid: {reason}; check that it is an admin address")]
    BadAnswer {
        /// The admin address.
        address: SocketAddr,
        /// Reason for which the response is invalid.
        reason: String,
    },
}

/// Percent-encodes a value for a URL query.
fn encode(text: &str) -> String {
    let encode_byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}

/// Sends a request on a new connection and reads the response.
async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX)
        .collect()
        .await;
    Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
}

/// Sends a request to an admin address and returns the body of the response.
///
/// # Errors
///
/// Returns an error if the host does not respond within 5 s or responds with an error status.
pub fn send_request(address: SocketAddr, method: Method, path: &str) -> Result<Bytes, AdminError> {
    let unreachable = |reason: String| AdminError::Unreachable { address, reason };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| unreachable(error.to_string()))?;
    let response = runtime.block_on(async {
        tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, method, path)).await
    });
    let response = response.map_err(|_| unreachable("timed out after 5 s".into()))?;
    let (status, body) = response.map_err(unreachable)?;
    if status.is_success() {
        return Ok(body);
    }
    Err(AdminError::BadAnswer {
        address,
        reason: format!("status {status}"),
    })
}

fn parse<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T, AdminError> {
    serde_json::from_slice(body).map_err(|error| AdminError::BadAnswer {
        address,
        reason: error.to_string(),
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandOutcome> {
    let reason = format!("{text:?} is no address; write an IP number and a port");
    text.parse().map_err(|_| usage_error(reason))
}

/// Runs `status`, which shows the status of hosts.
pub fn status(addresses: &[String], is_json: bool) -> CommandOutcome {
    if addresses.is_empty() {
        return usage_error("status needs --admin ADDR");
    }
    let mut outcome = CommandOutcome::default();
    let mut documents = Vec::new();
    for address in addresses {
        let address = match parse_address(address) {
            Ok(address) => address,
            Err(outcome) => return outcome,
        };
        let body = send_request(address, Method::GET, "/status");
        match body.and_then(|body| parse::<StatusDocument>(address, &body)) {
            Ok(document) => documents.push(document),
            Err(error) => {
                outcome.errors.push_str(&format!("chicorycroft: {error}\n"));
                outcome.status = EXIT_UNAVAILABLE;
            }
        }
    }
    outcome.output = if is_json {
        let lines = documents.iter().map(serde_json::to_string);
        lines
            .filter_map(Result::ok)
            .map(|line| line + "\n")
            .collect()
    } else {
        report::status_text(&documents)
    };
    outcome
}

fn admin_address(matches: &Matches) -> Result<SocketAddr, CommandOutcome> {
    let address = matches.opt_str("admin");
    let address = address.ok_or_else(|| usage_error("--admin ADDR is missing"))?;
    parse_address(&address)
}

/// Runs `explain`, which shows how a host would handle a request.
pub fn explain(matches: &Matches) -> CommandOutcome {
    let [method, path] = matches.free.as_slice() else {
        return usage_error("explain needs METHOD and PATH");
    };
    let address = match admin_address(matches) {
        Ok(address) => address,
        Err(outcome) => return outcome,
    };
    let mut target = format!("/explain?method={}&path={}", encode(method), encode(path));
    if let Some(team) = matches.opt_str("team") {
        target.push_str(&format!("&team={}", encode(&team)));
    }
    let body = send_request(address, Method::GET, &target);
    match body.and_then(|body| parse::<ExplainDocument>(address, &body)) {
        Ok(document) => CommandOutcome::new(report::explain_text(&document)),
        Err(error) => CommandOutcome::with_error(EXIT_UNAVAILABLE, error),
    }
}

/// Runs `drain`, which starts the planned stop of a host.
pub fn drain(matches: &Matches) -> CommandOutcome {
    let address = match admin_address(matches) {
        Ok(address) => address,
        Err(outcome) => return outcome,
    };
    match send_request(address, Method::POST, "/drain") {
        Ok(body) => CommandOutcome::new(String::from_utf8_lossy(&body)),
        Err(error) => CommandOutcome::with_error(EXIT_UNAVAILABLE, error),
    }
}
