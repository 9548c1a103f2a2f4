//! Control messages and forwarded requests between hosts, over HTTP/2 with prior knowledge.
//!
//! - [`messages`]: the control messages.
//! - [`heartbeat`]: the heartbeat message and the reports that it contains.
//! - [`parts`]: transfer of configuration documents in chunks.
//! - [`codec`]: encoding and decoding of control messages; no other module depends on the format.
//! - [`config_image`]: the encoded form of a change of the configuration.
//! - [`gateway`]: the messages between gateway hosts.
//! - [`forward`]: the header of a forwarded request.
//! - [`client`]: one persistent connection per peer.
//! - [`server`]: accepts connections of peers.
//! - [`traffic`]: size, duration and outcome of calls.
//! - [`failure`]: errors of calls and forwarded requests.
//!
//! This crate makes no decisions: messages and forwarded requests are handled by closures that the user of the
//! crate passes in.

pub mod client;
pub mod codec;
pub mod config_image;
pub mod failure;
mod format_v1;
mod format_v2;
mod format_v3;
mod format_v4;
pub mod forward;
pub mod gateway;
pub mod heartbeat;
pub mod messages;
pub mod parts;
pub mod server;
pub mod traffic;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        client::PeerClient,
        codec::{
            CodecError,
            FormatVersion,
            PeerCodec, //
        },
        config_image::ConfigImage,
        failure::{
            ForwardError,
            PeerError, //
        },
        forward::{
            ForwardHead,
            RequestId, //
        },
        gateway::{
            ConfigOffer,
            ConfigUpdate,
            DirectoryUpdate,
            FollowAnswer,
            FollowRequest,
            GatewayMessage,
            GossipBeats,
            RelayedCall,
            TransferState, //
        },
        heartbeat::{
            BucketCount,
            ConfigSummary,
            Heartbeat,
            HeartbeatAck,
            HostHash,
            RecentContact,
            SequenceEcho,
            ServiceBaseline,
            TargetLoad, //
        },
        messages::{
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
            TokenBatch,
            TokenGrant,
            TransferId,
            TransferPurpose,
            TransferRequest, //
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
        traffic::{
            AnswerObserver,
            AnswerReport,
            CallObserver,
            CallOutcome,
            CallReport,
            MessageKind,
            TrafficObserver, //
        },
    };
}
