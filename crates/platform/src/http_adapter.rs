//! The platform over HTTP/1.1.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /v1/values/NAME` | 200 with `X-Version`, or 404 |
//! | wait | `GET /v1/values/NAME?newer_than=V` | 200 with `X-Version`, or 304 after a while |
//! | hosts | `GET /v1/hosts` | 200 with a JSON list |

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
    ToSmolStr, //
    format_smolstr,
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

/// Largest value of the platform, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Longest time for a plain read; the platform answers in milliseconds.
const READ_MAX: Duration = Duration::from_secs(2);

/// Longest time for a new connection.
const CONNECT_MAX: Duration = Duration::from_millis(500);

/// Longest time for a watch. A watch on a connection that went silent looks like one without news, so
/// that it is given up and followed by a plain read, early enough for changes to be in force
/// everywhere within 19 s.
const WATCH_MAX: Duration = Duration::from_secs(8);

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;

/// Most hosts in a list: several times the size that is designed for.
const HOSTS_MAX: usize = 10_000;

/// A host on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostWire {
    /// Name of the host.
    pub id: SmolStr,
    /// Zone that the host is in.
    pub zone: SmolStr,
    /// Address for the other hosts.
    pub address: SmolStr,
    /// Whether the host is about to leave.
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
    tokio::time::timeout(CONNECT_MAX, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable("no connection in time"))?
        .map_err(unreachable)
}

async fn call(address: SocketAddr, path: &str) -> Result<Response<Bytes>, PlatformError> {
    let stream = connect(address).await?;
    let (mut sender, connection) = Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(unreachable)?;
    // The set ends the task when this call ends or is given up.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(bad_answer)?;
    let response = sender.send_request(request).await.map_err(|error| {
        let is_wrong = error.is_parse() || error.is_parse_too_large();
        if is_wrong {
            bad_answer(error)
        } else {
            unreachable(error)
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, VALUE_BYTES_MAX).collect().await;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => bad_answer("the answer is longer than a value may be"),
        false => unreachable(error),
    })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Returns the answer to a request, or none if it has not arrived as a whole within the limit.
async fn get_within(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Option<Response<Bytes>>, PlatformError> {
    let answer = tokio::time::timeout(limit, call(address, path)).await;
    answer.map_or(Ok(None), |response| response.map(Some))
}

async fn get(address: SocketAddr, path: &str) -> Result<Response<Bytes>, PlatformError> {
    let response = get_within(address, path, READ_MAX).await?;
    response.ok_or_else(|| unreachable("no answer in time"))
}

fn value_path(name: &SmolStr) -> Result<SmolStr, PlatformError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_plain) {
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
        version: version.ok_or_else(|| bad_answer("not exactly one version"))?,
        content: response.into_body(),
    })
}

fn read_hosts(response: Response<Bytes>) -> Result<Vec<HostListing>, PlatformError> {
    if response.status() != StatusCode::OK {
        return Err(status_error(response.status()));
    }
    let hosts: Vec<HostWire> = serde_json::from_slice(response.body()).map_err(bad_answer)?;
    if hosts.len() > HOSTS_MAX {
        return Err(bad_answer("the list has too many hosts"));
    }
    let names: IndexSet<_> = hosts.iter().map(|host| &host.id).collect();
    if names.len() < hosts.len() {
        return Err(bad_answer("a host is listed twice"));
    }
    let read_host = |host: HostWire| {
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
    let value = match get_within(address, &path, WATCH_MAX).await? {
        None => {
            let value = read(address, name).await?;
            return Ok((value.version > version).then_some(value));
        }
        Some(response) if response.status() == StatusCode::NOT_MODIFIED => return Ok(None),
        Some(response) => read_value(&name, response)?,
    };
    if value.version <= version {
        return Err(bad_answer(
            "the watch answered with a version that is not newer",
        ));
    }
    Ok(Some(value))
}

/// Makes a client of the platform at an address.
pub fn http_client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(
        move |name| Box::pin(read(address, name)),
        move |name, version| Box::pin(wait_newer(address, name, version)),
        move || Box::pin(async move { read_hosts(get(address, "/v1/hosts").await?) }),
    )
}

impl From<&HostListing> for HostWire {
    fn from(host: &HostListing) -> Self {
        Self {
            id: host.id.as_str().into(),
            zone: host.zone.as_str().into(),
            address: host.address.to_smolstr(),
            leaving: host.is_leaving,
        }
    }
}
