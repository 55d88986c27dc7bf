//! The `lentilhook` program.

mod command;
mod daemon;
mod log;
mod settings;
mod suggest;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
