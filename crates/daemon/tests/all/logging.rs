//! Tests of the logger; the process has only one, so this is a single test.

use cornelvalve_daemon::logging;

/// Guards against a level that the `log` macros do not see, and against a second logger.
#[test]
fn logger_is_installed_once() {
    assert!(logging::init(log::LevelFilter::Warn).is_ok());
    assert_eq!(log::max_level(), log::LevelFilter::Warn);
    assert!(!log::log_enabled!(log::Level::Info));
    assert!(log::log_enabled!(log::Level::Warn));
    assert!(logging::init(log::LevelFilter::Info).is_err());
    assert_eq!(log::max_level(), log::LevelFilter::Warn);
}
