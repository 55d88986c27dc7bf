//! RECOVER: a crowd of callers without a key sends some requests ahead on each channel and reads no
//! answer. Ordinary consumers try meanwhile.

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::config;
use crate::record::Record;
use crate::runner::Speed;

/// Bound of the site files.
const CONTACT_MS: u64 = 3_000;
const MARGIN_MS: u64 = 1_000;
/// Channels of the crowd, and requests that are sent ahead on each.
const CROWD: usize = 2_050;
const REQUESTS: usize = 12;
/// Further tries for channels that aren't opened in time.
const SPARE_TRIES: usize = 100;
/// Size of the id in a request of the crowd. Heads may have 16,384 bytes.
const ID_BYTES: usize = 15_000;
const CONSUMERS: usize = 12;
const WATCHED_MS: u64 = 12_000;

const READ: Route<'static> = Route {
    name: "r-read",
    prefix: "/read/",
    kind: "safe",
    service: "desk",
    timeout_ms: 1_500,
    attempts: 2,
    resumable: false,
};

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let speed = Speed {
        work: Duration::from_millis(20),
        first_event: Duration::ZERO,
        gap: Duration::ZERO,
        events: 0,
    };
    let text = config(10, &[READ], &[("acme", &["key-a"])]);
    let Some(deployment) = Deployment::start(record, None, &text, &[("desk", 4, speed)], 1) else {
        return Verdict::NotRun;
    };
    let address = deployment.daemons[0].front();
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let crowd = if has_trouble { gather(record, address) } else { Vec::new() };
    if has_trouble && crowd.len() < CROWD {
        record.line("the crowd's channels couldn't be opened; are there enough descriptors?");
        return Verdict::NotRun;
    }
    let begun = record.now();
    let served: Arc<Mutex<Vec<u64>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (record, served, is_over) = (record.clone(), served.clone(), is_over.clone());
            thread::spawn(move || {
                let mut tries = 0;
                while !is_over.load(Ordering::SeqCst) {
                    tries += 1;
                    let id = format!("consumer-{consumer}-{tries}");
                    let head = client::head("GET", "/read/seat", &id, "key-a", 1_000, "");
                    let answer = client::exchange(address, &head, "", Duration::from_secs(2));
                    let now = record.now();
                    match answer {
                        Ok(answer) => {
                            served.lock().unwrap().push(now);
                            record.line(format!("consumer: {id}: {}", answer.status()));
                        }
                        Err(error) => record.line(format!("consumer: {id}: no answer ({error})")),
                    }
                    thread::sleep(Duration::from_millis(500));
                }
                tries
            })
        })
        .collect();
    let mut ready = 0;
    while record.now() < begun + WATCHED_MS {
        ready += usize::from(deployment.daemons[0].is_ready());
        thread::sleep(Duration::from_secs(1));
    }
    is_over.store(true, Ordering::SeqCst);
    let tries: usize = consumers.into_iter().map(|it| it.join().unwrap_or(0)).sum();
    let mut moments = served.lock().unwrap().clone();
    let answered = moments.len();
    moments.extend([begun, record.now()]);
    moments.sort_unstable();
    let longest = moments.windows(2).map(|it| it[1] - it[0]).max().unwrap_or(0);
    record.line(format!(
        "{answered} of {tries} tries of {CONSUMERS} consumers were answered; the daemon said {ready} times that it is ready, and took no new channel for {:.1} s",
        longest as f64 / 1e3
    ));
    drop(crowd);
    match longest > CONTACT_MS + MARGIN_MS && ready >= 4 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Opens the crowd's channels, and sends on each what it takes.
fn gather(record: &Record, address: SocketAddr) -> Vec<TcpStream> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const RECEIVED_BYTES: i32 = 4_096;
    let id = "a".repeat(ID_BYTES);
    let head = format!("GET /nowhere/x HTTP/1.1\r\nHost: office.example\r\nRequest-Id: {id}\r\n\r\n");
    let ahead = head.repeat(REQUESTS).into_bytes();
    let mut crowd: Vec<(TcpStream, usize)> = Vec::new();
    for _ in 0..CROWD + SPARE_TRIES {
        if crowd.len() == CROWD {
            break;
        }
        // The daemon may not have accepted the ones before.
        let opened = TcpStream::connect_timeout(&address, Duration::from_millis(200));
        let Ok(stream) = opened else { continue };
        let size = size_of::<i32>() as u32;
        // SAFETY: the descriptor is open, and the value lives during the call.
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVED_BYTES, size) };
        let _ = stream.set_nonblocking(true);
        crowd.push((stream, 0));
        let first = crowd.len().saturating_sub(100);
        crowd[first..].iter_mut().for_each(|it| push(it, &ahead));
    }
    for _ in 0..40 {
        crowd.iter_mut().for_each(|it| push(it, &ahead));
        thread::sleep(Duration::from_millis(50));
    }
    let sent: usize = crowd.iter().map(|(_, sent)| sent).sum();
    record.line(format!(
        "crowd: {} channels, {} bytes sent on each of {} that were meant, none read",
        crowd.len(),
        sent / crowd.len().max(1),
        ahead.len()
    ));
    crowd.into_iter().map(|(stream, _)| stream).collect()
}

/// Sends what the socket takes.
fn push((stream, sent): &mut (TcpStream, usize), ahead: &[u8]) {
    while *sent < ahead.len() {
        match stream.write(&ahead[*sent..]) {
            Ok(length) => *sent += length,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
