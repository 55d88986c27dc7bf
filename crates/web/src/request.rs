//! A request that was read whole.

use std::time::Duration;
use std::time::Instant;

use crate::problem::Problem;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A request with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty when there is none.
    pub query: String,
    /// Header fields in the order received.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Value of the first field with this lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.name == name).map(|it| it.value.as_str())
    }

    /// Decoded value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }

    /// Token of an `Authorization: Bearer` field.
    pub fn bearer(&self) -> Option<&str> {
        self.field("authorization")?.strip_prefix("Bearer ")
    }
}

/// Reads head and body of a `tiny_http` request.
///
/// The body may hold at most `limit_bytes` and take `time_limit` in all.
pub fn read(
    raw: &mut tiny_http::Request,
    limit_bytes: usize,
    time_limit: Duration,
) -> Result<Request, Problem> {
    let body = read_body(raw, limit_bytes, time_limit)?;
    let (path, query) = raw.url().split_once('?').unwrap_or((raw.url(), ""));
    let fields = raw.headers().iter().map(|it| Field {
        name: it.field.as_str().as_str().to_ascii_lowercase(),
        value: it.value.as_str().to_owned(),
    });
    Ok(Request {
        method: raw.method().as_str().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        fields: fields.collect(),
        body,
    })
}

fn read_body(
    raw: &mut tiny_http::Request,
    limit_bytes: usize,
    time_limit: Duration,
) -> Result<Vec<u8>, Problem> {
    let deadline = Instant::now() + time_limit;
    let declared = raw.body_length().unwrap_or(0);
    if declared > limit_bytes {
        return Err(too_large(limit_bytes));
    }
    let mut body = Vec::with_capacity(declared);
    let mut chunk = [0_u8; 16 * 1024];
    loop {
        let count = raw.as_reader().read(&mut chunk).map_err(|_| too_slow(time_limit))?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..count]);
        if body.len() > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        if Instant::now() > deadline {
            return Err(too_slow(time_limit));
        }
    }
    if body.len() < declared {
        return Err(Problem::not_run(400, "short body", "send as many bytes as declared"));
    }
    Ok(body)
}

fn too_large(limit_bytes: usize) -> Problem {
    let detail = format!("send a body of at most {limit_bytes} bytes");
    Problem::not_run(413, "body too large", detail)
}

fn too_slow(limit: Duration) -> Problem {
    let detail = format!("send the whole body within {} s", limit.as_secs());
    Problem::not_run(408, "body too slow", detail)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
