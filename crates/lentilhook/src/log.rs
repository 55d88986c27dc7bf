//! Set-up of the structured log.

use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::settings::Log;
use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Lines that wait for a slow reader of standard output.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

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

/// Sends JSON lines to standard output from a thread of its own. Lines beyond
/// what the reader takes are dropped rather than waited for; each is told to
/// `on_drop`.
pub fn init_bounded(on_drop: fn()) -> Result<(), spdlog::Error> {
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let thread = ThreadPool::builder().capacity(QUEUE_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(thread)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let tell = move |error| note(&error, on_drop);
    let logger = Logger::builder().sink(sink).error_handler(tell).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    set_level(LogLevel::Info);
    Ok(())
}

fn note(error: &spdlog::Error, on_drop: fn()) {
    match error {
        spdlog::Error::SendToChannel(..) => on_drop(),
        // Nothing else is left to tell it: standard output may be the cause.
        error => eprintln!("log line not written: {error}"),
    }
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
