use super::*;
use crate::desired::DesiredState;

fn stats() -> Stats {
    Stats {
        metrics: Metrics::new().unwrap(),
        running: 0,
        configured: false,
        behind: false,
        caught_up: false,
        stopping: false,
    }
}

fn configuration() -> StatsMessage {
    StatsMessage::Control(Arc::new(ControlView {
        desired: Some(Arc::new(DesiredState::default())),
        ..ControlView::default()
    }))
}

// Guards against a restarted daemon that gets callers while it has an older version than its peers.
#[test]
fn a_started_daemon_is_ready_once_no_peer_has_a_later_configuration() {
    let limits = watch::Sender::new(CallerLimits::default());
    let mut stats = stats();
    stats.handle(StatsMessage::Behind(true), &limits);
    stats.handle(configuration(), &limits);
    assert!(!stats.is_ready());
    stats.handle(StatsMessage::Behind(false), &limits);
    assert!(stats.is_ready());
    // From then on it is behind for moments only, for which callers need not leave.
    stats.handle(StatsMessage::Behind(true), &limits);
    assert!(stats.is_ready());
}

// Guards against a daemon that gets callers without any desired state.
#[test]
fn a_daemon_without_a_desired_state_is_not_ready() {
    let limits = watch::Sender::new(CallerLimits::default());
    let mut stats = stats();
    stats.handle(StatsMessage::Behind(false), &limits);
    assert!(!stats.is_ready());
    stats.handle(configuration(), &limits);
    assert!(stats.is_ready());
}
