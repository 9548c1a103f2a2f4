//! A TCP relay on loopback that delays, holds or drops data, or resets its connections.

use std::{
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

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::sleep,
};

/// Size of the read buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// How a relay treats all its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass after this delay.
    Delayed(Duration),
    /// No bytes pass; they are held until the link is open again.
    Cut,
    /// Bytes pass towards the far end only.
    OneWay,
    /// New connections are reset at once.
    Refusing,
}

/// Direction of a byte stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowDirection {
    Forward,
    Back,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    mode: LinkMode,
    /// Connections with a lower number drop all further bytes.
    silenced_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
}

/// How to proceed with bytes that have been read.
enum FlowAction {
    Pass(Duration),
    Hold,
    Discard,
    Reset,
}

impl RelayState {
    fn action(&self, number: u64, direction: FlowDirection) -> FlowAction {
        if number < self.reset_below {
            return FlowAction::Reset;
        }
        if number < self.silenced_below {
            return FlowAction::Discard;
        }
        match self.mode {
            LinkMode::Cut => FlowAction::Hold,
            LinkMode::OneWay if direction == FlowDirection::Back => FlowAction::Hold,
            LinkMode::Delayed(delay) => FlowAction::Pass(delay),
            _ => FlowAction::Pass(Duration::ZERO),
        }
    }
}

/// The connection failed or is to be reset.
struct ConnectionReset;

/// A TCP relay to one address.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    next_number: Arc<AtomicU64>,
}

impl FaultRelay {
    /// Starts a relay to an address on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::new(watch::Sender::new(RelayState::default())),
            next_number: Arc::new(AtomicU64::new(1)),
        };
        let served = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = served.clone();
                let number = relay.next_number.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move { relay.serve(stream, to, number).await });
            }
        });
        Ok(relay)
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all connections, open and new.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Makes the open connections drop all further bytes. New connections are not affected.
    pub fn silence_connections(&self) {
        let next = self.next_number.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.silenced_below = next);
    }

    /// Resets the open connections. New connections are not affected.
    pub fn reset_connections(&self) {
        let next = self.next_number.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.reset_below = next);
    }

    async fn serve(&self, mut near: TcpStream, to: SocketAddr, number: u64) {
        if self.state.borrow().mode == LinkMode::Refusing {
            reset(&near);
            return;
        }
        let Ok(mut far) = TcpStream::connect(to).await else {
            reset(&near);
            return;
        };
        // Small writes should not wait for acknowledgements. Without the option they are only slower, so errors are
        // ignored.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forward = self.pump(near_read, far_write, (number, FlowDirection::Forward));
        let back = self.pump(far_read, near_write, (number, FlowDirection::Back));
        if tokio::try_join!(forward, back).is_err() {
            reset(&near);
            reset(&far);
        }
    }

    async fn pump(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        (number, direction): (u64, FlowDirection),
    ) -> Result<(), ConnectionReset> {
        let mut state = self.state.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = tokio::select! {
                count = from.read(&mut buffer) => count.map_err(|_| ConnectionReset)?,
                _ = state.wait_for(|state| number < state.reset_below) => return Err(ConnectionReset),
            };
            let is_passed = self.wait_to_pass(&mut state, (number, direction)).await?;
            if !is_passed {
                if count == 0 {
                    return Ok(());
                }
                continue;
            }
            if count == 0 {
                return to.shutdown().await.map_err(|_| ConnectionReset);
            }
            to.write_all(&buffer[..count])
                .await
                .map_err(|_| ConnectionReset)?;
        }
    }

    /// Waits until bytes may pass. Returns `false` if they are to be dropped.
    async fn wait_to_pass(
        &self,
        state: &mut watch::Receiver<RelayState>,
        (number, direction): (u64, FlowDirection),
    ) -> Result<bool, ConnectionReset> {
        loop {
            let action = state.borrow_and_update().action(number, direction);
            match action {
                FlowAction::Pass(delay) => {
                    if !delay.is_zero() {
                        sleep(delay).await;
                    }
                    return Ok(true);
                }
                FlowAction::Discard => return Ok(false),
                FlowAction::Reset => return Err(ConnectionReset),
                FlowAction::Hold => state.changed().await.map_err(|_| ConnectionReset)?,
            }
        }
    }
}

/// Makes the close of a connection reset it.
fn reset(stream: &TcpStream) {
    // Where the option is refused, the connection is closed in the ordinary way, which the far end notices as well.
    let _ = stream.set_zero_linger();
}
