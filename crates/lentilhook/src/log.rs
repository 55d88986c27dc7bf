//! Set-up of the structured log.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::settings::Log;
use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Sends log lines to standard error as the settings say.
pub fn init(settings: Log) -> Result<(), spdlog::Error> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match settings.format {
        LogFormat::Text => builder.build_arc()?,
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc()?,
    };
    let logger = Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    set_level(settings.level);
    Ok(())
}

/// Changes the least severe level that is written from now on.
pub fn set_level(level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
