//! The server when the process runs out of descriptors for a while.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use nix::sys::resource::setrlimit;
use web::answer::Responder;
use web::request::Request;
use web::server::Limits;
use web::server::Server;

const DESCRIPTORS: u64 = 64;
const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn accepts_again_after_running_out_of_descriptors() {
    let server = start();
    let mut kept = TcpStream::connect(server.address).unwrap();
    let before = ask(&mut kept);

    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS, hard).unwrap();
    let idle = exhaust(&server);
    let during = ask(&mut kept);
    drop(idle);
    let deadline = Instant::now() + PATIENCE;
    let mut after = false;
    while !after && Instant::now() < deadline {
        after = TcpStream::connect(server.address).is_ok_and(|mut it| ask(&mut it));
        thread::sleep(Duration::from_millis(20));
    }

    assert!(before && during, "a kept connection must not notice");
    assert!(after, "accepts no more");
}

/// Opens connections until there are no descriptors, and one more that the
/// server can't accept.
fn exhaust(server: &Server) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    loop {
        match TcpStream::connect(server.address) {
            Ok(socket) => idle.push(socket),
            Err(_) => return idle,
        }
        // The server takes its half of each connection.
        thread::sleep(Duration::from_millis(2));
    }
}

fn ask(socket: &mut TcpStream) -> bool {
    socket.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let sent = socket.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut answer = [0; 1024];
    let count = socket.read(&mut answer).unwrap_or(0);
    sent.is_ok() && answer[..count].starts_with(b"HTTP/1.1 200")
}

fn start() -> Server {
    let limits = Limits {
        body_bytes: 1000,
        open_requests: 1000,
        connections: 1000,
        read_timeout: Duration::from_secs(60),
        write_timeout: Duration::from_secs(60),
    };
    let serve = |_: Request, responder: Responder| {
        let _ = responder.send_typed(200, "text/plain", b"ok");
    };
    Server::start("127.0.0.1:0", limits, Arc::new(serve)).unwrap()
}
