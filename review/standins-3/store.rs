//! The platform: its store of rows, and the calls of the duties.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http::Connection;
use crate::http::Head;
use crate::json;
use crate::json::Value;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Table, key.
type Name = (String, String);

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Name, Row>,
}

/// A running platform.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let store = Store { address, state: Arc::default(), started_at: Instant::now() };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&mut Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64::encode(value.as_bytes())));
    }

    // Not used by all cases.
    #[allow(dead_code)]
    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), Row { version, value });
        changed.notify_all();
    }

    fn serve(&self, connection: &mut Connection) {
        while let Ok(head) = connection.head() {
            let Ok(body) = connection.body(&head) else { return };
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = answer.to_string();
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if connection.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, Value) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        thread::sleep(ANSWER_TIME);
        match path {
            "/rows-get" => (200, self.rows(query)),
            "/rows-feed" => (200, self.feed(query)),
            "/rows-tx" => match json::parse(body) {
                Some(transaction) => self.transact(&transaction),
                None => (400, table([])),
            },
            "/usage" | "/scale" => (200, table([])),
            _ => (404, table([])),
        }
    }

    fn page(&self, state: &State, rows: Vec<Value>, is_cut: bool) -> Value {
        table([
            ("rows", Value::List(rows)),
            ("ver", number(state.version)),
            ("now_ms", number(self.started_at.elapsed().as_millis() as u64)),
            ("more_pages", Value::Bool(is_cut)),
        ])
    }

    fn rows(&self, query: &str) -> Value {
        let wanted = parameter(query, "table");
        let (from, to) = (parameter(query, "from"), parameter(query, "to"));
        let limit: usize = parameter(query, "limit").parse().unwrap_or(500);
        let state = self.state.0.lock().unwrap();
        let found: Vec<Value> = state
            .rows
            .iter()
            .filter(|((table, key), row)| {
                *table == wanted
                    && row.value.is_some()
                    && *key >= from
                    && (to.is_empty() || *key < to)
            })
            .map(|(name, row)| entry(name, row))
            .collect();
        let is_cut = found.len() > limit;
        self.page(&state, found.into_iter().take(limit).collect(), is_cut)
    }

    fn feed(&self, query: &str) -> Value {
        let wanted = parameter(query, "table");
        let since: u64 = parameter(query, "since_rev").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut found: Vec<(&Name, &Row)> = state
                .rows
                .iter()
                .filter(|((table, _), row)| *table == wanted && row.version > since)
                .collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let rows = found.into_iter().map(|(name, row)| entry(name, row)).collect();
                return self.page(&state, rows, false);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, transaction: &Value) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let name = |it: &Value| (it.get("table").text().to_owned(), it.get("key").text().to_owned());
        let expected = transaction.get("expect_rev").list();
        let current = |it: &Value| {
            let row = state.rows.get(&name(it)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        if expected.iter().any(|it| current(it) != it.get("ver").number() as u64) {
            let rows = expected.iter().filter_map(|it| {
                let name = name(it);
                let row = state.rows.get(&name).filter(|row| row.value.is_some())?;
                Some(entry(&name, row))
            });
            return (412, self.page(&state, rows.collect(), false));
        }
        state.version += 1;
        let version = state.version;
        for put in transaction.get("puts").list() {
            let value = Some(put.get("value").text().to_owned());
            state.rows.insert(name(put), Row { version, value });
        }
        for removed in transaction.get("remove").list() {
            if state.rows.contains_key(&name(removed)) {
                state.rows.insert(name(removed), Row { version, value: None });
            }
        }
        changed.notify_all();
        (200, self.page(&state, Vec::new(), false))
    }
}

fn entry((table_name, key): &Name, row: &Row) -> Value {
    let mut fields = vec![
        ("table", Value::Text(table_name.clone())),
        ("part", Value::Text(String::new())),
        ("key", Value::Text(key.clone())),
        ("ver", number(row.version)),
    ];
    match &row.value {
        Some(value) => fields.push(("value", Value::Text(value.clone()))),
        None => fields.push(("tombstone", Value::Bool(true))),
    }
    table(fields)
}

fn table<'a>(fields: impl IntoIterator<Item = (&'a str, Value)>) -> Value {
    Value::Table(fields.into_iter().map(|(name, it)| (name.to_owned(), it)).collect())
}

fn number(value: u64) -> Value {
    Value::Number(value as f64)
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    let value = pairs.find(|(found, _)| *found == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let digits = others.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let byte = digits.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
