//! Replays against a deployment that is started for it.

use std::io;

use replay::drive;
use replay::report::Report;
use replay::trace::Line;
use replay::trace::Trace;
use replay::verdict;

use crate::deployment::Deployment;
use crate::traces;

/// Starts the deployment of a trace, replays it and sums up.
pub fn run(trace: &Trace, routing: &str) -> io::Result<Report> {
    let deployment = Deployment::named(&trace.deployment)?;
    let mut cluster = deployment.start(routing)?;
    let targets = deployment.targets(&cluster);
    let ran = drive::run(trace, &targets, &mut cluster, &|_, _| {}).map_err(io::Error::other)?;
    let verdicts = trace.outcomes.iter().map(|it| verdict::judge(it, &ran, &targets)).collect();
    Ok(Report::new(&trace.name, &ran, &targets, verdicts))
}

/// Makes a trace.
pub fn made(name: &str, deployment: &str, seed: u64) -> io::Result<Trace> {
    let mut trace = Trace::default();
    lines(name, deployment, seed)?.into_iter().for_each(|line| trace.add(line));
    Ok(trace)
}

/// Lines of a trace that is made.
pub fn lines(name: &str, deployment: &str, seed: u64) -> io::Result<Vec<Line>> {
    if !traces::NAMES.contains(&name) {
        let names = traces::NAMES.join(", ");
        return Err(io::Error::other(format!("no trace {name}; one of {names}")));
    }
    Ok(traces::generate(name, &Deployment::named(deployment)?, seed))
}
