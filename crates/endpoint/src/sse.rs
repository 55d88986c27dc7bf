//! Reading of event streams.

use std::io;
use std::io::BufRead;

/// Longest line of a stream, in bytes.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// An event, or a comment that only shows that the sender is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An event.
    Event {
        /// `id` field, empty when there was none.
        id: String,
        /// `data` field.
        data: String,
    },
    /// A comment.
    Comment,
}

/// Reads the next item; `None` at the end of the stream.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Item>> {
    let mut id = String::new();
    let mut data = String::new();
    loop {
        let Some(line) = read_line(reader)? else { return Ok(None) };
        if line.is_empty() {
            if data.is_empty() {
                continue;
            }
            return Ok(Some(Item::Event { id, data }));
        }
        match line.split_once(':') {
            Some(("", _)) => return Ok(Some(Item::Comment)),
            Some(("id", value)) => value.trim_start().clone_into(&mut id),
            Some(("data", value)) => data.push_str(value.strip_prefix(' ').unwrap_or(value)),
            _ => {}
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    let count = io::Read::take(reader, LINE_LIMIT_BYTES).read_line(&mut line)?;
    if count == 0 || !line.ends_with('\n') {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}
