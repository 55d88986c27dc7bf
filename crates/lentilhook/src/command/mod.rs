//! Command line: arguments, subcommands and exit codes.

mod admin;
mod check;
mod explain;
mod failure;
mod front;
mod replay;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::EarlyExit;
use argh::FromArgs;

use crate::suggest::nearest;

pub use self::failure::Failure;

/// Program name shown in help texts.
const PROGRAM_NAME: &str = "lentilhook";

/// serving system on reclaimable VMs
#[derive(FromArgs)]
#[argh(note = "Exit codes: 0 success, 1 failure, 2 invalid command line, settings or request, \
            3 conflict with another change, 4 no response from the daemon.")]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Front(Front),
    Check(check::Check),
    Explain(explain::Explain),
    Admin(admin::Admin),
    Replay(replay::Replay),
    Version(Version),
}

/// run a daemon until SIGINT or SIGTERM, then drain it
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "serve",
    example = "{command_name} --settings /etc/lentilhook/settings.json5"
)]
pub struct Serve {
    /// settings file of the daemon, in JSON5
    #[argh(option)]
    pub settings: PathBuf,
}

/// forward callers' requests on the users' platform until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "front", example = "{command_name}")]
pub struct Front {
    /// platform settings file; by default the one named by the environment
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the command given by the process arguments.
pub fn run() -> ExitCode {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&[PROGRAM_NAME], &given) {
        Ok(arguments) => arguments,
        Err(exit) => return exit_early(&exit, &given),
    };
    let result = match arguments.command {
        Command::Serve(it) => serve::run(&it),
        Command::Front(it) => front::run(&it),
        Command::Check(it) => check::run(&it),
        Command::Explain(it) => explain::run(&it),
        Command::Admin(it) => admin::run(&it),
        Command::Replay(it) => replay::run(&it),
        Command::Version(_) => {
            println!("{PROGRAM_NAME} {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.code()
        }
    }
}

/// Prints the requested help, or the argument error with a suggestion.
fn exit_early(exit: &EarlyExit, given: &[&str]) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output.trim_end());
    // Suggestions come from the help text of the innermost valid subcommand.
    let help = (0..=given.len()).rev().find_map(|count| {
        let arguments = [&given[..count], &["--help"]].concat();
        let exit = Arguments::from_args(&[PROGRAM_NAME], &arguments).err()?;
        exit.status.is_ok().then_some(exit.output)
    });
    let help = help.unwrap_or_default();
    let words: Vec<&str> = help.split_whitespace().collect();
    let unknown = given.iter().find(|it| exit.output.contains(**it) && !words.contains(*it));
    let known = words.iter().copied().filter(|it| !it.contains('['));
    match unknown.and_then(|unknown| nearest(unknown, known)) {
        Some(suggestion) => eprintln!("Did you mean {suggestion}?"),
        None => eprintln!("{}", help.trim_end()),
    }
    ExitCode::from(failure::USAGE)
}
