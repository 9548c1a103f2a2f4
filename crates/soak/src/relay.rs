//! A relay on loopback whose connections are delayed, held, silenced or reset.

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

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a relay does with all its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass after this time.
    Delayed(Duration),
    /// Nothing passes; bytes are held until the link opens again.
    Cut,
    /// Bytes pass towards the far end only.
    OneWay,
    /// New connections are reset at once.
    Refusing,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowDirection {
    Forward,
    Back,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    mode: LinkMode,
    /// Connections with a lower number are silent for good.
    silent_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
}

/// What happens to bytes that have been read.
enum FlowVerdict {
    Pass(Duration),
    Hold,
    Discard,
    Reset,
}

impl RelayState {
    fn verdict(&self, number: u64, direction: FlowDirection) -> FlowVerdict {
        if number < self.reset_below {
            return FlowVerdict::Reset;
        }
        if number < self.silent_below {
            return FlowVerdict::Discard;
        }
        match self.mode {
            LinkMode::Cut => FlowVerdict::Hold,
            LinkMode::OneWay if direction == FlowDirection::Back => FlowVerdict::Hold,
            LinkMode::Delayed(delay) => FlowVerdict::Pass(delay),
            _ => FlowVerdict::Pass(Duration::ZERO),
        }
    }
}

/// A connection was reset on purpose.
struct ResetOrder;

/// A relay to one address.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    next_number: Arc<AtomicU64>,
}

impl FaultRelay {
    /// Starts a relay to an address on a free port.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no port.
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

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Chooses what happens to all connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Silences the open connections for good; new ones work.
    pub fn silence_open(&self) {
        let next = self.next_number.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.silent_below = next);
    }

    /// Resets the open connections.
    pub fn reset_open(&self) {
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
        // Small writes must not wait for acknowledgements; without the option they are only slower.
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
    ) -> Result<(), ResetOrder> {
        let mut state = self.state.subscribe();
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = tokio::select! {
                count = from.read(&mut chunk) => count.map_err(|_| ResetOrder)?,
                _ = state.wait_for(|state| number < state.reset_below) => return Err(ResetOrder),
            };
            let is_passed = self.wait_to_pass(&mut state, (number, direction)).await?;
            if !is_passed {
                if count == 0 {
                    return Ok(());
                }
                continue;
            }
            if count == 0 {
                return to.shutdown().await.map_err(|_| ResetOrder);
            }
            to.write_all(&chunk[..count])
                .await
                .map_err(|_| ResetOrder)?;
        }
    }

    /// Waits until bytes may pass; tells whether they do.
    async fn wait_to_pass(
        &self,
        state: &mut watch::Receiver<RelayState>,
        (number, direction): (u64, FlowDirection),
    ) -> Result<bool, ResetOrder> {
        loop {
            let verdict = state.borrow_and_update().verdict(number, direction);
            match verdict {
                FlowVerdict::Pass(delay) => {
                    if !delay.is_zero() {
                        sleep(delay).await;
                    }
                    return Ok(true);
                }
                FlowVerdict::Discard => return Ok(false),
                FlowVerdict::Reset => return Err(ResetOrder),
                FlowVerdict::Hold => state.changed().await.map_err(|_| ResetOrder)?,
            }
        }
    }
}

/// Lets the close of a connection reset it.
fn reset(stream: &TcpStream) {
    // Where the option is refused the close is an ordinary one, which the far end sees as well.
    let _ = stream.set_zero_linger();
}
