//! Operation of a deployment: command line, metrics, logs and access control.

mod bad_input;
mod documented;
mod lookup;
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

/// Texts that must not appear in any log.
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
    let conflicting = admin(&["change", "workspace", "kennel", "share=3", "--revision", "1"]);
    let changed = admin(&["change", "workspace", "kennel", "share=4"]);
    let shown = admin(&["--json", "show", "workspace", "kennel"]);
    let misspelled = admin(&["change", "workspace", "kennel", "shares=5"]);
    let deleted = admin(&["delete", "workspace", "kennel"]);
    let listed = admin(&["list", "workspaces"]);
    let vms = admin(&["list", "endpoints"]);
    let leases = admin(&["list", "leases"]);
    let catalog = admin(&["call", "GetCatalog"]);

    for output in [&created, &changed, &shown, &deleted, &listed, &vms, &leases, &catalog] {
        assert!(output.status.success(), "{}", stderr(output));
    }
    assert_eq!(conflicting.status.code(), Some(3));
    let workspace: Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert!(
        stderr(&conflicting).contains("the current revision of workspace kennel is"),
        "{}",
        stderr(&conflicting)
    );
    assert_eq!(workspace["share"], 4);
    assert!(stderr(&misspelled).contains("did you mean share?"), "{}", stderr(&misspelled));
    assert!(!stdout(&listed).contains("kennel") && stdout(&listed).contains("office"));
    assert!(stdout(&vms).contains("engine-1"), "{}", stdout(&vms));
}

#[test]
fn metrics_match_the_documented_table() {
    let cluster = start(2);
    send_requests(&cluster);

    let mut exported = BTreeSet::new();
    for daemon in &cluster.daemons {
        let text = post(&daemon.operators, "/metrics", "").1;
        let names = text.lines().filter_map(|it| it.strip_prefix("# HELP "));
        exported.extend(names.filter_map(|it| it.split(' ').next()).map(str::to_owned));
    }
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    let rows = page.lines().filter_map(|it| it.strip_prefix("| `lentilhook_"));
    let documented: BTreeSet<String> =
        rows.filter_map(|it| it.split('`').next()).map(|it| format!("lentilhook_{it}")).collect();

    let undocumented: Vec<_> = exported.difference(&documented).collect();
    assert!(undocumented.is_empty(), "not in docs/OPERATIONS.md: {undocumented:?}");
    let fault_metrics =
        ["refusals", "retries", "recomputed_tokens", "attempt_failures", "call_failures"];
    let is_always_exported = |it: &&&String| !fault_metrics.iter().any(|fault| it.contains(fault));
    let stale: Vec<_> =
        documented.difference(&exported).filter(|it| is_always_exported(&it)).collect();
    assert!(stale.is_empty(), "not exported by any daemon: {stale:?}");
}

#[test]
fn logs_contain_no_prompt_body_or_secret() {
    let cluster = start(2);
    let changed = admin(&cluster, &["log-level", "debug"]);

    send_requests(&cluster);

    assert!(changed.status.success(), "{}", stderr(&changed));
    let mut decisions = 0;
    for daemon in &cluster.daemons {
        let log = fs::read_to_string(&daemon.process.log).unwrap();
        decisions += log.matches("routed").count();
        for secret in [PROMPT, BODY, WORKSPACE_TOKEN, OPERATOR_TOKEN, "peer secret of this run"] {
            assert!(!log.contains(secret), "{secret:?} is in the log of {}", daemon.name);
        }
    }
    assert!(decisions >= 2, "no routing decisions in the logs");
}

#[test]
fn the_log_level_changes_at_run_time() {
    let cluster = start(1);
    let decisions = || {
        let log = fs::read_to_string(&cluster.daemons[0].process.log).unwrap();
        log.matches("routed").count()
    };

    assert!(admin(&cluster, &["log-level", "error"]).status.success());
    send_requests(&cluster);
    let at_error_level = decisions();
    assert!(admin(&cluster, &["log-level", "info"]).status.success());
    send_requests(&cluster);
    wait_for("a routing decision", || decisions() > 0).unwrap();

    assert_eq!(at_error_level, 0);
    assert_eq!(admin(&cluster, &["log-level", "loud"]).status.code(), Some(2));
}

#[test]
fn callers_cannot_use_the_operator_api() {
    let cluster = start(1);
    let daemon = &cluster.daemons[0];
    let path = "/lentilhook.admin.v1.Admin/GetCatalog";

    let (on_callers_port, _) = post(&daemon.callers, path, OPERATOR_TOKEN);
    let (metrics, _) = post(&daemon.callers, "/metrics", OPERATOR_TOKEN);
    let (with_callers_token, _) = post(&daemon.operators, path, WORKSPACE_TOKEN);
    let (without_token, _) = post(&daemon.operators, path, "");

    assert_eq!((on_callers_port, metrics), (404, 404));
    assert_eq!((with_callers_token, without_token), (401, 401));
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

/// Sends a draft and a renewal through every daemon and checks the responses.
fn send_requests(cluster: &Cluster) {
    for (number, daemon) in cluster.daemons.iter().enumerate() {
        let key = format!("key-{number}-{}", std::process::id());
        let completion = Draft::new(&daemon.callers, PROMPT, 4).stream(|_| {}).unwrap();
        let renewed = renew(&daemon.callers, &key, BODY).unwrap();
        assert!(completion.complete, "{:?}", completion.problem);
        assert_eq!(renewed.status, 200, "{}", renewed.body);
    }
}

fn admin(cluster: &Cluster, arguments: &[&str]) -> Output {
    let token = cluster.folder.path().join("operator.token");
    fs::write(&token, OPERATOR_TOKEN).unwrap();
    let mut command = Command::new(program_path());
    command.args(["admin", "--address", &cluster.daemons[0].operators, "--token-file"]);
    command.arg(token).args(arguments).output().unwrap()
}

fn program_path() -> std::path::PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join("lentilhook")
}

fn workspace_root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn post(address: &str, path: &str, token: &str) -> (u16, String) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let call = agent.post(format!("http://{address}{path}"));
    let result = call.header("authorization", format!("Bearer {token}")).send_json(json!({}));
    let mut response = result.unwrap();
    (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
