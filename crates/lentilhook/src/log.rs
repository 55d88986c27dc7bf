//! Setup of structured logging.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

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

/// Maximum number of queued log lines while the reader of standard output is slow.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Logs to standard error, in the format and at the level of the settings.
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

/// Logs JSON lines to standard output from a separate thread.
///
/// If the reader is too slow and the queue is full, new lines are dropped instead of blocking the
/// caller. `on_drop` is called for each dropped line.
pub fn init_bounded(on_drop: fn()) -> Result<(), spdlog::Error> {
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let thread = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(thread)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let error_handler = move |error| handle_error(&error, on_drop);
    let logger = Logger::builder().sink(sink).error_handler(error_handler).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    set_level(LogLevel::Info);
    Ok(())
}

/// Writes the queued log lines and ends logging. Gives up after `timeout` if the reader
/// of standard output is too slow, since the exit of the process would wait for it.
pub fn finish(timeout: Duration) {
    let Ok(silent) = Logger::builder().build() else { return };
    let logger = spdlog::swap_default_logger(Arc::new(silent));
    let (done, is_done) = channel();
    thread::spawn(move || {
        // Nothing can be logged about a failure any more.
        logger.sinks().iter().for_each(|it| drop(it.flush_on_exit()));
        let _ = done.send(());
    });
    let _ = is_done.recv_timeout(timeout);
}

fn handle_error(error: &spdlog::Error, on_drop: fn()) {
    match error {
        spdlog::Error::SendToChannel(..) => on_drop(),
        // Standard output itself may be the cause, so the error goes to standard error.
        error => eprintln!("cannot write log line: {error}"),
    }
}

/// Sets the least severe level that is logged.
pub fn set_level(level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
