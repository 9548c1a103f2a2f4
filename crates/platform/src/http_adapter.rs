//! A client of the platform over HTTP/1.1.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /v1/values/NAME` | 200 with `X-Version`, or 404 |
//! | watch | `GET /v1/values/NAME?newer_than=V` | 200 with `X-Version`, or 304 when the wait times out |
//! | list hosts | `GET /v1/hosts` | 200 with a JSON list |

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http::{
    HeaderName,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Empty,
    LengthLimitError,
    Limited, //
};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use indexmap::IndexSet;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::{
    SmolStr,
    ToSmolStr,
    format_smolstr, //
};
use tokio::{
    net::TcpStream,
    task::JoinSet, //
};

use crate::client::{
    HostListing,
    PlatformClient,
    PlatformError,
    PlatformValue, //
};

/// Header that carries the version of a value.
pub const VERSION: HeaderName = HeaderName::from_static("x-version");

/// Maximum size of a value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Timeout of a plain read. The platform usually answers within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a watch. A watch on a dead connection cannot be distinguished from one without
/// changes, so it is abandoned and followed by a plain read, early enough for a change to take effect
/// on all hosts within 19 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a response head, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;

/// Maximum number of hosts in a list, which is several times the largest supported fleet.
const HOSTS_MAX: usize = 10_000;

/// A host in the platform's JSON list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostJson {
    /// Name of the host.
    pub id: SmolStr,
    /// Zone of the host.
    pub zone: SmolStr,
    /// Address for connections from other hosts.
    pub address: SmolStr,
    /// Whether the host is about to leave the fleet.
    #[serde(default)]
    pub leaving: bool,
}

fn unreachable(reason: impl ToString) -> PlatformError {
    PlatformError::Unreachable {
        reason: reason.to_string().into(),
    }
}

fn bad_answer(reason: impl ToString) -> PlatformError {
    PlatformError::BadAnswer {
        reason: reason.to_string().into(),
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, PlatformError> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable(format!("no connection within {CONNECT_TIMEOUT:?}")))?
        .map_err(unreachable)
}

async fn call(address: SocketAddr, path: &str) -> Result<Response<Bytes>, PlatformError> {
    let stream = connect(address).await?;
    let (mut sender, connection) = Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(unreachable)?;
    // Dropping the set aborts the connection task when this call returns or is cancelled.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(bad_answer)?;
    let response = sender.send_request(request).await.map_err(|error| {
        let is_invalid = error.is_parse() || error.is_parse_too_large();
        if is_invalid {
            bad_answer(error)
        } else {
            unreachable(error)
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, VALUE_BYTES_MAX).collect().await;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => bad_answer(format!("the body exceeds {VALUE_BYTES_MAX} bytes")),
        false => unreachable(error),
    })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Returns the answer to a request, or `None` if it has not arrived completely within the limit.
async fn get_within(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Option<Response<Bytes>>, PlatformError> {
    let answer = tokio::time::timeout(limit, call(address, path)).await;
    answer.map_or(Ok(None), |response| response.map(Some))
}

async fn get(address: SocketAddr, path: &str) -> Result<Response<Bytes>, PlatformError> {
    let response = get_within(address, path, READ_TIMEOUT).await?;
    response.ok_or_else(|| unreachable(format!("no answer within {READ_TIMEOUT:?}")))
}

fn value_path(name: &SmolStr) -> Result<SmolStr, PlatformError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_allowed) {
        return Err(PlatformError::BadName { name: name.clone() });
    }
    Ok(format_smolstr!("/v1/values/{name}"))
}

fn status_error(status: StatusCode) -> PlatformError {
    let reason = format_smolstr!("status {status}");
    match status {
        StatusCode::TOO_MANY_REQUESTS => unreachable(reason),
        status if status.is_server_error() => unreachable(reason),
        _ => bad_answer(reason),
    }
}

fn read_value(name: &SmolStr, response: Response<Bytes>) -> Result<PlatformValue, PlatformError> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(PlatformError::Missing { name: name.clone() }),
        status => return Err(status_error(status)),
    }
    let mut versions = response.headers().get_all(VERSION).iter();
    let version = versions.next().filter(|_| versions.next().is_none());
    let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
    Ok(PlatformValue {
        version: version
            .ok_or_else(|| bad_answer("expected exactly one valid x-version header"))?,
        content: response.into_body(),
    })
}

fn read_hosts(response: Response<Bytes>) -> Result<Vec<HostListing>, PlatformError> {
    if response.status() != StatusCode::OK {
        return Err(status_error(response.status()));
    }
    let hosts: Vec<HostJson> = serde_json::from_slice(response.body()).map_err(bad_answer)?;
    if hosts.len() > HOSTS_MAX {
        return Err(bad_answer(format!(
            "the list has {} hosts; at most {HOSTS_MAX} are allowed",
            hosts.len()
        )));
    }
    let names: IndexSet<_> = hosts.iter().map(|host| &host.id).collect();
    if names.len() < hosts.len() {
        return Err(bad_answer("a host is listed twice"));
    }
    let read_host = |host: HostJson| {
        Ok(HostListing {
            id: HostId::new(&host.id).map_err(bad_answer)?,
            zone: ZoneId::new(&host.zone).map_err(bad_answer)?,
            address: host.address.parse().map_err(bad_answer)?,
            is_leaving: host.leaving,
        })
    };
    hosts.into_iter().map(read_host).collect()
}

async fn read(address: SocketAddr, name: SmolStr) -> Result<PlatformValue, PlatformError> {
    let path = value_path(&name)?;
    read_value(&name, get(address, &path).await?)
}

async fn wait_newer(
    address: SocketAddr,
    name: SmolStr,
    version: ConfigVersion,
) -> Result<Option<PlatformValue>, PlatformError> {
    let path = format_smolstr!("{}?newer_than={version}", value_path(&name)?);
    let value = match get_within(address, &path, WATCH_TIMEOUT).await? {
        None => {
            let value = read(address, name).await?;
            return Ok((value.version > version).then_some(value));
        }
        Some(response) if response.status() == StatusCode::NOT_MODIFIED => return Ok(None),
        Some(response) => read_value(&name, response)?,
    };
    if value.version <= version {
        return Err(bad_answer(format!(
            "the watch for a version above {version} returned version {}",
            value.version
        )));
    }
    Ok(Some(value))
}

/// Creates a client of the platform at an address.
pub fn http_client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(
        move |name| Box::pin(read(address, name)),
        move |name, version| Box::pin(wait_newer(address, name, version)),
        move || Box::pin(async move { read_hosts(get(address, "/v1/hosts").await?) }),
    )
}

impl From<&HostListing> for HostJson {
    fn from(host: &HostListing) -> Self {
        Self {
            id: host.id.as_str().into(),
            zone: host.zone.as_str().into(),
            address: host.address.to_smolstr(),
            leaving: host.is_leaving,
        }
    }
}
