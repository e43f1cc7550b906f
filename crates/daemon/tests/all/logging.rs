//! Tests of the logger. It can be installed only once in a process, so there is a single test.

use cornelvalve_daemon::logging;

/// Guards against a level that has no effect on the `log` macros, and against a second call that
/// replaces the logger or its level.
#[test]
fn logger_is_installed_once() {
    assert!(logging::init(log::LevelFilter::Warn).is_ok());
    assert_eq!(log::max_level(), log::LevelFilter::Warn);
    assert!(!log::log_enabled!(log::Level::Info));
    assert!(log::log_enabled!(log::Level::Warn));
    assert!(logging::init(log::LevelFilter::Info).is_err());
    assert_eq!(log::max_level(), log::LevelFilter::Warn);
}
