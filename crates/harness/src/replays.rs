//! Replays of traces against a temporary deployment.

use std::io;

use replay::drive;
use replay::report::Report;
use replay::trace::Line;
use replay::trace::Trace;
use replay::verdict;

use crate::deployment::Deployment;
use crate::traces;

/// Starts the deployment of a trace, replays the trace and reports the results.
pub fn run(trace: &Trace, routing: &str) -> io::Result<Report> {
    let deployment = Deployment::by_name(&trace.deployment)?;
    let mut cluster = deployment.start(routing)?;
    let targets = deployment.targets(&cluster);
    let run = drive::run(trace, &targets, &mut cluster, &|_, _| {}).map_err(io::Error::other)?;
    let verdicts = trace.outcomes.iter().map(|it| verdict::judge(it, &run, &targets)).collect();
    Ok(Report::new(&trace.name, &run, &targets, verdicts))
}

/// Generates the trace with this name.
pub fn generate(name: &str, deployment: &str, seed: u64) -> io::Result<Trace> {
    let mut trace = Trace::default();
    generate_lines(name, deployment, seed)?.into_iter().for_each(|line| trace.add(line));
    Ok(trace)
}

/// Generates the lines of the trace with this name.
pub fn generate_lines(name: &str, deployment: &str, seed: u64) -> io::Result<Vec<Line>> {
    if !traces::NAMES.contains(&name) {
        let names = traces::NAMES.join(", ");
        return Err(io::Error::other(format!("unknown trace {name}; use one of {names}")));
    }
    Ok(traces::generate(name, &Deployment::by_name(deployment)?, seed))
}
