//! Demo: a streamed draft and a renewal through two daemons.

use std::fs;
use std::io;

use standins::service::Execution;

use crate::caller::Draft;
use crate::caller::renew;
use crate::cluster;
use crate::cluster::Cluster;

/// Starts a deployment, sends it a draft and a renewal, and prints the responses
/// and the routing decisions.
pub fn run() -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    println!("platform    {}", cluster.platform.address);
    for (vm, zone) in [("engine-1", "tema-a"), ("engine-2", "tema-b")] {
        cluster.add_engine(vm, &["--zone", zone])?;
        println!("engine      {}", cluster.engines[cluster.engines.len() - 1].address);
    }
    cluster.add_service("registry-1", &["--zone", "kpone"])?;
    println!("registry    {}", cluster.services[0].address);
    for (name, zone) in [("entry-1", "tema-a"), ("entry-2", "kpone")] {
        cluster.add_daemon(name, zone)?;
        println!("daemon      {}", cluster.daemons[cluster.daemons.len() - 1].callers);
    }
    cluster.configure()?;
    println!("\ndraft through entry-1:");
    let draft = Draft::new(&cluster.daemons[0].callers, "Draft the dossier of batch 7.", 24);
    let completion = draft.stream(|token| print!("{}", token.text))?;
    println!("\n  {} tokens, complete: {}", completion.tokens.len(), completion.complete);
    println!("\nrenewal through entry-1, then sent again through entry-2:");
    for daemon in &cluster.daemons {
        let response = renew(&daemon.callers, "renewal-2026-117", "licence 117")?;
        println!("  {} answers {} {}", daemon.name, response.status, response.body);
    }
    let executions: Vec<Execution> = cluster::get(&cluster.services[0].address, "/fake/record")?;
    println!("  executed by the registry: {} time(s)", executions.len());
    println!("\ndecisions:");
    for daemon in &cluster.daemons {
        let log = fs::read_to_string(&daemon.process.log)?;
        let decisions = log.lines().filter(|it| it.contains("routed") || it.contains("forwarded"));
        decisions.for_each(|line| println!("  {}: {line}", daemon.name));
    }
    Ok(())
}
