//! Server-sent events, cut out of a stream of bytes.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes.
pub const LIMIT_BYTES: usize = 1 << 20;

/// Bytes of a stream from which whole events are taken.
#[derive(Clone, Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// How much of the buffer holds no end of an event.
    searched: usize,
}

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
    /// Its identity.
    pub id: Option<String>,
}

impl Events {
    /// Adds bytes; false when an event gets too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= LIMIT_BYTES
    }

    /// Takes the next whole event.
    pub fn take(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event is left.
    pub fn has_part(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Drops part of an event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Where the first event ends: behind an empty line.
    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let unseen = &self.buffer[from..];
        for (at, byte) in unseen.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let before = &self.buffer[..from + at];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(from + at + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn id(event: &[u8]) -> Option<String> {
    let lines = event.split(|it| *it == b'\n');
    let found = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    Some(String::from_utf8_lossy(found).trim().to_owned())
}
