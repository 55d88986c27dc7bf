//! What is known of a process after questions on one connection.

use std::net::SocketAddr;

use relay::admission::Target;
use relay::connection::Pool;
use relay::identity::Identity;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// Answer to a question for the report.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// A report that states this start.
    Start(u64),
    /// An error of a process that has no reports, or of something before it.
    NotFound,
    /// An error of something before the process.
    BadGateway,
}

/// Guards against a start that is taken for that of the next process, as something before the
/// endpoint has kept the connection and answers in between.
#[test]
fn an_answer_without_a_start_ends_what_was_known_on_its_connection() {
    let check = |answers: &[Answer], started_at_ms: Option<u64>, is_heard: bool| {
        let identity = ask(answers);

        assert_eq!(identity.started_at_ms, started_at_ms, "{answers:?}");
        assert_eq!(identity.heard_since.is_some(), is_heard, "{answers:?}");
    };

    check(&[Answer::Start(7)], Some(7), true);
    check(&[Answer::NotFound], None, true);
    check(&[Answer::NotFound, Answer::NotFound], None, true);
    check(&[Answer::BadGateway], None, false);
    check(&[Answer::Start(7), Answer::NotFound], None, false);
    check(&[Answer::Start(7), Answer::BadGateway], None, false);
    check(&[Answer::Start(7), Answer::NotFound, Answer::Start(7)], Some(7), true);
    check(&[Answer::Start(7), Answer::NotFound, Answer::Start(8)], Some(8), true);
}

/// Asks on one connection as often as there are answers. Returns what is known then.
fn ask(answers: &[Answer]) -> Identity {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = target(listener.local_addr().unwrap());
        spawn_local(serve(listener, answers.to_vec()));
        let pool = Pool::default();
        let mut connection = pool.connect(&target.id, target.address).await.unwrap();

        for _ in answers {
            pool.ask_again(&mut connection, &target).await;
        }

        pool.identity(&connection)
    })
}

async fn serve(listener: TcpListener, answers: Vec<Answer>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    for answer in answers {
        let mut bytes = [0; 4_096];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        let (status, body) = match answer {
            Answer::Start(started_at_ms) => (200, format!("{{\"born\":{started_at_ms}}}")),
            Answer::NotFound => (404, String::new()),
            Answer::BadGateway => (502, String::new()),
        };
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
             {body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
    }
    // The connection stays open.
    std::future::pending::<()>().await;
}

fn target(address: SocketAddr) -> Target {
    Target { id: "e".to_owned(), address, is_bound: true, is_watchable: false, is_limited: false }
}
