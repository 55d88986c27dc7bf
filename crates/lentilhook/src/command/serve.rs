//! `lentilhook serve`.

use crate::command::Serve;
use crate::daemon;
use crate::log;
use crate::settings::Settings;

/// Runs a daemon until it has drained.
pub fn run(arguments: &Serve) -> Result<(), String> {
    let settings = Settings::read(&arguments.settings).map_err(|it| it.to_string())?;
    let secret = settings.peer_secret().map_err(|it| it.to_string())?;
    log::init(settings.log.format).map_err(|it| it.to_string())?;
    daemon::run(&settings, &secret).map_err(|it| it.to_string())
}
