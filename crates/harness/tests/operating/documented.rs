//! Runs the commands of the operators' documentation as they are printed there.

use std::fs;
use std::process::Command;

use harness::caller::renew;
use harness::cluster::Cluster;
use harness::cluster::OPERATOR_TOKEN;
use harness::cluster::WORKSPACE_TOKEN;
use harness::cluster::wait_for;

use crate::program_path;
use crate::stderr;
use crate::workspace_root;

/// Address of the operators' port in the documentation.
const DOCUMENTED_ADDRESS: &str = "10.20.1.4:8081";

#[test]
fn the_documented_commands_set_up_a_service_for_renewals() {
    let mut cluster = Cluster::start().unwrap();
    cluster.add_service("registry-1", &[]).unwrap();
    cluster.add_daemon("entry-1", "tema-a").unwrap();
    let daemon = &cluster.daemons[0];
    let folder = cluster.folder.path();
    fs::write(folder.join("operator.token"), OPERATOR_TOKEN).unwrap();
    fs::write(folder.join("office.token"), WORKSPACE_TOKEN).unwrap();
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    let commands: Vec<&str> =
        page.lines().filter_map(|it| it.strip_prefix("lentilhook admin ")).collect();

    for command in &commands {
        let command = command.replace(DOCUMENTED_ADDRESS, &daemon.operators);
        let mut run = Command::new(program_path());
        run.arg("admin").args(command.split_whitespace()).current_dir(folder);
        let output = run.output().unwrap();
        assert!(output.status.success(), "{command}: {}", stderr(&output));
    }
    let is_served = || renew(&daemon.callers, "key-1", "licence").is_ok_and(|it| it.status == 200);

    assert!(commands.len() >= 3);
    wait_for("a renewal to be served", is_served).unwrap();
    let log = fs::read_to_string(&daemon.process.log).unwrap();
    assert!(log.contains("routed") && log.contains("registry-1"), "no routing decision in the log");
}
