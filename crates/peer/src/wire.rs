//! Frames exchanged between daemons and their encoding: a four-byte big-endian
//! length followed by the frame in bincode.

use balance::suspects::Report;
use bincode::Decode;
use bincode::Encode;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use job::call::Call;
use job::progress::Progress;
use job::reply::Reply;
use membership::digest::Message;
use membership::update::Gossip;
use snafu::Snafu;

/// Maximum size of an encoded frame without its length prefix, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 32 << 20;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// First byte of an encoded [`Frame::Front`].
const MESSAGE_TAG: u8 = 8;

/// A message between daemons. Some frames open a stream, as stated for each.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Frame {
    /// A call for the receiver to serve; opens a stream.
    Forward(Box<Forward>),
    /// Part of the answer to a forwarded call.
    Reply(Reply),
    /// The sender's view of the VMs; opens a stream.
    Gossip(Gossip),
    /// Requests that may crash endpoints; opens a stream.
    Suspects(Vec<Report>),
    /// A message between replicas of the configuration; opens a stream or
    /// replies on one.
    Config {
        /// The message as JSON.
        text: String,
    },
    /// A completion of a daemon that is about to terminate; opens a stream.
    Handover(Box<Handover>),
    /// The receiver accepted the completion handed over on this stream.
    HandoverAccepted,
    /// Requests the outcome of the job with this identity; opens a stream.
    Lookup(String),
    /// A message between daemons that forward requests; opens a stream.
    Front(Box<Message>),
}

impl Frame {
    /// Whether no frame is awaited in reply on the same stream.
    pub fn is_one_way(&self) -> bool {
        matches!(self, Frame::Front(_))
    }
}

/// A completion handed over by a daemon that is about to terminate.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Handover {
    /// The call, including the key under which its answer can be requested.
    pub call: Call,
    /// Tokens generated so far.
    pub progress: Progress,
    /// Final part of the answer, if the completion has ended.
    pub ended: Option<Reply>,
    /// What the receiver does with the completion.
    pub copy: Copy,
}

/// Role of the receiver of a handed-over completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Copy {
    /// Continues the completion immediately.
    Serve,
    /// Stores the completion and continues it only when it is requested.
    Keep,
}

/// A call forwarded to the daemon that owns its key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// The call.
    pub call: Call,
    /// Number of daemons that have forwarded the call.
    pub hops: u8,
}

/// Errors of encoding and decoding frames.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The frame exceeds `FRAME_LIMIT_BYTES`.
    #[snafu(display(
        "frame of {length} bytes is over the limit of {FRAME_LIMIT_BYTES}; send less"
    ))]
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
    },
    /// The frame contains a message between forwarding daemons that this build doesn't
    /// know. The frames after it can be decoded.
    #[snafu(display("unknown message ({detail}); it is skipped"))]
    UnknownMessage {
        /// Description of the failure.
        detail: String,
    },
    /// The frame cannot be decoded or encoded.
    #[snafu(display("frame is malformed ({detail}); run the same version on all daemons"))]
    Malformed {
        /// Description of the failure.
        detail: String,
    },
}

/// Encodes a frame with its length prefix. Fails if it exceeds the size limit.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let content = bincode::encode_to_vec(frame, bincode::config::standard()).map_err(malformed)?;
    if content.len() > FRAME_LIMIT_BYTES {
        return Err(Error::TooLong { length: content.len() });
    }
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + content.len());
    bytes.put_u32(content.len() as u32);
    bytes.put_slice(&content);
    Ok(bytes.freeze())
}

/// Removes the first frame from the buffer and decodes it. Returns `None` if the frame
/// is incomplete; fails if it is too long, malformed or an unknown message.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(Error::TooLong { length });
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let content = buffer.split_to(length);
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT_BYTES>();
    let detail = match bincode::decode_from_slice(&content, config) {
        Ok((frame, consumed)) if consumed == length => return Ok(Some(frame)),
        Ok(_) => "trailing bytes".to_owned(),
        Err(error) => error.to_string(),
    };
    // Nobody awaits a reply to a message, so that the stream can go on without it.
    match content.first() {
        Some(&MESSAGE_TAG) => Err(Error::UnknownMessage { detail }),
        _ => Err(Error::Malformed { detail }),
    }
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed { detail: error.to_string() }
}
