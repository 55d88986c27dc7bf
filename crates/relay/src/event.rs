//! Parser of server-sent events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incremental parser that splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// Length of the buffer's prefix that was already searched and contains no end of
    /// an event.
    searched_bytes: usize,
}

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// Event id.
    pub id: Option<String>,
}

impl Event {
    /// Whether the event continues a stream after the event with id `last`. Ids increase, and
    /// comments have none.
    pub fn follows(&self, last: &str) -> bool {
        let Some(id) = &self.id else { return self.is_comment() };
        match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id > last,
            _ => id != last,
        }
    }

    fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|it| *it == b'\n');
        lines.all(|it| it.starts_with(b":") || matches!(it, b"" | b"\r"))
    }
}

impl Parser {
    /// Appends bytes of the stream. Returns false when more than
    /// [`MAX_EVENT_BYTES`] are buffered.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the number of bytes that the parser has allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Returns the offset behind the empty line that terminates the first event.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3);
        let unsearched = &self.buffer[from..];
        for (offset, byte) in unsearched.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let before = &self.buffer[..from + offset];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(from + offset + 1);
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|it| *it == b'\n');
    let found = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    Some(String::from_utf8_lossy(found).trim().to_owned())
}
