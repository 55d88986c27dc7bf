//! The command line.

mod admin;
mod replay;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// serving system on reclaimable VMs
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Admin(admin::Admin),
    Replay(replay::Replay),
    Version(Version),
}

/// run a daemon until SIGINT or SIGTERM, then drain it
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Serve(it) => serve::run(&it),
        Command::Admin(it) => admin::run(&it),
        Command::Replay(it) => replay::run(&it),
        Command::Version(_) => {
            println!("lentilhook {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lentilhook: {message}");
            ExitCode::FAILURE
        }
    }
}
