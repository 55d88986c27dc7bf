//! Tasks of the repository: `cargo xtask demo|measure|replay|tidy|trace`.

mod replay;
mod tidy;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// tasks of the repository
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

/// start everything on loopback, serve a draft and a renewal, stop
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// print the figures that the capacity page is made from; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {}

/// print what control costs as the number of daemons grows; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// number of daemons, may be given several times
    #[argh(option)]
    daemons: Vec<usize>,
    /// endpoints in the VM list
    #[argh(option, default = "0")]
    endpoints: usize,
}

/// print the ledger's writes at several rates of calls; build with --release
#[derive(FromArgs)]
#[argh(subcommand, name = "measure-ledger")]
struct MeasureLedger {}

/// check the house rules that formatter and linter do not know
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
