//! Tests the server while the process is out of file descriptors.

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
use web::request::Request;
use web::response::Responder;
use web::server::Limits;
use web::server::Server;

const DESCRIPTOR_LIMIT: u64 = 64;
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn accepts_connections_again_after_running_out_of_descriptors() {
    let server = start();
    let mut existing = TcpStream::connect(server.address).unwrap();
    let before = request_succeeds(&mut existing);

    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTOR_LIMIT, hard).unwrap();
    let idle = exhaust_descriptors(&server);
    let during = request_succeeds(&mut existing);
    drop(idle);
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut after = false;
    while !after && Instant::now() < deadline {
        after = TcpStream::connect(server.address).is_ok_and(|mut it| request_succeeds(&mut it));
        thread::sleep(Duration::from_millis(20));
    }

    assert!(before && during, "requests on an existing connection must succeed");
    assert!(after, "the server accepts no new connections");
}

/// Opens connections until no descriptors are left, including one that the server can't accept.
fn exhaust_descriptors(server: &Server) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    loop {
        match TcpStream::connect(server.address) {
            Ok(socket) => idle.push(socket),
            Err(_) => return idle,
        }
        // Gives the server time to accept, which uses a descriptor for its side of the connection.
        thread::sleep(Duration::from_millis(2));
    }
}

fn request_succeeds(socket: &mut TcpStream) -> bool {
    socket.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let sent = socket.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut response = [0; 1024];
    let count = socket.read(&mut response).unwrap_or(0);
    sent.is_ok() && response[..count].starts_with(b"HTTP/1.1 200")
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
