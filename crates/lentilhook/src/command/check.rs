//! `lentilhook check`.

use std::path::PathBuf;

use argh::FromArgs;

use crate::command::Failure;
use crate::daemon;
use crate::settings::Settings;

/// check settings and state charts without starting anything
///
/// Prints problems with line and remedy.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings /etc/lentilhook/settings.json5"
)]
pub struct Check {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,
    /// settings file of the platform, as for `lentilhook front`
    #[argh(option)]
    front: Option<PathBuf>,
}

/// Checks and prints what was checked.
pub fn run(arguments: &Check) -> Result<(), Failure> {
    if arguments.settings.is_none() && arguments.front.is_none() {
        return Err(Failure::usage("nothing to check; give --settings FILE or --front FILE"));
    }
    if let Some(path) = &arguments.settings {
        let settings = Settings::read(path).map_err(Failure::usage)?;
        daemon::check_charts().map_err(Failure::usage)?;
        println!("{}: settings of {} and state charts are right", path.display(), settings.daemon);
    }
    if let Some(path) = &arguments.front {
        let settings = platform::settings::read(path.clone()).map_err(Failure::usage)?;
        println!("{}: settings of {} are right", path.display(), settings.daemon);
    }
    Ok(())
}
