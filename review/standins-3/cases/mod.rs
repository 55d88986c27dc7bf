//! The cases.

mod lost;
mod order;
mod refused;
mod twice;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use crate::http::Connection;
use crate::store::Store;

/// Outcome of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

pub fn play(case: &str, folder: &Path, has_trouble: bool) -> Verdict {
    match case {
        "lost" => lost::play(folder, has_trouble),
        "order" => order::play(folder, has_trouble),
        "refused" => refused::play(folder, has_trouble),
        "twice" => twice::play(folder, has_trouble),
        _ => Verdict::NotRun,
    }
}

/// Writes the first configuration, as the operator does.
fn put_config(store: &Store) {
    let route = |name: &str, kind: &str, attempts: u32, is_resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"office.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":12000,\"slo_ms\":1000,\"gap_aim_ms\":500,\
             \"priority\":1,\"service\":\"pool\",\"attempts\":{attempts},\"public\":false,\
             \"resumable\":{is_resumable}}}"
        )
    };
    let config = format!(
        "{{\"version\":7,\"routes\":[{},{},{},{}],\
         \"services\":[{{\"name\":\"pool\",\"max_conns\":360}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"acme\",\"api_keys\":[\"key-1\"],\"rate_per_s\":0}}]}}",
        route("stream", "stream", 2, true),
        route("draft", "stream", 1, false),
        route("once", "unsafe", 1, false),
        route("safe", "safe", 2, false),
    );
    store.put("op", "config", &config);
}

/// Sends a request on a new connection.
fn send(to: SocketAddr, method: &str, path: &str, id: &str, more: &str) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let mut connection = Connection::new(stream);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: office.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 12000\r\nAuthorization: Token key-1\r\n{more}Content-Length: 0\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes()).ok()?;
    Some(connection)
}
