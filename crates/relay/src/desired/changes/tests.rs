use super::*;
use crate::testing::route_spec;

/// Returns a state with many routes, of which the first has this prefix.
fn state(version: u64, first_prefix: &str) -> Arc<DesiredState> {
    let mut routes = vec![Arc::new(route_spec("first", first_prefix, "one"))];
    let others = (0..500).map(|i| route_spec(&format!("r-{i}"), &format!("/r-{i}/"), "one"));
    routes.extend(others.map(Arc::new));
    Arc::new(DesiredState {
        version: Version(version),
        routes,
        ..DesiredState::default()
    })
}

/// Returns the history of a daemon that applied these states.
fn history(states: &[&Arc<DesiredState>]) -> History {
    let mut history = History::default();
    for state in states {
        history.push(state).unwrap();
    }
    history
}

// Guards against changes whose size grows with the desired state.
#[test]
fn a_change_of_one_route_is_sent_as_that_route() {
    let (old, new) = (state(1, "/old/"), state(4, "/new/"));
    let mut receiver = history(&[&old]);
    let update = history(&[&old, &new]).update_from(receiver.current_id());
    let bytes = postcard::to_stdvec(&update).unwrap();
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
    let DesiredUpdate::Changes(changes) = update else {
        panic!("expected changes, got {update:?}");
    };
    let result = receiver.apply(changes).unwrap();
    assert_eq!(result.version, Version(4));
    let (_, routed) = result.route("a.example", "/new/x").unwrap();
    assert_eq!(&*routed.name, "first");
    assert!(result.route("a.example", "/old/x").is_none());
    assert_eq!(result.routes.len(), new.routes.len());
    assert_eq!(receiver.current_id(), history(&[&new]).current_id());
}

// Guards against a mixture of two states after a difference was applied to another state than the
// one that it was computed from.
#[test]
fn changes_from_another_state_are_rejected() {
    let (old, new) = (state(1, "/old/"), state(4, "/new/"));
    let sender = history(&[&old, &new]);
    let update = sender.update_from(history(&[&old]).current_id());
    let DesiredUpdate::Changes(changes) = update else {
        panic!("expected changes, got {update:?}");
    };
    let mut other = history(&[&state(1, "/other/")]);
    assert_eq!(other.apply(changes.clone()), Err(ChangesError::OtherBase));
    let forged = DesiredChanges {
        removed: Vec::new(),
        ..changes
    };
    let mut receiver = history(&[&old]);
    assert_eq!(receiver.apply(forged), Err(ChangesError::OtherResult));
}

// Guards against a daemon that never catches up, because its state is not remembered by others.
#[test]
fn an_unknown_state_is_answered_with_the_complete_one() {
    let (unknown, new) = (state(2, "/unknown/"), state(4, "/new/"));
    let sender = history(&[&state(1, "/old/"), &new]);
    let unknown = history(&[&unknown]).current_id();
    for base in [None, unknown] {
        let update = sender.update_from(base);
        assert_eq!(update, DesiredUpdate::Complete(Arc::clone(&new)));
    }
}

// Guards against an update to an older state.
#[test]
fn a_later_state_is_not_replaced() {
    let sender = history(&[&state(4, "/new/")]);
    let later = history(&[&state(5, "/later/")]).current_id();
    assert_eq!(sender.update_from(later), DesiredUpdate::Unchanged);
    assert_eq!(
        sender.update_from(sender.current_id()),
        DesiredUpdate::Unchanged
    );
    let empty = History::default();
    assert_eq!(empty.update_from(None), DesiredUpdate::Unchanged);
}
