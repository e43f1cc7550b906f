//! Installs the logger of the process, which writes JSON lines to standard error.

use derive_more::{Display, Error};
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::core::builder;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Reports that a logger is already installed in this process.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a logger is already installed; call logging::init once, at start")]
pub struct LoggingError;

/// Installs a logger that writes messages of `level` and more severe ones.
///
/// # Errors
///
/// Returns [`LoggingError`] if a logger is already installed.
pub fn init(level: log::LevelFilter) -> Result<()> {
    let logger = builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter(level))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger))).map_err(|_| LoggingError)?;
    log::set_max_level(level);
    Ok(())
}

/// Converts a level filter of the `log` crate to one of `logforth`.
fn filter(level: log::LevelFilter) -> LevelFilter {
    match level.to_level() {
        None => LevelFilter::Off,
        Some(log::Level::Error) => LevelFilter::MoreSevereEqual(Level::Error),
        Some(log::Level::Warn) => LevelFilter::MoreSevereEqual(Level::Warn),
        Some(log::Level::Info) => LevelFilter::MoreSevereEqual(Level::Info),
        Some(log::Level::Debug) => LevelFilter::MoreSevereEqual(Level::Debug),
        Some(log::Level::Trace) => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
