//! Traces and their replay against a temporary deployment.

use std::path::PathBuf;

use argh::FromArgs;
use harness::replays;

/// replay a trace against a temporary deployment
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace file, or the name of a trace to generate
    #[argh(positional)]
    trace: String,
    /// deployment of a generated trace: standards or brazos
    #[argh(option, default = "String::from(\"standards\")")]
    deployment: String,
    /// seed of a generated trace
    #[argh(option, default = "1")]
    seed: u64,
    /// routing mode: scored, random, least_loaded or prefix_hash
    #[argh(option, default = "String::from(\"scored\")")]
    routing: String,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// print a trace generated from a seed
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// name of the trace: ordinary, burst, zone, waves, outage, crash or heavy
    #[argh(positional)]
    name: String,
    /// deployment: standards or brazos
    #[argh(positional)]
    deployment: String,
    /// seed of the generator
    #[argh(positional)]
    seed: u64,
}

/// Replays a trace and prints the report.
///
/// Fails if the trace can't be read or replayed, or if any of its stated
/// outcomes was missed.
pub fn run(arguments: &Replay) -> Result<(), String> {
    let path = PathBuf::from(&arguments.trace);
    let trace = if path.is_file() {
        replay::trace::Trace::read(&path).map_err(|it| it.to_string())?
    } else {
        replays::generate(&arguments.trace, &arguments.deployment, arguments.seed)
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

/// Prints a generated trace, one JSON object per line.
pub fn print(arguments: &Trace) -> Result<(), String> {
    let lines = replays::generate_lines(&arguments.name, &arguments.deployment, arguments.seed);
    for line in lines.map_err(|it| it.to_string())? {
        println!("{}", serde_json::to_string(&line).map_err(|it| it.to_string())?);
    }
    Ok(())
}
