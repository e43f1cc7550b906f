//! Timeline events for changes of the local upstreams.

use cornelvalve_api::Event;
use cornelvalve_model::{Upstream, UpstreamState};

use crate::guard::Upstreams;

/// Returns an event for each upstream in `after` that is new or changed since `before`.
pub(super) fn changes(before: &Upstreams, after: &Upstreams) -> impl Iterator<Item = Event> {
    after
        .iter()
        .filter(|now| !before.iter().any(|old| is_unchanged(old, now)))
        .map(event_for)
}

/// Returns whether an operator would see no difference; the number of slots is ignored.
fn is_unchanged(old: &Upstream, now: &Upstream) -> bool {
    old.service == now.service
        && old.state == now.state
        && old.incarnation == now.incarnation
        && old.port == now.port
}

/// Returns the event that reports the state of an upstream.
fn event_for(upstream: &Upstream) -> Event {
    let service = upstream.service.clone();
    let port = upstream.port;
    match upstream.state {
        UpstreamState::Ready => Event::UpstreamAnnounced { service, port },
        UpstreamState::Draining => Event::UpstreamDraining { service, port },
        UpstreamState::Lost => Event::UpstreamLost { service, port },
    }
}
