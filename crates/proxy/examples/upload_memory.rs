//! Streams uploads through a forwarding server and prints the peak resident memory of the process.
//!
//! Arguments: number of concurrent uploads, size of each in megabytes, HTTP version of the callers (1 or 2)
//! and the pause of the target after each frame in milliseconds. Callers, proxy and target share the
//! process, so that the figure is an upper bound for the proxy.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response,
    header::CONTENT_LENGTH, //
};
use http_body_util::{
    BodyExt,
    Channel,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    body::Incoming,
    client::conn::{
        http1,
        http2, //
    },
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time::Instant, //
};

type ProgramError = Box<dyn std::error::Error + Send + Sync>;
type CallerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Idle timeout of request and response bodies.
const IDLE_MAX: Duration = Duration::from_secs(60);
/// Timeout for one upload.
const DEADLINE: Duration = Duration::from_secs(600);

/// Number of concurrent uploads on one HTTP/2 connection.
const STREAMS: usize = 50;

static CHUNK: [u8; 64 << 10] = [7; 64 << 10];

#[derive(Clone, Copy)]
struct UploadPlan {
    uploads: usize,
    bytes: usize,
    version: u32,
    pause: Duration,
}

fn parse_plan() -> Result<UploadPlan, ProgramError> {
    let numbers: Result<Vec<u32>, _> = std::env::args().skip(1).map(|text| text.parse()).collect();
    let numbers = numbers?;
    let number = |at: usize, default| numbers.get(at).copied().unwrap_or(default);
    Ok(UploadPlan {
        uploads: usize::try_from(number(0, 50))?,
        bytes: usize::try_from(number(1, 20))? * 1_000_000,
        version: number(2, 1),
        pause: Duration::from_millis(number(3, 0).into()),
    })
}

/// Returns the value of a line in `/proc/self/status`, in kilobytes.
fn status_kilobytes(name: &str) -> Result<u64, ProgramError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number
        .ok_or_else(|| format!("/proc/self/status has no line {name}"))?
        .parse()?)
}

/// Starts a server on a free local port and returns its address.
async fn start<H, F>(plan: UploadPlan, handler: H) -> Result<SocketAddr, ProgramError>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let limits = ServerLimits {
        head_bytes_max: 16 << 10,
        head_timeout: Duration::from_secs(10),
        connections_max: plan.uploads + 8,
        drain_limit: Duration::from_secs(1),
    };
    let server = CallerServer::new(([127, 0, 0, 1], 0).into(), limits).await?;
    let address = server.address()?;
    let stop = watch::Sender::new(false);
    let receiver = stop.subscribe();
    tokio::spawn(async move {
        server.serve(handler, receiver).await;
        drop(stop);
    });
    Ok(address)
}

/// Reads an upload with the pauses of the plan and counts its bytes.
async fn receive(
    plan: UploadPlan,
    received: Arc<AtomicU64>,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    let mut body = request.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        let count = frame.data_ref().map_or(0, Bytes::len);
        received.fetch_add(u64::try_from(count).unwrap_or(0), Ordering::Relaxed);
        if !plan.pause.is_zero() {
            tokio::time::sleep(plan.pause).await;
        }
    }
    Response::new(full_body("ok\n"))
}

async fn forward(client: Arc<TargetClient>, request: Request<Incoming>) -> Response<ProxyBody> {
    let (mut parts, body) = request.into_parts();
    sanitize_request(&mut parts);
    let body = WatchedBody::new(body, IDLE_MAX, |_| {});
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = parts.method;
    *request.headers_mut() = parts.headers;
    let host = http::HeaderValue::from_static("target");
    request.headers_mut().insert(http::header::HOST, host);
    match client.send(request, Instant::now() + DEADLINE).await {
        Ok(response) => response.into_response(IDLE_MAX, |_| {}),
        Err(_) => RefusalKind::BadGateway.respond(ExecutionStatus::Unknown, None),
    }
}

fn upload(plan: UploadPlan) -> Result<Request<CallerBody>, ProgramError> {
    let (mut sender, body) = Channel::new(1);
    tokio::spawn(async move {
        let mut left = plan.bytes;
        while left > 0 {
            let count = left.min(CHUNK.len());
            if sender
                .send_data(Bytes::from_static(&CHUNK[..count]))
                .await
                .is_err()
            {
                return;
            }
            left -= count;
        }
    });
    let request = Request::post("http://edge/upload").header(CONTENT_LENGTH, plan.bytes);
    let request = request.header(http::header::HOST, "edge");
    Ok(request.body(body.boxed_unsync())?)
}

/// Sends uploads on one connection and returns the number that ended with status 200.
async fn call(plan: UploadPlan, proxy: SocketAddr, count: usize) -> Result<usize, ProgramError> {
    let stream = TokioIo::new(TcpStream::connect(proxy).await?);
    let mut tasks = JoinSet::new();
    if plan.version == 2 {
        let (sender, connection) = http2::handshake(TokioExecutor::new(), stream).await?;
        tokio::spawn(connection);
        for _ in 0..count {
            let mut sender = sender.clone();
            let request = upload(plan)?;
            tasks.spawn(async move { sender.send_request(request).await });
        }
    } else {
        let (mut sender, connection) = http1::handshake(stream).await?;
        tokio::spawn(connection);
        let request = upload(plan)?;
        tasks.spawn(async move { sender.send_request(request).await });
    }
    let mut good = 0;
    while let Some(response) = tasks.join_next().await {
        good += usize::from(response??.status() == 200);
    }
    Ok(good)
}

#[tokio::main]
async fn main() -> Result<(), ProgramError> {
    let plan = parse_plan()?;
    let received = Arc::new(AtomicU64::new(0));
    let count = received.clone();
    let target = start(plan, move |request| receive(plan, count.clone(), request)).await?;
    let client = Arc::new(TargetClient::new(target, plan.uploads));
    let proxy = start(plan, move |request| forward(client.clone(), request)).await?;
    let before = status_kilobytes("VmRSS")?;
    let begin = Instant::now();
    let per_connection = if plan.version == 2 { STREAMS } else { 1 };
    let mut callers = JoinSet::new();
    let mut left = plan.uploads;
    while left > 0 {
        let count = left.min(per_connection);
        callers.spawn(call(plan, proxy, count));
        left -= count;
    }
    let mut good = 0;
    while let Some(called) = callers.join_next().await {
        good += called??;
    }
    println!(
        "uploads={} bytes_each={} http={} pause_ms={} good={good} received={} seconds={:.1} \
         rss_before_kb={before} rss_peak_kb={}",
        plan.uploads,
        plan.bytes,
        plan.version,
        plan.pause.as_millis(),
        received.load(Ordering::Relaxed),
        begin.elapsed().as_secs_f64(),
        status_kilobytes("VmHWM")?,
    );
    Ok(())
}
