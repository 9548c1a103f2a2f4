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
    Limited, //
};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::{
    SmolStr,
    ToSmolStr, //
    format_smolstr,
};
use tokio::net::TcpStream;

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

/// Longest time for a watch: the platform's 30 s and a margin.
const WATCH_MAX: Duration = Duration::from_secs(35);

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

async fn get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Response<Bytes>, PlatformError> {
    let call = async {
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        let (mut sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(unreachable)?;
        tokio::spawn(connection);
        let request = Request::get(path)
            .header("host", address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(bad_answer)?;
        let response = sender.send_request(request).await.map_err(unreachable)?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, VALUE_BYTES_MAX).collect().await;
        let body = body.map_err(unreachable)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    };
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(|_| Err(unreachable("no answer in time")))
}

fn read_value(name: &SmolStr, response: Response<Bytes>) -> Result<PlatformValue, PlatformError> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(PlatformError::Missing { name: name.clone() }),
        status => return Err(unreachable(format_smolstr!("status {status}"))),
    }
    let version = response.headers().get(VERSION);
    let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
    Ok(PlatformValue {
        version: version.ok_or_else(|| bad_answer("no version"))?,
        content: response.into_body(),
    })
}

fn read_hosts(response: Response<Bytes>) -> Result<Vec<HostListing>, PlatformError> {
    if response.status() != StatusCode::OK {
        return Err(unreachable(format_smolstr!("status {}", response.status())));
    }
    let hosts: Vec<HostWire> = serde_json::from_slice(response.body()).map_err(bad_answer)?;
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

/// Makes a client of the platform at an address.
pub fn http_client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(
        move |name| {
            Box::pin(async move {
                let path = format_smolstr!("/v1/values/{name}");
                read_value(&name, get(address, &path, READ_MAX).await?)
            })
        },
        move |name, version| {
            Box::pin(async move {
                let path = format_smolstr!("/v1/values/{name}?newer_than={version}");
                let response = get(address, &path, WATCH_MAX).await?;
                match response.status() {
                    StatusCode::NOT_MODIFIED => Ok(None),
                    _ => read_value(&name, response).map(Some),
                }
            })
        },
        move || Box::pin(async move { read_hosts(get(address, "/v1/hosts", READ_MAX).await?) }),
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
