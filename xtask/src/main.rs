//! Development tasks: `cargo xtask
//! demo|measure|measure-ledger|replay|scale|tidy|trace`.

mod replay;
mod tidy;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// development tasks of this repository
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    Measure(Measure),
    MeasureLedger(MeasureLedger),
    Scale(Scale),
    Replay(replay::Replay),
    Tidy(Tidy),
    Trace(replay::Trace),
}

/// start a deployment on loopback, serve a draft and a renewal, and stop it
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// print the measurements for the capacity page; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {}

/// print the control plane costs for growing numbers of daemons; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// number of daemons; may be repeated
    #[argh(option)]
    daemons: Vec<usize>,
    /// number of endpoints in the VM list
    #[argh(option, default = "0")]
    endpoints: usize,
}

/// print the ledger's writes at several call rates; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "measure-ledger")]
struct MeasureLedger {}

/// check the repository conventions that rustfmt and Clippy do not cover
#[derive(FromArgs)]
#[argh(subcommand, name = "tidy")]
struct Tidy {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Demo(_) => harness::demo::run().map_err(|it| it.to_string()),
        Command::Measure(_) => harness::measure::run().map_err(|it| it.to_string()),
        Command::Scale(it) => {
            harness::scale::run(&it.daemons, it.endpoints).map_err(|it| it.to_string())
        }
        Command::MeasureLedger(_) => harness::measure_ledger::run().map_err(|it| it.to_string()),
        Command::Replay(it) => replay::run(&it),
        Command::Trace(it) => replay::print(&it),
        Command::Tidy(_) => tidy::run(&root()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).parent().map(PathBuf::from).unwrap_or_default()
}
