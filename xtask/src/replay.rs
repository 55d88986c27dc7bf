//! Traces and their replay against a deployment that is started for it.

use std::path::PathBuf;

use argh::FromArgs;
use harness::replays;

/// replay a trace against a deployment that is started for it
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace file, or the name of a trace to make
    #[argh(positional)]
    trace: String,
    /// deployment for a trace to make: standards or brazos
    #[argh(option, default = "String::from(\"standards\")")]
    deployment: String,
    /// seed of a trace to make
    #[argh(option, default = "1")]
    seed: u64,
    /// how endpoints are chosen: scored, random, least_loaded or prefix_hash
    #[argh(option, default = "String::from(\"scored\")")]
    routing: String,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// print a trace that is made from a seed
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// name: ordinary, burst, zone, waves, outage, crash or heavy
    #[argh(positional)]
    name: String,
    /// deployment: standards or brazos
    #[argh(positional)]
    deployment: String,
    /// seed
    #[argh(positional)]
    seed: u64,
}

/// Replays; the error says how many stated outcomes were missed.
pub fn run(arguments: &Replay) -> Result<(), String> {
    let path = PathBuf::from(&arguments.trace);
    let trace = if path.is_file() {
        replay::trace::Trace::read(&path).map_err(|it| it.to_string())?
    } else {
        replays::made(&arguments.trace, &arguments.deployment, arguments.seed)
            .map_err(|it| it.to_string())?
    };
    let report = replays::run(&trace, &arguments.routing).map_err(|it| it.to_string())?;
    if arguments.json {
        println!("{}", serde_json::to_string(&report).map_err(|it| it.to_string())?);
    } else {
        println!("{report}");
    }
    match report.verdicts.iter().filter(|it| !it.met).count() {
        0 => Ok(()),
        missed => Err(format!("{missed} stated outcomes were missed")),
    }
}

/// Prints a trace.
pub fn print(arguments: &Trace) -> Result<(), String> {
    let lines = replays::lines(&arguments.name, &arguments.deployment, arguments.seed);
    for line in lines.map_err(|it| it.to_string())? {
        println!("{}", serde_json::to_string(&line).map_err(|it| it.to_string())?);
    }
    Ok(())
}
