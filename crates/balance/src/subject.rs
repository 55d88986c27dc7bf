//! What may be the cause of an endpoint's crash.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use bincode::Decode;
use bincode::Encode;
use snafu::Snafu;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of a prompt part in its text form, `part:ID` with the id in hexadecimal.
const PART_PREFIX: &str = "part:";
/// Maximum number of a prompt's parts that are considered.
const MAX_PARTS: usize = 32;

/// A request or a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Subject {
    /// A request, by the fingerprint of its content.
    Request(u128),
    /// A part that prompts share, by its id.
    Part(u64),
}

/// The text names no subject.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is neither a fingerprint in hexadecimal nor part:ID"))]
pub struct ParseError {
    text: String,
}

impl Subject {
    /// Returns the subjects of a request: itself and the parts of its prompt but the last,
    /// which belongs to it alone.
    pub fn of_request(
        fingerprint: u128,
        parts: impl ExactSizeIterator<Item = u64>,
    ) -> Vec<Subject> {
        let shared = parts.len().saturating_sub(1).min(MAX_PARTS);
        let mut subjects = vec![Subject::Request(fingerprint)];
        for part in parts.take(shared).map(Subject::Part) {
            if !subjects.contains(&part) {
                subjects.push(part);
            }
        }
        subjects
    }

    /// Returns the rank of a daemon among those that try the subject again.
    pub fn rank(self, daemon: &str) -> u64 {
        xxh3_64(format!("{self} {daemon}").as_bytes())
    }
}

impl Display for Subject {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(fingerprint) => write!(formatter, "{fingerprint:032x}"),
            Subject::Part(id) => write!(formatter, "{PART_PREFIX}{id:x}"),
        }
    }
}

impl FromStr for Subject {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Subject, ParseError> {
        let parsed = match text.strip_prefix(PART_PREFIX) {
            Some(id) => u64::from_str_radix(id, 16).map(Subject::Part),
            None => u128::from_str_radix(text, 16).map(Subject::Request),
        };
        parsed.map_err(|_| ParseError { text: text.to_owned() })
    }
}

/// Returns the fingerprint of a request's content, of which two parts never run into
/// each other.
pub fn fingerprint(parts: &[&[u8]]) -> u128 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest128()
}
