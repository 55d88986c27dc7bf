//! `lentilhook check`: validation of settings files.

use std::path::PathBuf;

use argh::FromArgs;

use crate::command::Failure;
use crate::daemon;
use crate::settings::Settings;

/// check settings and state charts without starting anything, and print each problem with its
/// line and how to fix it
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings /etc/lentilhook/settings.json5"
)]
pub struct Check {
    /// settings file of a daemon, in JSON5
    #[argh(option)]
    settings: Option<PathBuf>,
    /// platform settings file, as for `lentilhook front`
    #[argh(option)]
    front: Option<PathBuf>,
}

/// Checks the given files and prints a line for each valid one.
pub fn run(arguments: &Check) -> Result<(), Failure> {
    if arguments.settings.is_none() && arguments.front.is_none() {
        return Err(Failure::usage("nothing to check; pass --settings FILE or --front FILE"));
    }
    if let Some(path) = &arguments.settings {
        let settings = Settings::read(path).map_err(Failure::usage)?;
        daemon::check_charts().map_err(Failure::usage)?;
        println!("{}: settings of {} and state charts are valid", path.display(), settings.daemon);
    }
    if let Some(path) = &arguments.front {
        let settings = platform::settings::read(path.clone()).map_err(Failure::usage)?;
        println!("{}: settings of {} are valid", path.display(), settings.daemon);
    }
    Ok(())
}
