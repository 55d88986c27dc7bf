//! `lentilhook replay`: replay of a trace against running processes.

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use indicatif::ProgressBar;
use replay::drive;
use replay::drive::Host;
use replay::report::Report;
use replay::targets::Targets;
use replay::trace::Trace;
use replay::verdict;

use crate::command::failure::Failure;

/// replay a trace against running processes and check its stated outcomes
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace file with one JSON object on each line
    #[argh(positional)]
    pub trace: PathBuf,
    /// JSON file with the addresses of the running processes
    #[argh(option)]
    pub targets: PathBuf,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}

/// A host that can't end VMs itself. It prints a request for each to standard error, for whoever
/// started the VMs.
struct Prompt;

impl Host for Prompt {
    fn kill(&mut self, vm: &str) -> io::Result<()> {
        eprintln!("end {vm} now");
        Ok(())
    }
}

/// Replays the trace and prints the report. The error states how many stated outcomes were missed.
pub fn run(arguments: &Replay) -> Result<(), Failure> {
    let trace = Trace::read(&arguments.trace).map_err(Failure::usage)?;
    let targets = Targets::read(&arguments.targets).map_err(Failure::usage)?;
    // The progress bar is shown on a terminal only.
    let bar = ProgressBar::new(0);
    let progress = |ended: usize, total: usize| {
        bar.set_length(total as u64);
        bar.set_position(ended as u64);
    };
    let result = drive::run(&trace, &targets, &mut Prompt, &progress);
    bar.finish_and_clear();
    let run = result.map_err(Failure::failed)?;
    let verdicts = trace.outcomes.iter().map(|it| verdict::judge(it, &run, &targets)).collect();
    let report = Report::new(&trace.name, &run, &targets, verdicts);
    if arguments.json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
    } else {
        println!("{report}");
    }
    match report.verdicts.iter().filter(|it| !it.met).count() {
        0 => Ok(()),
        missed => Err(Failure::failed(format!("{missed} stated outcomes were missed"))),
    }
}
