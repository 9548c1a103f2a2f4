//! Connections to one target.
//!
//! Idle connections are kept for the next request. A connection on which a request failed or timed
//! out is closed, because something between the two ends may have lost track of it.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use http::{
    Request,
    Response, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::{
        SendRequest, //
        handshake,
    },
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{
        Instant, //
        timeout_at,
    },
};

use crate::body::ProxyBody;

/// Longest time that a connection stays idle.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Longest time that a new connection may take; one takes about 1 ms.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// Why an attempt gave no answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection came about, so that nothing was written.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection closed before anything of the request was written.
    #[error("the connection closed before the request was written")]
    NotWritten,
    /// The connection broke after some of the request may have been written.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// No answer came before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
}

/// An idle connection and when it became idle.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<ProxyBody>,
    since: Instant,
}

/// Connections to one target.
#[derive(Debug)]
pub struct TargetClient {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl TargetClient {
    /// Makes a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    fn take_idle(&self) -> Option<SendRequest<ProxyBody>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if connection.since.elapsed() < IDLE_MAX && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Gives a connection back after the whole answer has been read.
    pub fn put_idle(&self, sender: SendRequest<ProxyBody>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(IdleConnection {
            sender,
            since: Instant::now(),
        });
    }

    async fn connect(&self) -> Result<SendRequest<ProxyBody>, AttemptError> {
        let stream = tokio::time::timeout(CONNECT_MAX, TcpStream::connect(self.address))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(AttemptError::Connect)?;
        stream.set_nodelay(true).map_err(AttemptError::Connect)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| AttemptError::NotWritten)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=target_connection_ended error=\"{error}\"");
            }
        });
        Ok(sender)
    }

    /// Sends a request and returns the head of the answer, with the connection to give back once
    /// the body has been read.
    ///
    /// # Errors
    ///
    /// Fails with what is known about whether the request was written.
    pub async fn send(
        &self,
        request: Request<ProxyBody>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, SendRequest<ProxyBody>), AttemptError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        match timeout_at(deadline, sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok((response, sender)),
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(_) => Err(AttemptError::NotWritten),
                None => Err(AttemptError::Broken(failure.into_error())),
            },
            Err(_) => Err(AttemptError::TimedOut),
        }
    }
}
