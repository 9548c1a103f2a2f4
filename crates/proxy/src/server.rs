//! Accepts callers over HTTP/1.1 and HTTP/2.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    Request,
    Response, //
};
use hyper::{
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::{
        conn::auto::Builder,
        graceful::GracefulShutdown, //
    },
};
use tokio::{
    net::TcpListener,
    sync::{
        Semaphore, //
        watch,
    },
};

use crate::body::ProxyBody;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub head_bytes_max: usize,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Most connections at once.
    pub connections_max: usize,
    /// Longest time that a planned stop waits for requests.
    pub drain_limit: Duration,
}

/// A listening socket for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    limits: ServerLimits,
}

impl CallerServer {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub async fn new(address: SocketAddr, limits: ServerLimits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, limits })
    }

    /// Returns the address, with the port that the system chose if none was given.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` turns true, then drains.
    ///
    /// Returns whether all requests ended within the drain limit.
    pub async fn serve<H, F>(self, handler: H, mut stop: watch::Receiver<bool>) -> bool
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ProxyBody>> + Send + 'static,
    {
        let builder = self.builder();
        let permits = Arc::new(Semaphore::new(self.limits.connections_max));
        let graceful = GracefulShutdown::new();
        loop {
            let stream = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|&is_stopping| is_stopping) => break,
            };
            let stream = match stream {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    // The usual cause is a lack of file handles, which passes as others close.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!("event=connection_refused reason=connections_max");
                continue;
            };
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection.into_owned());
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("event=caller_connection_ended error=\"{error}\"");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        tokio::time::timeout(self.limits.drain_limit, graceful.shutdown())
            .await
            .is_ok()
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.head_bytes_max.max(8192));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(self.limits.head_bytes_max).unwrap_or(u32::MAX));
        builder
    }
}
