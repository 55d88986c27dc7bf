//! Set-up of the structured log.

use std::sync::Arc;

use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::settings::LogFormat;

/// Sends log lines to standard error in the given form.
pub fn init(format: LogFormat) -> Result<(), spdlog::Error> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
        LogFormat::Text => builder.build_arc()?,
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc()?,
    };
    let logger = Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
