//! `lentilhook front`: the entry process on the users' platform.

use front::metrics;
use platform::settings;

use crate::command::Failure;
use crate::command::Front;
use crate::log;

/// Forwards callers' requests until SIGTERM, then drains.
pub fn run(arguments: &Front) -> Result<(), Failure> {
    let path = arguments.settings.clone().unwrap_or_else(settings::path);
    let settings = settings::read(path.clone()).map_err(Failure::usage)?;
    log::init_bounded(metrics::record_dropped_line).map_err(Failure::failed)?;
    front::run::run(settings, path).map_err(Failure::failed)
}
