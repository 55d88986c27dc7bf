//! The command line.

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

/// Name of the program in its help.
const PROGRAM: &str = "lentilhook";

/// serving system on reclaimable VMs
#[derive(FromArgs)]
#[argh(note = "Exit codes: 0 done, 1 failed, 2 wrong command line, settings or request, \
            3 a change raced with another, 4 the daemon gave no answer.")]
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
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}

/// forward callers' requests on the users' platform until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "front", example = "{command_name}")]
pub struct Front {
    /// settings file of the platform; the environment names it where this is
    /// not given
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&[PROGRAM], &given) {
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
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
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

/// Prints help, or what is wrong with the arguments and the right one.
fn exit_early(exit: &EarlyExit, given: &[&str]) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output.trim_end());
    // The innermost command that is named right tells its words.
    let help = (0..=given.len()).rev().find_map(|count| {
        let asked = [&given[..count], &["--help"]].concat();
        let exit = Arguments::from_args(&[PROGRAM], &asked).err()?;
        exit.status.is_ok().then_some(exit.output)
    });
    let help = help.unwrap_or_default();
    let words: Vec<&str> = help.split_whitespace().collect();
    let wrong = given.iter().find(|it| exit.output.contains(**it) && !words.contains(*it));
    let known = words.iter().copied().filter(|it| !it.contains('['));
    match wrong.and_then(|wrong| nearest(wrong, known)) {
        Some(right) => eprintln!("Did you mean {right}?"),
        None => eprintln!("{}", help.trim_end()),
    }
    ExitCode::from(failure::USAGE)
}
