//! `lentilhook front`: the entry process on the users' platform.

use std::time::Duration;

use front::metrics;
use platform::settings;

use crate::command::Failure;
use crate::command::Front;
use crate::log;

/// How long the exit waits for the reader of the log. Shorter than the time between a
/// forced exit and SIGKILL.
const LOG_TIMEOUT: Duration = Duration::from_millis(200);

/// Forwards callers' requests until SIGTERM, then drains.
pub fn run(arguments: &Front) -> Result<(), Failure> {
    let path = arguments.settings.clone().unwrap_or_else(settings::path);
    let settings = settings::read(path.clone()).map_err(Failure::usage)?;
    log::init_bounded(metrics::record_dropped_line).map_err(Failure::failed)?;
    let result = front::run::run(settings, path).map_err(Failure::failed);
    log::finish(LOG_TIMEOUT);
    result
}
