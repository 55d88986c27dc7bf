//! The command line as an operator meets it.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use arbtest::arbtest;
use tempfile::TempDir;

const SUM: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

#[test]
fn the_examples_are_right() {
    for name in ["standards-office", "brazos"] {
        let folder = TempDir::new().unwrap();
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path.join(format!("../../examples/{name}.json5"))).unwrap();
        let secret = write_secret(&folder, 0o600);

        let output = check(&folder, &text.replace("/etc/lentilhook/peer.secret", &secret));

        assert!(output.status.success(), "{name}: {}", stderr(&output));
    }
}

#[test]
fn every_problem_is_named_with_line_and_remedy() {
    let folder = TempDir::new().unwrap();
    let text = "{ // comment: daemon: 1\n daemon: \"Entry 1\",\n listen: { callers: \"localhost:1\", \
                operators: \"127.0.0.1:0\",\n peer: \"127.0.0.1:0\" },\n\
                limits: { read_timeout_ms: \"10s\",\n open_requests: 0 },\n\
                access: { operator_token_sha256: [\"secret-token\"] },\n}";

    let output = check(&folder, text);
    let told = stderr(&output);

    assert_eq!(output.status.code(), Some(2), "{told}");
    for line in [
        ":2: daemon: give 1 to 64",
        ":1: zone: is missing",
        ":3: listen.callers: give IP and port",
        ":4: listen.peer: unknown field; did you mean listen.peers?",
        ":3: listen.peers: is missing",
        ":5: limits.read_timeout_ms: give a whole number of milliseconds",
        ":6: limits.open_requests: give a whole number of requests from 1",
        ":7: access.operator_token_sha256: give a list",
        ":1: platform.address: is missing",
    ] {
        assert!(told.contains(line), "{line:?} is not in\n{told}");
    }
    assert!(!told.contains("secret-token"), "{told}");
}

#[test]
fn impossible_combinations_are_refused() {
    let folder = TempDir::new().unwrap();
    let open = write_secret(&folder, 0o644);

    let output = check(
        &folder,
        &settings("127.0.0.1:9", "127.0.0.1:9", &open, "open_requests: 9, connections: 8"),
    );
    let told = stderr(&output);

    for part in ["listen.operators: has the address of listen.callers", "chmod 600", "as many"] {
        assert!(told.contains(part), "{part:?} is not in\n{told}");
    }
}

#[test]
fn a_wrong_word_shows_the_right_one() {
    for (arguments, right) in [
        (vec!["check", "--setting", "x"], "Did you mean --settings?"),
        (vec!["chek"], "Did you mean check?"),
        (vec!["admin", "--adress", "x"], "Did you mean --address?"),
        (vec!["admin", "--address", "x", "--token-file", "y", "lst"], "Did you mean list?"),
    ] {
        let output = run(&arguments);

        assert_eq!(output.status.code(), Some(2));
        assert!(stderr(&output).contains(right), "{arguments:?}: {}", stderr(&output));
    }
}

#[test]
fn any_settings_text_gives_words_and_no_panic() {
    let folder = TempDir::new().unwrap();
    let secret = write_secret(&folder, 0o600);
    let right = settings("127.0.0.1:1", "127.0.0.1:2", &secret, "");

    for seed in 0..150_u64 {
        arbtest(|u| {
            let mut text = right.clone().into_bytes();
            for _ in 0..u.int_in_range(1..=4)? {
                let at = u.choose_index(text.len())?;
                match u.int_in_range(0..=2)? {
                    0 => text[at] = u.arbitrary()?,
                    1 => text.truncate(at.max(1)),
                    _ => text.extend_from_within(at..),
                }
            }
            let output = check(&folder, &String::from_utf8_lossy(&text));
            let code = output.status.code();
            assert!(matches!(code, Some(0 | 2)), "{code:?} {}", stderr(&output));
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
    for nested in ["[".repeat(200_000), "{a:".repeat(200_000)] {
        assert_eq!(check(&folder, &nested).status.code(), Some(2), "deep nesting");
    }
}

#[test]
fn settings_of_the_platform_are_checked() {
    let folder = TempDir::new().unwrap();
    let right = "node=n\nzone=z\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\n\
                 port_range=3,5\nprovider.addr=127.0.0.1:6\n";
    let check = |added: &str, code: i32, told: &str| {
        let path = folder.path().join("settings");
        fs::write(&path, format!("{right}{added}")).unwrap();

        let output = run(&["check", "--front", &path.display().to_string()]);

        let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), stderr(&output));
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(told), "{told:?} is not in\n{text}");
    };

    check("", 0, "settings of n are right");
    check("bounds.grace_s=soon\n", 2, "line 7: bounds.grace_s=soon is no number of seconds");
    check("bounds.grace_s=inf\n", 2, "line 7: bounds.grace_s=inf is no number of seconds");
    check("bounds.grace_s=-1\n", 2, "line 7: bounds.grace_s=-1 is no number of seconds");
    check("cloud.addr=here\n", 2, "line 7: cloud.addr=here is no address");
}

#[test]
fn a_request_is_explained_over_daemons() {
    let folder = TempDir::new().unwrap();
    let line = |at: u32, event: &str, fields: &str| {
        format!(r#"{{"timestamp":{at},"payload":"{event}","kv":{{"request":"r1",{fields}}}}}"#)
    };
    let write = |name: &str, lines: &[String]| {
        let path = folder.path().join(name);
        fs::write(&path, lines.join("\n")).unwrap();
        path.display().to_string()
    };
    let first = write("front-1.log", &[line(5, "refused", r#""cause":"no_endpoint""#)]);
    let second =
        write("front-2.log", &["not JSON".to_owned(), line(9, "placed", r#""endpoint":"e""#)]);

    let told = run(&["explain", "r1", &second, &first]);
    let unknown = run(&["explain", "r2", &first]);

    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    let refused = text.find("front-1 refused").unwrap();
    assert!(refused < text.find("front-2 placed").unwrap(), "{text}");
    assert!(text.contains("cause on front-1: no endpoint"), "{text}");
    assert_eq!(unknown.status.code(), Some(2));
    assert!(stderr(&unknown).contains("none of 1 log lines names request r2"));
}

fn settings(callers: &str, operators: &str, secret: &str, limits: &str) -> String {
    format!(
        "{{ daemon: 'd', zone: 'z', listen: {{ callers: '{callers}', operators: '{operators}', \
         peers: '127.0.0.1:7' }},\nplatform: {{ address: '127.0.0.1:6' }}, limits: {{ {limits} }},\n\
         access: {{ peer_secret_file: '{secret}', operator_token_sha256: ['{SUM}'] }} }}"
    )
}

fn write_secret(folder: &TempDir, mode: u32) -> String {
    let path = folder.path().join("peer.secret");
    fs::write(&path, "s3cret").unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
    path.display().to_string()
}

fn check(folder: &TempDir, text: &str) -> Output {
    let path = folder.path().join("settings.json5");
    fs::write(&path, text).unwrap();
    run(&["check", "--settings", &path.display().to_string()])
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lentilhook")).args(arguments).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
