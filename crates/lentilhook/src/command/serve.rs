//! `lentilhook serve`: the daemon process.

use crate::command::Failure;
use crate::command::Serve;
use crate::daemon;
use crate::log;
use crate::settings::Settings;

/// Runs a daemon until it has drained.
pub fn run(arguments: &Serve) -> Result<(), Failure> {
    let settings = Settings::read(&arguments.settings).map_err(Failure::usage)?;
    let secret = settings.peer_secret().map_err(Failure::usage)?;
    log::init(settings.log).map_err(Failure::failed)?;
    daemon::run(&settings, secret.expose()).map_err(Failure::failed)
}
