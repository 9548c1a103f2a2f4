//! Messages and forwarded requests between hosts, over HTTP/2 with prior knowledge.
//!
//! - [`messages`]: the control messages.
//! - [`heartbeat`]: the heartbeat and what it reports.
//! - [`parts`]: configuration documents in chunks.
//! - [`codec`]: the only module that knows the encoding of control messages.
//! - [`gateway`]: the messages of gateway hosts.
//! - [`forward`]: the header that goes with a forwarded request.
//! - [`client`]: one kept connection per peer.
//! - [`server`]: accepts peers.
//!
//! Nothing here decides: closures of the caller answer messages and forwarded requests.

pub mod client;
pub mod codec;
pub mod failure;
pub mod forward;
pub mod gateway;
pub mod heartbeat;
pub mod messages;
pub mod parts;
pub mod server;
mod wire;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        client::PeerClient,
        codec::{
            CodecError,
            FormatVersion,
            PeerCodec, //
        },
        failure::{
            ForwardError,
            PeerError, //
        },
        forward::{
            ForwardHead,
            RequestId, //
        },
        gateway::{
            FollowAnswer,
            FollowRequest,
            GatewayMessage,
            RelayedCall, //
        },
        heartbeat::{
            BucketCount,
            ConfigSummary,
            HeardHost,
            Heartbeat,
            HeartbeatAck,
            HostHash,
            SequenceEcho,
            ServiceBaseline,
            TargetLoad, //
        },
        messages::{
            DrawId,
            DrawReach,
            EjectionGrant,
            EjectionPurpose,
            EjectionRequest,
            OwnerHandover,
            PeerMessage,
            PermitId,
            ProbeAnswer,
            ProbeOutcome,
            ProbeRequest,
            RefusalReason,
            TokenDraw,
            TokenGrant,
            TokenLot, //
        },
        parts::{
            PartChunk,
            PartKey,
            PartWant,
            PartsAnswer,
            PartsAssembly,
            PartsRequest, //
        },
        server::PeerServer,
    };
}
