//! Tests of the command line: exit codes and messages.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use arbtest::arbtest;
use tempfile::TempDir;

const TOKEN_HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

#[test]
fn the_examples_are_valid() {
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
fn every_problem_is_reported_with_its_line_and_a_remedy() {
    let folder = TempDir::new().unwrap();
    let text = "{ // comment: daemon: 1\n daemon: \"Entry 1\",\n listen: { callers: \"localhost:1\", \
                operators: \"127.0.0.1:0\",\n peer: \"127.0.0.1:0\" },\n\
                limits: { read_timeout_ms: \"10s\",\n open_requests: 0 },\n\
                access: { operator_token_sha256: [\"secret-token\"] },\n}";

    let output = check(&folder, text);
    let errors = stderr(&output);

    assert_eq!(output.status.code(), Some(2), "{errors}");
    for line in [
        ":2: daemon: use 1 to 64",
        ":1: zone: required field is missing",
        ":3: listen.callers: use an IP address and port",
        ":4: listen.peer: unknown field; did you mean listen.peers?",
        ":3: listen.peers: required field is missing",
        ":5: limits.read_timeout_ms: use a whole number of milliseconds",
        ":6: limits.open_requests: use a whole number of requests from 1",
        ":7: access.operator_token_sha256: use a list",
        ":1: platform.address: required field is missing",
    ] {
        assert!(errors.contains(line), "{line:?} is not in\n{errors}");
    }
    assert!(!errors.contains("secret-token"), "{errors}");
}

#[test]
fn invalid_combinations_are_rejected() {
    let folder = TempDir::new().unwrap();
    let open = write_secret(&folder, 0o644);

    let output = check(
        &folder,
        &settings("127.0.0.1:9", "127.0.0.1:9", &open, "open_requests: 9, connections: 8"),
    );
    let errors = stderr(&output);

    for part in [
        "listen.operators: same address as listen.callers",
        "chmod 600",
        "limits.connections: must be at least limits.open_requests",
    ] {
        assert!(errors.contains(part), "{part:?} is not in\n{errors}");
    }
}

#[test]
fn a_configuration_is_checked_against_the_one_in_force() {
    let folder = TempDir::new().unwrap();
    let route = |prefix: &str| {
        format!(
            r#"{{"name":"r","host":"a.example","prefix":"{prefix}","kind":"safe","public":true,"service":"s"}}"#
        )
    };
    let config = |version: u64, route: &str| {
        format!(r#"{{"version":{version},"routes":[{route}],"services":[{{"name":"s"}}]}}"#)
    };
    let check = |in_force: &str, new: &str, code: i32, expected: &str| {
        let [in_force, new] =
            [("in-force.json", in_force), ("new.json", new)].map(|(name, text)| {
                let path = folder.path().join(name);
                fs::write(&path, text).unwrap();
                path.display().to_string()
            });

        let output = run(&["check", "--config", &new, "--in-force", &in_force]);

        let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), stderr(&output));
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(expected), "{expected:?} is not in\n{text}");
    };

    let in_force = config(4, &route("/x/"));
    check(&in_force, &config(5, &route("/y/")), 0, "changed: route \"r\": prefix");
    check(&in_force, &config(5, &route("/y/")), 0, "version 5 has no errors");
    check(&in_force, &config(5, &route("/y")), 0, "never matches: route \"r\"");
    check(&in_force, &config(4, &route("/x/")), 2, "doesn't replace version 4 in force");
    check(&in_force, &config(5, &route("/x/").replace("\"s\"", "\"t\"")), 2, "doesn't exist");
    check(&in_force, "{", 2, "not JSON; correct the field or the syntax");
    check("{", &in_force, 2, "not JSON; correct the field or the syntax");
}

/// Guards against messages of the decoder, which quote the value that it didn't expect.
#[test]
fn a_misplaced_key_of_a_configuration_is_not_printed() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("new.json").display().to_string();
    for value in ["\"secret-key\"", "[\"secret-key\"]", "{\"secret-key\":1}"] {
        for field in ["tenants", "routes", "version"] {
            fs::write(&path, format!("{{\"version\":1,\"{field}\":{value}}}")).unwrap();

            let output = run(&["check", "--config", &path]);

            let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), stderr(&output));
            assert_eq!(output.status.code(), Some(2), "{text}");
            assert!(!text.contains("secret-key"), "{text}");
        }
    }
}

#[test]
fn a_misspelled_argument_gets_a_suggestion() {
    for (arguments, suggestion) in [
        (vec!["check", "--setting", "x"], "Did you mean --settings?"),
        (vec!["chek"], "Did you mean check?"),
        (vec!["admin", "--adress", "x"], "Did you mean --address?"),
        (vec!["admin", "--address", "x", "--token-file", "y", "lst"], "Did you mean list?"),
    ] {
        let output = run(&arguments);

        assert_eq!(output.status.code(), Some(2));
        assert!(stderr(&output).contains(suggestion), "{arguments:?}: {}", stderr(&output));
    }
}

#[test]
fn arbitrary_settings_text_never_panics() {
    let folder = TempDir::new().unwrap();
    let secret = write_secret(&folder, 0o600);
    let valid = settings("127.0.0.1:1", "127.0.0.1:2", &secret, "");

    for seed in 0..150_u64 {
        arbtest(|u| {
            let mut text = valid.clone().into_bytes();
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
fn platform_settings_are_checked() {
    let folder = TempDir::new().unwrap();
    let valid = "node=n\nzone=z\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\n\
                 port_range=3,5\nprovider.addr=127.0.0.1:6\n";
    let check = |added: &str, code: i32, message: &str| {
        let path = folder.path().join("settings");
        fs::write(&path, format!("{valid}{added}")).unwrap();

        let output = run(&["check", "--front", &path.display().to_string()]);

        let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), stderr(&output));
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(message), "{message:?} is not in\n{text}");
    };

    check("", 0, "settings of n are valid");
    check(
        "bounds.grace_s=soon\n",
        2,
        "line 7: bounds.grace_s=soon is not a valid number of seconds",
    );
    check("bounds.grace_s=inf\n", 2, "line 7: bounds.grace_s=inf is not a valid number of seconds");
    check("bounds.grace_s=-1\n", 2, "line 7: bounds.grace_s=-1 is not a valid number of seconds");
    check("cloud.addr=here\n", 2, "line 7: cloud.addr=here is not a valid address");
}

#[test]
fn a_timeline_merges_the_logs_of_several_daemons() {
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

    let explained = run(&["explain", "r1", &second, &first]);
    let unknown = run(&["explain", "r2", &first]);

    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    let refused = text.find("front-1 refused").unwrap();
    assert!(refused < text.find("front-2 placed").unwrap(), "{text}");
    assert!(text.contains("cause on front-1: no endpoint"), "{text}");
    assert_eq!(unknown.status.code(), Some(2));
    assert!(stderr(&unknown).contains("none of 1 log lines mentions request r2"));
}

fn settings(callers: &str, operators: &str, secret: &str, limits: &str) -> String {
    format!(
        "{{ daemon: 'd', zone: 'z', listen: {{ callers: '{callers}', operators: '{operators}', \
         peers: '127.0.0.1:7' }},\nplatform: {{ address: '127.0.0.1:6' }}, limits: {{ {limits} }},\n\
         access: {{ peer_secret_file: '{secret}', operator_token_sha256: ['{TOKEN_HASH}'] }} }}"
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
