//! Stand-in of a runner, as `PROTOCOL.md` describes it.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::is_closed;
use crate::json::quote;
use crate::record::Record;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub tenant: String,
    /// Time of day at which it began, in milliseconds since 1970.
    pub began_ms: u64,
    /// When the runner ended its work: as it was done, or as its channel closed.
    pub ended: Option<u64>,
}

/// How long a runner works.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Time of a request that isn't a stream.
    pub work: Duration,
    /// Time until the first event of a stream.
    pub first_event: Duration,
    pub gap: Duration,
    pub events: u64,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    born: Arc<AtomicU64>,
    shared: Arc<Shared>,
}

struct Shared {
    speed: Mutex<Speed>,
    runs: Mutex<Vec<Run>>,
    channels: Mutex<Vec<TcpStream>>,
    has_crashed: AtomicBool,
    seal: AtomicU64,
    /// Whether runs get no lines of their own in the record.
    is_quiet: AtomicBool,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(id: &str, service: &str, speed: Speed, record: &Arc<Record>) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let runner = Runner {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            born: Arc::new(AtomicU64::new(wall_ms())),
            shared: Arc::new(Shared {
                speed: Mutex::new(speed),
                runs: Mutex::default(),
                channels: Mutex::default(),
                has_crashed: AtomicBool::new(false),
                seal: AtomicU64::new(1),
                is_quiet: AtomicBool::new(false),
                record: record.clone(),
            }),
        };
        runner.listen(listener);
        runner
    }

    fn listen(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.shared.has_crashed.load(Ordering::SeqCst) {
                    // No process listens any more.
                    drop(stream);
                    return;
                }
                let runner = server.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
    }

    /// A new process of the runner starts under its id and address.
    pub fn start_again(&self) {
        self.born.store(wall_ms(), Ordering::SeqCst);
        self.shared.has_crashed.store(false, Ordering::SeqCst);
        self.shared.record.line(format!("runner {}: starts again", self.id));
        self.listen(TcpListener::bind(self.address).expect("the address is free again"));
    }

    /// The entry that the runner writes about itself.
    pub fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"mixed\",\"seq\":{seq},\"born\":{}}}",
            quote(&self.service),
            self.address,
            self.born.load(Ordering::SeqCst)
        )
    }

    /// Leaves single runs out of the record.
    pub fn be_quiet(&self) {
        self.shared.is_quiet.store(true, Ordering::SeqCst);
    }

    pub fn set_speed(&self, speed: Speed) {
        *self.shared.speed.lock().unwrap() = speed;
    }

    /// The process of the runner ends: all its channels are reset.
    pub fn crash(&self) {
        self.shared.has_crashed.store(true, Ordering::SeqCst);
        self.shared.record.line(format!("runner {}: crashes", self.id));
        for channel in self.shared.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    fn line(&self, text: String) {
        if !self.shared.is_quiet.load(Ordering::SeqCst) {
            self.shared.record.line(text);
        }
    }

    /// Whether the process of the runner has ended.
    pub fn is_gone(&self) -> bool {
        self.has_crashed()
    }

    fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(channel) = stream.try_clone() {
            self.shared.channels.lock().unwrap().push(channel);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            let is_open = match request.target() {
                "/report" => self.report(&mut writer),
                "/health" => {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    );
                    writer.write_all(head.as_bytes()).is_ok()
                }
                _ => self.run(&request, &mut writer),
            };
            if !is_open || self.has_crashed() {
                return;
            }
        }
    }

    fn report(&self, writer: &mut TcpStream) -> bool {
        let body = format!(
            "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":1,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":560020,\
             \"handles\":0,\"born\":{}}}",
            self.born.load(Ordering::SeqCst)
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).is_ok()
    }

    /// Runs a request. Returns whether the channel is still open.
    fn run(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let path = request.target().to_owned();
        let run = Run {
            request: id.clone(),
            tenant: request.header("tenant").to_owned(),
            began_ms: wall_ms(),
            ended: None,
        };
        self.line(format!(
            "runner {}: {id} begins, {} {path}, tenant {}{}",
            self.id,
            request.method(),
            run.tenant,
            match request.header("last-event-id") {
                "" => String::new(),
                last_event => format!(", after event {last_event}"),
            }
        ));
        let number = {
            let mut runs = self.shared.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let speed = *self.shared.speed.lock().unwrap();
        let is_stream = path.starts_with("/draft/");
        let is_open = match is_stream {
            true => self.stream(request, &speed, writer),
            false => self.answer(&id, &speed, writer),
        };
        let ended = self.shared.record.now();
        self.shared.runs.lock().unwrap()[number].ended = Some(ended);
        let outcome = if is_open { "done" } else { "channel closed" };
        self.line(format!("runner {}: {id} ends, {outcome}", self.id));
        is_open
    }

    /// Works for some time. Returns false if the channel closes meanwhile: the request is dropped.
    fn work(&self, time: Duration, writer: &TcpStream) -> bool {
        const STEP: Duration = Duration::from_millis(10);
        let mut left = time;
        while !left.is_zero() {
            let step = left.min(STEP);
            thread::sleep(step);
            left -= step;
            if self.has_crashed() || is_closed(writer) {
                return false;
            }
        }
        true
    }

    fn seal(&self) -> String {
        let number = self.shared.seal.fetch_add(1, Ordering::SeqCst);
        format!("{}.{number:x}", self.id)
    }

    fn answer(&self, id: &str, speed: &Speed, writer: &mut TcpStream) -> bool {
        if !self.work(speed.work, writer) {
            return false;
        }
        let body = format!("answer to {id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            self.seal(),
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).is_ok()
    }

    fn stream(&self, request: &Message, speed: &Speed, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        if !self.work(speed.first_event, writer) {
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.seal()
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=speed.events {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() || !self.work(speed.gap, writer) {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
