//! A daemon keeps serving after malformed input on any of its ports.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use arbtest::arbtest;

use crate::send_requests;
use crate::start;

const SEEDS: std::ops::Range<u64> = 0..40;

#[test]
fn a_daemon_keeps_serving_after_malformed_input() {
    let cluster = start(1);
    let daemon = &cluster.daemons[0];
    let methods = ["PutWorkspace", "PutService", "PutRule", "Delete", "SetLogLevel", "Nothing"];

    for seed in SEEDS {
        arbtest(|u| {
            let method = u.choose(&methods)?;
            let path = format!("/lentilhook.admin.v1.Admin/{method}");
            let token = harness::cluster::OPERATOR_TOKEN;
            let body: Vec<u8> = u.arbitrary()?;
            let mut text =
                r#"{"workspace":{"name":"x"},"expected_revision":9}"#.as_bytes().to_vec();
            let position = u.choose_index(text.len())?;
            text[position] = u.arbitrary()?;
            for body in [body.as_slice(), &text, "[".repeat(50_000).as_bytes()] {
                let status = post(&daemon.operators, &path, token, body);
                assert!((400..500).contains(&status), "{method}: {status}");
            }
            let noise: Vec<u8> = u.arbitrary()?;
            for address in [&daemon.callers, &daemon.operators, &daemon.peers] {
                send(address, &noise);
            }
            Ok(())
        })
        .seed(seed << 32 | 512);
    }

    send_requests(&cluster);
}

fn post(address: &str, path: &str, token: &str, body: &[u8]) -> u16 {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let call = agent.post(format!("http://{address}{path}"));
    let result = call.header("authorization", format!("Bearer {token}")).send(body);
    result.unwrap().status().as_u16()
}

fn send(address: &str, noise: &[u8]) {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let _ = socket.write_all(noise);
    let _ = socket.read(&mut [0; 64]);
}
