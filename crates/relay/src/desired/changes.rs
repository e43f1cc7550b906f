//! Differences between two desired states, which daemons send to each other instead of complete
//! states.
//!
//! A daemon names the state that it has by its version and a digest of its content. Another daemon
//! that remembers the routes of that state replies with the routes that were added or removed since.
//! The digest of the resulting state shows whether the result is the state of the other daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use cornelvalve_model::Fingerprint;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{CallerLimits, DesiredState, RouteSpec, ServiceSpec, Version};

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, ChangesError>;

/// Number of recent desired states whose routes are remembered. Differences from older states are
/// not known, so a daemon that is further behind receives the complete state.
const HISTORY_LENGTH: usize = 16;

/// Reason why a difference between desired states cannot be computed or applied.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ChangesError {
    /// The difference refers to another state than the current one.
    #[display("changes are based on another desired state")]
    OtherBase,
    /// The difference does not lead to the state of the sender.
    #[display("changes do not lead to the sender's desired state")]
    OtherResult,
    /// A part of the state cannot be encoded to compute its digest.
    #[display("desired state cannot be encoded: {_0}")]
    Encoding(#[error(not(source))] String),
}

/// Identifies the content of a desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateId {
    /// Version of the state.
    pub(crate) version: Version,
    /// Hash of the content, independent of the order of the routes.
    pub(crate) digest: Fingerprint,
}

/// Difference between two desired states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DesiredChanges {
    /// State that the difference starts from.
    base: StateId,
    /// State that it leads to.
    result: StateId,
    /// Hashes of the routes that are in the base only, ascending.
    removed: Vec<Fingerprint>,
    /// Routes that are in the result only.
    added: Vec<Arc<RouteSpec>>,
    /// All services of the result.
    services: Vec<ServiceSpec>,
    /// Limits of the result.
    limits: CallerLimits,
}

impl DesiredChanges {
    /// Returns the version that the difference leads to.
    pub(crate) fn version(&self) -> Version {
        self.result.version
    }
}

/// Desired state of a daemon, as sent to one that has another or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum DesiredUpdate {
    /// The sender has no later state.
    Unchanged,
    /// Difference from the receiver's state.
    Changes(DesiredChanges),
    /// The complete state.
    Complete(Arc<DesiredState>),
}

/// Hashes of the routes of one desired state.
#[derive(Clone, Debug)]
struct StateIndex {
    id: StateId,
    /// Hash of each route, ascending.
    routes: Vec<Fingerprint>,
}

impl StateIndex {
    /// Creates the index of a state whose routes have these hashes.
    fn new(state: &DesiredState, hashes: &[Fingerprint]) -> Result<Self> {
        let mut routes = hashes.to_vec();
        routes.sort_unstable_by_key(|r| r.0);
        let id = StateId {
            version: state.version,
            digest: hash(&(&routes, &state.services, &state.limits))?,
        };
        Ok(Self { id, routes })
    }

    fn contains(&self, route: Fingerprint) -> bool {
        contains(&self.routes, route)
    }
}

/// Returns whether an ascending list of hashes contains this one.
fn contains(hashes: &[Fingerprint], hash: Fingerprint) -> bool {
    hashes.binary_search_by_key(&hash.0, |h| h.0).is_ok()
}

/// Desired state in force.
#[derive(Debug)]
struct Current {
    state: Arc<DesiredState>,
    /// Hash of each route, in the order of the state.
    hashes: Vec<Fingerprint>,
}

/// Current desired state with the routes of the states before it.
#[derive(Debug, Default)]
pub(crate) struct History {
    current: Option<Current>,
    /// Indexes of the recent states, oldest first; the last one belongs to `current`.
    recent: VecDeque<StateIndex>,
}

impl History {
    /// Adds a state that becomes the current one, unless [`History::apply`] has added it.
    ///
    /// # Errors
    ///
    /// Returns [`ChangesError::Encoding`] if the state cannot be encoded. No differences are known
    /// then until the next state.
    pub(crate) fn push(&mut self, state: &Arc<DesiredState>) -> Result<()> {
        let known = self.current.as_ref();
        if known.is_some_and(|c| Arc::ptr_eq(&c.state, state)) {
            return Ok(());
        }
        let hashes = state.routes.iter().map(hash);
        let index = hashes
            .collect::<Result<Vec<_>>>()
            .and_then(|hashes| Ok((StateIndex::new(state, &hashes)?, hashes)));
        match index {
            Ok((index, hashes)) => {
                self.add(Arc::clone(state), hashes, index);
                Ok(())
            }
            Err(e) => {
                self.forget();
                let (state, hashes) = (Arc::clone(state), Vec::new());
                self.current = Some(Current { state, hashes });
                Err(e)
            }
        }
    }

    /// Makes a state the current one.
    fn add(&mut self, state: Arc<DesiredState>, hashes: Vec<Fingerprint>, index: StateIndex) {
        if self.recent.len() == HISTORY_LENGTH {
            self.recent.pop_front();
        }
        self.recent.push_back(index);
        self.current = Some(Current { state, hashes });
    }

    /// Forgets the routes of all states, so that updates from and for peers are complete states.
    pub(crate) fn forget(&mut self) {
        self.recent.clear();
    }

    /// Returns the identity of the current state; `None` if there is none.
    pub(crate) fn current_id(&self) -> Option<StateId> {
        self.recent.back().map(|index| index.id)
    }

    /// Returns what a daemon needs that has the state `base`, or none.
    pub(crate) fn update_from(&self, base: Option<StateId>) -> DesiredUpdate {
        let Some(current) = &self.current else {
            return DesiredUpdate::Unchanged;
        };
        let complete = || DesiredUpdate::Complete(Arc::clone(&current.state));
        let Some(base) = base else {
            return complete();
        };
        if base.version >= current.state.version {
            return DesiredUpdate::Unchanged;
        }
        let changes = self.changes_since(base, current);
        changes.map_or_else(complete, DesiredUpdate::Changes)
    }

    /// Returns what a daemon needs that has the state before the current one; `None` if there is no
    /// such state.
    pub(crate) fn latest_change(&self) -> Option<DesiredUpdate> {
        let current = self.current.as_ref()?;
        let previous = self.recent.iter().rev().nth(1)?;
        let changes = self.changes_since(previous.id, current);
        changes.map(DesiredUpdate::Changes)
    }

    /// Returns the difference between a recent state and the current one; `None` if the former is
    /// not remembered.
    fn changes_since(&self, base: StateId, current: &Current) -> Option<DesiredChanges> {
        let old = self.recent.iter().find(|index| index.id == base)?;
        let new = self.recent.back()?;
        let routes = current.state.routes.iter().zip(&current.hashes);
        let added = routes.filter(|(_, hash)| !old.contains(**hash));
        let removed = old.routes.iter().filter(|hash| !new.contains(**hash));
        Some(DesiredChanges {
            base,
            result: new.id,
            removed: removed.copied().collect(),
            added: added.map(|(route, _)| Arc::clone(route)).collect(),
            services: current.state.services.clone(),
            limits: current.state.limits,
        })
    }

    /// Applies a difference to the current state and returns the result, which becomes the current
    /// state.
    ///
    /// # Errors
    ///
    /// Returns [`ChangesError::OtherBase`] or [`ChangesError::OtherResult`] if the difference does
    /// not lead from the current state to the one that it names, which then stays the current one.
    pub(crate) fn apply(&mut self, changes: DesiredChanges) -> Result<Arc<DesiredState>> {
        let current = self.current.as_ref().ok_or(ChangesError::OtherBase)?;
        if self.current_id() != Some(changes.base) {
            return Err(ChangesError::OtherBase);
        }
        let kept = current.state.routes.iter().zip(&current.hashes);
        let kept = kept.filter(|(_, hash)| !contains(&changes.removed, **hash));
        let (mut routes, mut hashes): (Vec<_>, Vec<_>) =
            kept.map(|(route, hash)| (Arc::clone(route), *hash)).unzip();
        for route in changes.added {
            hashes.push(hash(&route)?);
            routes.push(route);
        }
        let state = Arc::new(DesiredState {
            version: changes.result.version,
            routes,
            services: changes.services,
            limits: changes.limits,
        });
        let index = StateIndex::new(&state, &hashes)?;
        if index.id != changes.result {
            return Err(ChangesError::OtherResult);
        }
        self.add(Arc::clone(&state), hashes, index);
        Ok(state)
    }
}

/// Returns the hash of a value in its encoded form.
fn hash<T: Serialize + ?Sized>(value: &T) -> Result<Fingerprint> {
    let bytes = postcard::to_stdvec(value).map_err(|e| ChangesError::Encoding(e.to_string()))?;
    Ok(Fingerprint::of(&[&bytes]))
}

#[cfg(test)]
mod tests;
