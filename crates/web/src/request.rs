//! Fully received requests.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::problem::Problem;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Value of the field.
    pub value: String,
}

/// A request with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty if there is none.
    pub query: String,
    /// Header fields in the order received.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first field with this lower-case name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.name == name).map(|it| it.value.as_str())
    }

    /// Returns the decoded value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }

    /// Returns the token of the `Authorization: Bearer` field.
    pub fn bearer(&self) -> Option<&str> {
        self.field("authorization")?.strip_prefix("Bearer ")
    }
}

/// Reads a request. Its body is limited to `limit_bytes` and must arrive within `time_limit`.
pub(crate) async fn read(
    raw: hyper::Request<Incoming>,
    limit_bytes: usize,
    time_limit: Duration,
) -> Result<Request, Problem> {
    let (head, body) = raw.into_parts();
    let collecting = timeout(time_limit, Limited::new(body, limit_bytes).collect());
    let body = match collecting.await {
        Ok(Ok(collected)) => collected.to_bytes().to_vec(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large(limit_bytes)),
        Ok(Err(_)) => {
            return Err(Problem::not_run(400, "short body", "send as many bytes as declared"));
        }
        Err(_) => return Err(too_slow(time_limit)),
    };
    let fields = head.headers.iter().map(|(name, value)| Field {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    Ok(Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        fields: fields.collect(),
        body,
    })
}

fn too_large(limit_bytes: usize) -> Problem {
    let detail = format!("send a body of at most {limit_bytes} bytes");
    Problem::not_run(413, "body too large", detail)
}

fn too_slow(limit: Duration) -> Problem {
    let detail = format!("send the whole body within {} ms", limit.as_millis());
    Problem::not_run(408, "body too slow", detail)
}

/// Decodes percent escapes and plus signs in a component of a URL.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let hex =
            text.get(position + 1..position + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[position], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                position += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        position += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
