//! `lentilhook check`.

use std::path::PathBuf;

use argh::FromArgs;

use crate::command::Failure;
use crate::daemon;
use crate::settings::Settings;

/// check settings and state charts without starting anything
///
/// Prints every problem as FILE:LINE: FIELD: REMEDY.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings /etc/lentilhook/settings.json5"
)]
pub struct Check {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Checks and prints what was checked.
pub fn run(arguments: &Check) -> Result<(), Failure> {
    let settings = Settings::read(&arguments.settings).map_err(Failure::usage)?;
    daemon::check_charts().map_err(Failure::usage)?;
    println!(
        "{}: settings of {} and state charts are right",
        arguments.settings.display(),
        settings.daemon
    );
    Ok(())
}
