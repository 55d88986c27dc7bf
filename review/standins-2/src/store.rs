//! Stand-in of the platform's store, as `PROTOCOL.md` describes its tables.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;
use crate::record::Record;

/// Time of an answer, and of a transaction.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TX_TIME: Duration = Duration::from_millis(8);

type Key = (String, String);

/// A version of a row: its value in base64, or `None` if it was removed.
#[derive(Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
pub struct Content {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

#[derive(Default)]
struct State {
    content: Content,
    era: Option<u64>,
    /// Calls wait while the store is away.
    is_away: bool,
    /// Channels with lower numbers are silent: nothing that is sent on them arrives.
    silent_below: u64,
    last_channel: u64,
}

/// Called with each transaction before it is performed: the table and key of its first put.
type Watcher = Box<dyn Fn(&str, &str) + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    watcher: Mutex<Option<Watcher>>,
    record: Arc<Record>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(era: Option<u64>, record: &Arc<Record>) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let shared = Shared {
            state: Mutex::new(State { era, ..State::default() }),
            changed: Condvar::new(),
            start: Instant::now(),
            watcher: Mutex::new(None),
            record: record.clone(),
        };
        let store = Store { address, shared: Arc::new(shared) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a runner does. Returns once it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.present();
        state.content.version += 1;
        let version = state.content.version;
        let row = Row { value: Some(base64(value.as_bytes())), version };
        state.content.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Lets all channels that are open go silent. New ones work.
    pub fn silence_channels(&self) {
        let mut state = self.lock();
        state.silent_below = state.last_channel + 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns what the store holds now.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// The store is away: calls wait.
    pub fn go_away(&self) {
        self.lock().is_away = true;
    }

    /// The store comes back from a copy.
    pub fn return_from(&self, copy: &Content) {
        let mut state = self.lock();
        state.content = copy.clone();
        state.era = state.era.map(|it| it + 1);
        state.is_away = false;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Whether a row exists in a copy.
    pub fn has_row(content: &Content, table: &str, key: &str) -> bool {
        let row = content.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|it| it.value.is_some())
    }

    /// Sets what is called with each transaction of the system before it is performed.
    pub fn watch(&self, watcher: impl Fn(&str, &str) + Send + Sync + 'static) {
        *self.shared.watcher.lock().unwrap() = Some(Box::new(watcher));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    /// Waits until the store isn't away.
    fn present(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        while state.is_away {
            state = self.shared.changed.wait(state).unwrap();
        }
        state
    }

    fn serve(&self, stream: TcpStream) {
        let channel = {
            let mut state = self.lock();
            state.last_channel += 1;
            state.last_channel
        };
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            if self.is_silent(channel) {
                // The channel stays open, and nothing comes on it.
                thread::sleep(Duration::from_secs(300));
                return;
            }
            let (status, body) = self.answer(&request, channel);
            thread::sleep(if request.method() == "POST" { TX_TIME } else { ANSWER_TIME });
            if self.is_silent(channel) {
                thread::sleep(Duration::from_secs(300));
                return;
            }
            let era = self.lock().era.map_or(String::new(), |it| format!("Store-Era: {it}\r\n"));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_silent(&self, channel: u64) -> bool {
        channel < self.lock().silent_below
    }

    fn answer(&self, request: &Message, channel: u64) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/rows-get" => (200, self.rows(query)),
            "/rows-feed" => self.feed(query, channel),
            "/rows-tx" => self.transact(&Json::parse(&request.text())),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows(&self, query: &str) -> String {
        let state = self.present();
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let limit: usize = parameter(query, "limit").parse().unwrap_or(500);
        let found = state.content.rows.iter().filter(|((in_table, key), row)| {
            *in_table == table && *key >= from && row.value.is_some()
        });
        let rows: Vec<String> = found.map(|(key, row)| encode(key, row)).collect();
        let page = &rows[..rows.len().min(limit)];
        self.document(&state, page, page.len() < rows.len())
    }

    fn feed(&self, query: &str, channel: u64) -> (u16, String) {
        let table = parameter(query, "table");
        let since: u64 = parameter(query, "since_rev").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.present();
        loop {
            if channel < state.silent_below {
                return (200, String::new());
            }
            if since > state.content.version {
                return (410, "{}".to_owned());
            }
            let changed = state
                .content
                .rows
                .iter()
                .filter(|((in_table, _), row)| *in_table == table && row.version > since);
            let mut changed: Vec<(&Key, &Row)> = changed.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> = changed.iter().map(|(key, row)| encode(key, row)).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() && !state.is_away {
                return (200, self.document(&state, &rows, false));
            }
            let left = left.max(Duration::from_millis(5));
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
            while state.is_away {
                state = self.shared.changed.wait(state).unwrap();
            }
        }
    }

    fn transact(&self, transaction: &Json) -> (u16, String) {
        if let Some(watcher) = &*self.shared.watcher.lock().unwrap()
            && let Some(put) = transaction.get("puts").list().first()
        {
            watcher(put.get("table").text(), put.get("key").text());
        }
        let mut state = self.present();
        let row_key =
            |it: &Json| (it.get("table").text().to_owned(), it.get("key").text().to_owned());
        let checks = transaction.get("expect_rev").list();
        let matches = |it: &Json| {
            let row = state.content.rows.get(&row_key(it)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == it.get("ver").number()
        };
        if !checks.iter().all(matches) {
            let found = checks.iter().filter_map(|it| {
                let key = row_key(it);
                let row = state.content.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(encode(&key, row))
            });
            let rows: Vec<String> = found.collect();
            return (412, self.document(&state, &rows, false));
        }
        state.content.version += 1;
        let version = state.content.version;
        for put in transaction.get("puts").list() {
            let (key, value) = (row_key(put), put.get("value").text().to_owned());
            if key.0 == "windows" {
                self.shared.record.line(format!("store: {}/{} written, ver {version}", key.0, key.1));
            }
            state.content.rows.insert(key, Row { value: Some(value), version });
        }
        for removed in transaction.get("remove").list() {
            let key = row_key(removed);
            if state.content.rows.contains_key(&key) {
                state.content.rows.insert(key, Row { value: None, version });
            }
        }
        let document = self.document(&state, &[], false);
        drop(state);
        self.shared.changed.notify_all();
        (200, document)
    }

    fn document(&self, state: &State, rows: &[String], more_pages: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"more_pages\":{more_pages},\"ver\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.content.version,
            self.shared.start.elapsed().as_millis()
        )
    }
}

fn encode((table, key): &Key, row: &Row) -> String {
    let (table, key, version) = (quote(table), quote(key), row.version);
    match &row.value {
        Some(value) => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":\"{value}\",\"ver\":{version}}}"
        ),
        None => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},\"tombstone\":true}}"
        ),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    let value = pairs.find(|(found, _)| *found == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let hex = (*first == b'%').then(|| std::str::from_utf8(others.get(..2)?).ok()).flatten();
        let byte = hex.and_then(|it| u8::from_str_radix(it, 16).ok());
        bytes.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &others[2..] } else { others };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
