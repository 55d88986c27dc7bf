//! Stand-in of the platform's API for singleton duties.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// A usage report that was accepted.
#[derive(Clone, Debug)]
pub struct Report {
    pub window: u64,
    pub holder: String,
    pub fence: u64,
    pub counts: Vec<(String, u64)>,
}

/// Called with each report once it is accepted, before it is answered.
type Watcher = Box<dyn Fn(&Report) + Send + Sync>;

#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    reports: Arc<Mutex<Vec<Report>>>,
    watcher: Arc<Mutex<Option<Watcher>>>,
    record: Arc<Record>,
}

impl Cloud {
    pub fn start(record: &Arc<Record>) -> Cloud {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let cloud = Cloud {
            address,
            reports: Arc::default(),
            watcher: Arc::default(),
            record: record.clone(),
        };
        let server = cloud.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cloud = server.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = http::read(&mut reader, false) {
                        if request.target() == "/usage" {
                            cloud.accept(&request);
                        }
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        if writer.write_all(answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        cloud
    }

    /// Sets what is called with each report.
    pub fn watch(&self, watcher: impl Fn(&Report) + Send + Sync + 'static) {
        *self.watcher.lock().unwrap() = Some(Box::new(watcher));
    }

    /// Returns the reports in the order in which they were accepted.
    pub fn reports(&self) -> Vec<Report> {
        self.reports.lock().unwrap().clone()
    }

    fn accept(&self, request: &http::Message) {
        let body = Json::parse(&request.text());
        let counts = body.get("counts").fields().iter();
        let mut counts: Vec<(String, u64)> =
            counts.map(|(name, it)| (name.clone(), it.number())).collect();
        counts.sort();
        let report = Report {
            window: body.get("window_id").number(),
            holder: request.header("holder").to_owned(),
            fence: request.header("fence-token").parse().unwrap_or(0),
            counts,
        };
        self.record.line(format!(
            "platform: accepts usage of window {} from {} with token {}: {:?}",
            report.window, report.holder, report.fence, report.counts
        ));
        self.reports.lock().unwrap().push(report.clone());
        if let Some(watcher) = &*self.watcher.lock().unwrap() {
            watcher(&report);
        }
    }
}
