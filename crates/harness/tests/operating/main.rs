//! A deployment as an operator runs it: command line, metrics, logs, access.

mod bad_input;
mod documented;
mod later;
mod peer_access;

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use harness::caller::Draft;
use harness::caller::renew;
use harness::cluster::Cluster;
use harness::cluster::OPERATOR_TOKEN;
use harness::cluster::WORKSPACE_TOKEN;
use harness::cluster::wait_for;
use serde_json::Value;
use serde_json::json;

/// Words that no log may hold.
const PROMPT: &str = "zebra-prompt-7731";
const BODY: &str = "zebra-body-7732";

#[test]
fn an_operator_creates_changes_and_deletes_objects() {
    let cluster = start(1);
    let admin = |arguments: &[&str]| admin(&cluster, arguments);
    let token = cluster.folder.path().join("kennel.token");
    fs::write(&token, "kennel-token\n").unwrap();
    let token_field = format!("token-file={}", token.display());

    let created = admin(&["create", "workspace", "kennel", &token_field, "share=2"]);
    let raced = admin(&["change", "workspace", "kennel", "share=3", "--revision", "1"]);
    let changed = admin(&["change", "workspace", "kennel", "share=4"]);
    let shown = admin(&["--json", "show", "workspace", "kennel"]);
    let wrong = admin(&["change", "workspace", "kennel", "shares=5"]);
    let deleted = admin(&["delete", "workspace", "kennel"]);
    let listed = admin(&["list", "workspaces"]);
    let vms = admin(&["list", "endpoints"]);
    let leases = admin(&["list", "leases"]);
    let called = admin(&["call", "GetCatalog"]);

    for output in [&created, &changed, &shown, &deleted, &listed, &vms, &leases, &called] {
        assert!(output.status.success(), "{}", stderr(output));
    }
    assert_eq!(raced.status.code(), Some(3));
    let revision: Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert!(
        stderr(&raced).contains("the current revision of workspace kennel is"),
        "{}",
        stderr(&raced)
    );
    assert_eq!(revision["share"], 4);
    assert!(stderr(&wrong).contains("did you mean share?"), "{}", stderr(&wrong));
    assert!(!stdout(&listed).contains("kennel") && stdout(&listed).contains("office"));
    assert!(stdout(&vms).contains("engine-1"), "{}", stdout(&vms));
}

#[test]
fn metrics_and_their_table_agree() {
    let cluster = start(2);
    serve_some(&cluster);

    let mut told = BTreeSet::new();
    for daemon in &cluster.daemons {
        let text = read(&daemon.operators, "/metrics", "").1;
        let names = text.lines().filter_map(|it| it.strip_prefix("# HELP "));
        told.extend(names.filter_map(|it| it.split(' ').next()).map(str::to_owned));
    }
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let rows = page.lines().filter_map(|it| it.strip_prefix("| `lentilhook_"));
    let table: BTreeSet<String> =
        rows.filter_map(|it| it.split('`').next()).map(|it| format!("lentilhook_{it}")).collect();

    let unlisted: Vec<_> = told.difference(&table).collect();
    assert!(unlisted.is_empty(), "not in docs/OPERATIONS.md: {unlisted:?}");
    let faults = ["refusals", "retries", "recomputed_tokens", "attempt_failures", "call_failures"];
    let quiet = |it: &&&String| !faults.iter().any(|fault| it.contains(fault));
    let stale: Vec<_> = table.difference(&told).filter(|it| quiet(&it)).collect();
    assert!(stale.is_empty(), "not told by a daemon: {stale:?}");
}

#[test]
fn logs_hold_no_prompt_body_or_secret() {
    let cluster = start(2);
    let changed = admin(&cluster, &["log-level", "debug"]);

    serve_some(&cluster);

    assert!(changed.status.success(), "{}", stderr(&changed));
    let mut decisions = 0;
    for daemon in &cluster.daemons {
        let log = fs::read_to_string(&daemon.process.log).unwrap();
        decisions += log.matches("routed").count();
        for secret in [PROMPT, BODY, WORKSPACE_TOKEN, OPERATOR_TOKEN, "peer secret of this run"] {
            assert!(!log.contains(secret), "{secret:?} is in the log of {}", daemon.name);
        }
    }
    assert!(decisions >= 2, "no decisions in the logs");
}

#[test]
fn the_log_level_changes_at_run_time() {
    let cluster = start(1);
    let decisions = || {
        let log = fs::read_to_string(&cluster.daemons[0].process.log).unwrap();
        log.matches("routed").count()
    };

    assert!(admin(&cluster, &["log-level", "error"]).status.success());
    serve_some(&cluster);
    let silent = decisions();
    assert!(admin(&cluster, &["log-level", "info"]).status.success());
    serve_some(&cluster);
    wait_for("a decision", || decisions() > 0).unwrap();

    assert_eq!(silent, 0);
    assert_eq!(admin(&cluster, &["log-level", "loud"]).status.code(), Some(2));
}

#[test]
fn callers_reach_nothing_of_the_operators() {
    let cluster = start(1);
    let daemon = &cluster.daemons[0];
    let path = "/lentilhook.admin.v1.Admin/GetCatalog";

    let (on_callers_port, _) = read(&daemon.callers, path, OPERATOR_TOKEN);
    let (metrics, _) = read(&daemon.callers, "/metrics", OPERATOR_TOKEN);
    let (with_callers_token, _) = read(&daemon.operators, path, WORKSPACE_TOKEN);
    let (without, _) = read(&daemon.operators, path, "");

    assert_eq!((on_callers_port, metrics), (404, 404));
    assert_eq!((with_callers_token, without), (401, 401));
}

fn start(daemons: usize) -> Cluster {
    let mut cluster = Cluster::start().unwrap();
    cluster.add_engine("engine-1", &[]).unwrap();
    cluster.add_service("registry-1", &[]).unwrap();
    for number in 1..=daemons {
        cluster.add_daemon(&format!("entry-{number}"), "tema-a").unwrap();
    }
    cluster.configure().unwrap();
    cluster
}

/// A draft and a renewal through every daemon.
fn serve_some(cluster: &Cluster) {
    for (number, daemon) in cluster.daemons.iter().enumerate() {
        let key = format!("key-{number}-{}", std::process::id());
        let streamed = Draft::new(&daemon.callers, PROMPT, 4).stream(|_| {}).unwrap();
        let renewed = renew(&daemon.callers, &key, BODY).unwrap();
        assert!(streamed.complete, "{:?}", streamed.problem);
        assert_eq!(renewed.status, 200, "{}", renewed.body);
    }
}

fn admin(cluster: &Cluster, arguments: &[&str]) -> Output {
    let token = cluster.folder.path().join("operator.token");
    fs::write(&token, OPERATOR_TOKEN).unwrap();
    let mut command = Command::new(program());
    command.args(["admin", "--address", &cluster.daemons[0].operators, "--token-file"]);
    command.arg(token).args(arguments).output().unwrap()
}

fn program() -> std::path::PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join("lentilhook")
}

fn root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(address: &str, path: &str, token: &str) -> (u16, String) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let call = agent.post(format!("http://{address}{path}"));
    let sent = call.header("authorization", format!("Bearer {token}")).send_json(json!({}));
    let mut response = sent.unwrap();
    (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
