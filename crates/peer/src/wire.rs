//! Frames between daemons and their encoding: a length of four bytes, then
//! the frame in bincode.

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

/// Largest frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 32 << 20;

const LENGTH_BYTES: usize = 4;

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Frame {
    /// A call for the receiver to serve; opens a stream.
    Forward(Box<Forward>),
    /// A piece of the answer to a forwarded call.
    Reply(Reply),
    /// What the sender knows of VMs; opens a stream.
    Gossip(Gossip),
    /// A request that crashes endpoints; opens a stream.
    Suspect(Suspect),
    /// A message between replicas of the configuration; opens a stream or
    /// answers on one.
    Config {
        /// The message in JSON.
        text: String,
    },
    /// A completion whose daemon will end; opens a stream.
    Handover(Box<Handover>),
    /// The completion of the stream's handover was taken.
    HandoverTaken,
    /// Asks what became of the job with this identity; opens a stream.
    Look(String),
    /// A message between daemons that forward requests; opens a stream.
    Front(Box<Message>),
}

/// A completion whose daemon will end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Handover {
    /// The call, with the key under which it can be asked for.
    pub call: Call,
    /// Tokens so far.
    pub progress: Progress,
    /// Last piece of the answer, when it has ended.
    pub ended: Option<Reply>,
    /// What the receiver does with it.
    pub copy: Copy,
}

/// What the receiver does with a completion handed over to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Copy {
    /// Goes on with it at once.
    Serve,
    /// Keeps it and goes on with it when it is asked for.
    Keep,
}

/// A call sent on to the daemon that serves its key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Forward {
    /// The call.
    pub call: Call,
    /// Daemons that have sent it on.
    pub hops: u8,
}

/// Deaths of endpoints under a request, as counted by one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Suspect {
    /// Fingerprint of the request's content.
    pub fingerprint: u128,
    /// Daemon that counted.
    pub daemon: String,
    /// Points that it has counted so far.
    pub points: u32,
}

/// Why bytes are no frame.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The length is over the limit.
    #[snafu(display(
        "frame of {length} bytes is over the limit of {FRAME_LIMIT_BYTES}; send less"
    ))]
    TooLong {
        /// Length that the sender gave.
        length: usize,
    },
    /// The content is malformed.
    #[snafu(display("frame is malformed ({detail}); run the same version on all daemons"))]
    Malformed {
        /// Decoder failure.
        detail: String,
    },
}

/// Encodes a frame with its length.
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

/// Takes the first frame from the buffer, if it is there whole.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(Error::TooLong { length });
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let content = buffer.split_to(length);
    let settings = bincode::config::standard().with_limit::<FRAME_LIMIT_BYTES>();
    let (frame, used) = bincode::decode_from_slice(&content, settings).map_err(malformed)?;
    if used != length {
        return Err(Error::Malformed { detail: "bytes left over".to_owned() });
    }
    Ok(Some(frame))
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed { detail: error.to_string() }
}
