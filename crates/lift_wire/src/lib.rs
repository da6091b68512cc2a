//! Framing, authentication and encoding of the messages between marjoramlift processes.
//!
//! A TCP connection starts with a handshake ([`connect`] and [`accept`]) in which both
//! ends prove that they hold a common [`LinkKey`] and agree on a session key. Then each
//! end has a [`FrameReader`] and a [`FrameWriter`]. A frame carries its length, a
//! `postcard` payload and a keyed checksum over its sequence number, length and payload,
//! so that a frame that is truncated, duplicated, delivered on another connection or altered
//! is never passed to the receiver. Datagrams are sealed by [`seal`] and opened by [`open`].
//!
//! Each message type has its own file. No decision is made here; the decision crates do not
//! depend on this one. See `docs/design.md`, section 6.

mod answer_message;
mod call;
mod call_claim;
mod call_failure;
mod call_message;
mod chunk_message;
mod claim_query;
mod claim_state;
mod datagram;
mod frame_reader;
mod frame_writer;
mod handshake;
mod heartbeat;
mod hello;
mod link_key;
mod link_keys;
mod purpose;
mod session;
mod wire_error;

pub use answer_message::AnswerMessage;
pub use call::Call;
pub use call_claim::CallClaim;
pub use call_failure::CallFailure;
pub use call_message::CallMessage;
pub use chunk_message::ChunkMessage;
pub use claim_query::ClaimQuery;
pub use claim_state::ClaimState;
pub use datagram::{open, seal};
pub use frame_reader::FrameReader;
pub use frame_writer::FrameWriter;
pub use handshake::{accept, connect};
pub use heartbeat::Heartbeat;
pub use hello::Hello;
pub use link_key::LinkKey;
pub use link_keys::LinkKeys;
pub use purpose::Purpose;
pub use session::Session;
pub use wire_error::WireError;

/// Version of the wire format. Two processes with different versions refuse each other
/// in the handshake with [`WireError::Version`].
pub const WIRE_VERSION: u16 = 1;

/// Longest payload of a frame, in bytes. It holds a chunk of 4 MiB and its message head.
pub const MAX_FRAME_BYTES: u32 = 5 * 1024 * 1024;
