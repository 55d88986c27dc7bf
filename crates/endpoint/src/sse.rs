//! Reads server-sent events.

use std::io;
use std::io::BufRead;

/// Maximum size of a line and of an event, in bytes.
const LIMIT_BYTES: usize = 1 << 20;

/// An item of a stream. A comment only shows that the sender is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An event.
    Event {
        /// Value of the `id` field, empty if there was none.
        id: String,
        /// Value of the `data` field.
        data: String,
    },
    /// A comment.
    Comment,
}

/// Reads the next item. Returns `None` at the end of the stream, even if it ends within an event.
///
/// Fails if reading fails or a line or an event is over the size limit.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Item>> {
    let mut id = String::new();
    let mut data = String::new();
    loop {
        let Some(line) = read_line(reader)? else { return Ok(None) };
        if line.is_empty() {
            if data.is_empty() {
                id.clear();
                continue;
            }
            return Ok(Some(Item::Event { id, data }));
        }
        match line.split_once(':') {
            // A comment within an event must not discard the fields before it.
            Some(("", _)) if id.is_empty() && data.is_empty() => return Ok(Some(Item::Comment)),
            Some(("id", value)) => value.trim_start().clone_into(&mut id),
            Some(("data", value)) => {
                if !data.is_empty() {
                    data.push('\n');
                }
                data.push_str(value.strip_prefix(' ').unwrap_or(value));
            }
            _ => {}
        }
        if data.len() > LIMIT_BYTES {
            return Err(io::Error::other("event is over the limit; send less in one event"));
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    let count = io::Read::take(reader, LIMIT_BYTES as u64).read_line(&mut line)?;
    if count == LIMIT_BYTES && !line.ends_with('\n') {
        return Err(io::Error::other("line is over the limit; send shorter lines"));
    }
    // A line without a line break was truncated. Ignore it.
    if !line.ends_with('\n') {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}
