//! Decides when a daemon reads the configuration from the store and from which peers it fetches it.
//!
//! In each failure domain two daemons are *readers*, which follow the store by long polling. They
//! notify others of each change, which fetch it from them and notify further daemons. A change
//! therefore crosses the link to the store's region a few times only, however many daemons there
//! are. A daemon that its peers leave behind reads the store itself, but only an answer that is
//! small: large ones for all daemons, as after a restart of many, would fill that link for seconds.
//!
//! Configurations are compared by their [`ConfigRevision`]: the position in the store's log up to
//! which they include all changes, and the version of the desired state.
//!
//! A store that was restored from an older copy starts a new era, in which it gives offsets out
//! again. A daemon that notices this reads the complete configuration, unless a peer was faster.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{ConfigRevision, LogPosition, Moment, StoreEra};
use smallvec::SmallVec;

use crate::spread::spread;

/// Longest time for which one read of a reader waits for a change; the shortest one is half of it. A
/// restored store may never answer the reads that waited, so this bounds the time until a reader
/// notices the new era.
const POLL_WAIT: Duration = Duration::from_secs(4);

/// Time between two reads of a daemon that is not a reader. They find a change of which no peer has
/// notified it.
const CHECK_INTERVAL: Duration = Duration::from_secs(25);

/// Pause after the first failed read; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Pause after a read that returned at once without changes, so that a store without long polling
/// is not read in a busy loop.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// Time over which the daemons that notice a new era read the complete configuration. The first ones
/// inform their peers, which then need no read of their own.
const ERA_READ_TIME: Duration = Duration::from_secs(1);

/// Time for which a daemon that is behind waits for peers of its region, before it fetches from
/// other regions or reads the store.
const LOCAL_WAIT: Duration = Duration::from_millis(800);

/// Time for which a daemon that is not a reader waits for its peers before it reads an answer of the
/// store that is not small.
const LARGE_READ_DELAY: Duration = Duration::from_secs(4);

/// Time without an answer of one peer after which a second one is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Largest number of peers that are asked at the same time.
const MAX_FETCHES: usize = 2;

/// Number of peers with a later configuration that are remembered.
const MAX_SOURCES: usize = 8;

/// What a daemon must do to stay up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Read the complete configuration from the store.
    ReadAll {
        /// Whether to read it only if it is small.
        small: bool,
    },
    /// Read the changes from this position on, waiting up to `wait` for the first one.
    ReadChanges {
        /// Position of the first change to read.
        position: LogPosition,
        /// Time to wait for it.
        wait: Duration,
        /// Whether to read them only if they are small.
        small: bool,
    },
    /// Abandon the running read of the store.
    AbandonRead,
    /// Fetch from the peer at this address what this daemon lacks.
    Fetch(SocketAddr),
}

/// Steps in the order in which they must be carried out.
pub(super) type Steps = SmallVec<[Step; 4]>;

/// How a read of the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// The complete configuration was read.
    Complete,
    /// Changes were read.
    Changes {
        /// Whether there were none.
        empty: bool,
        /// Whether the store has further ones.
        more: bool,
    },
    /// The store does not have the changes.
    HistoryLost,
    /// The answer belongs to this era and not to that of the requested position.
    OtherEra(StoreEra),
    /// The answer is not small.
    TooLarge,
    /// The read failed.
    Failed,
}

/// Running read of the store.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Position of this daemon's configuration when the read started.
    position: Option<LogPosition>,
    /// Whether the store waits for a change.
    waits: bool,
    started: Moment,
}

/// Peer that has a later configuration.
#[derive(Clone, Copy, Debug)]
struct Source {
    addr: SocketAddr,
    /// Revision of its configuration.
    revision: ConfigRevision,
    /// Whether it is in the region of this daemon.
    local: bool,
}

/// Running fetch from a peer.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    addr: SocketAddr,
    started: Moment,
}

/// Returns the time for which a reader waits for a change after this position. Readers wait
/// differently long, so that one of them is soon the first to notice a store that does not answer.
fn poll_wait(seed: u64, position: LogPosition) -> Duration {
    POLL_WAIT / 2 + spread(seed, position.offset.0, POLL_WAIT / 2)
}

/// Plan by which one daemon keeps its configuration up to date.
#[derive(Debug)]
pub(super) struct SyncPlan {
    /// Whether this daemon follows the store.
    reader: bool,
    /// Revision of the configuration; `None` before the first one.
    revision: Option<ConfigRevision>,
    /// Seed of this daemon.
    seed: u64,
    /// Whether the next read must be a complete one.
    read_all: bool,
    read: Option<Read>,
    /// Moment at which an answer of the store was first found not to be small.
    large_since: Option<Moment>,
    /// Earliest moment of the next read.
    retry_at: Moment,
    /// Moment at which the last successful read ended.
    last_read: Moment,
    /// Pause after the next failed read.
    backoff: Duration,
    /// Peers with a later configuration, in the order in which they reported it.
    sources: SmallVec<[Source; MAX_SOURCES]>,
    fetches: SmallVec<[Fetch; MAX_FETCHES]>,
    /// Moment since which a peer is known to have a later configuration.
    behind_since: Option<Moment>,
}

impl SyncPlan {
    /// Creates the plan of a daemon that has no configuration yet.
    ///
    /// `seed` is different in each daemon.
    pub(super) fn new(now: Moment, seed: u64) -> Self {
        Self {
            reader: false,
            revision: None,
            seed,
            read_all: false,
            read: None,
            large_since: None,
            retry_at: now,
            last_read: now,
            backoff: MIN_BACKOFF,
            sources: SmallVec::new(),
            fetches: SmallVec::new(),
            behind_since: None,
        }
    }

    /// Returns the steps that are due, which the caller must carry out.
    pub(super) fn steps(&mut self, now: Moment) -> Steps {
        let mut steps = Steps::new();
        if self.read.is_some_and(|r| self.is_superfluous(&r)) {
            self.read = None;
            steps.push(Step::AbandonRead);
        }
        while let Some(addr) = self.next_fetch(now) {
            let started = now;
            self.fetches.push(Fetch { addr, started });
            steps.push(Step::Fetch(addr));
        }
        if self.next_read().is_some_and(|due| due <= now) {
            steps.push(self.start_read(now));
        }
        steps
    }

    /// Returns the next moment at which a step may be due; `None` if one is due only after another
    /// event.
    pub(super) fn next_due(&self, now: Moment) -> Option<Moment> {
        let local_wait = self.behind_since.map(|b| b + LOCAL_WAIT);
        let hedge = self.fetches.last().map(|f| f.started + HEDGE_DELAY);
        let hedge = hedge.filter(|_| self.fetches.len() < MAX_FETCHES);
        let later = local_wait.into_iter().chain(hedge).filter(|due| *due > now);
        self.next_read().into_iter().chain(later).min()
    }

    /// Returns the position of the configuration; `None` before the first one.
    fn position(&self) -> Option<LogPosition> {
        self.revision.map(|r| r.position)
    }

    /// Returns whether a running read is no longer needed.
    fn is_superfluous(&self, read: &Read) -> bool {
        // If a peer was faster, reading the rest would load the link in vain.
        self.position() > read.position || (read.waits && !self.reader)
    }

    /// Returns the moment at which the next read of the store is due; `None` while one is running.
    fn next_read(&self) -> Option<Moment> {
        if self.read.is_some() {
            return None;
        }
        if self.reader {
            return Some(self.retry_at);
        }
        let due = match (self.revision, self.behind_since) {
            (Some(_), None) => self.last_read + CHECK_INTERVAL,
            (Some(_), Some(since)) => since + LOCAL_WAIT,
            (None, _) => self.retry_at,
        };
        let due = self
            .large_since
            .map_or(due, |l| due.max(l + LARGE_READ_DELAY));
        Some(due.max(self.retry_at))
    }

    /// Starts a read of the store.
    fn start_read(&mut self, now: Moment) -> Step {
        let from = self.position().filter(|_| !self.read_all);
        let waits = self.reader && from.is_some();
        // An answer that may be large gets more time, in which the store may be silent.
        let small = self.large_since.is_none() && (waits || !self.reader);
        self.read = Some(Read {
            position: self.position(),
            waits,
            started: now,
        });
        match from {
            Some(position) => Step::ReadChanges {
                position,
                wait: if self.reader {
                    poll_wait(self.seed, position)
                } else {
                    Duration::ZERO
                },
                small,
            },
            None => Step::ReadAll { small },
        }
    }

    /// Returns the peer from which to fetch now, if there is one.
    fn next_fetch(&self, now: Moment) -> Option<SocketAddr> {
        let latest = self.fetches.last();
        let hedge = latest.is_none_or(|f| now.since(f.started) >= HEDGE_DELAY);
        if !hedge || self.fetches.len() >= MAX_FETCHES {
            return None;
        }
        let waits = self.behind_since.is_some_and(|b| now.since(b) < LOCAL_WAIT);
        let asked = |s: &&Source| self.fetches.iter().any(|f| f.addr == s.addr);
        let usable = self.sources.iter().filter(|s| s.local || !waits);
        let best = usable.filter(|s| !asked(s));
        best.max_by_key(|s| (s.local, s.revision.position, s.revision.version))
            .map(|s| s.addr)
    }

    /// Sets whether this daemon follows the store.
    pub(super) fn set_reader(&mut self, reader: bool) {
        self.reader = reader;
    }

    /// Records the revision of a peer's configuration; returns whether this daemon is behind since
    /// now.
    pub(super) fn record_peer(
        &mut self,
        addr: SocketAddr,
        revision: ConfigRevision,
        local: bool,
        now: Moment,
    ) -> bool {
        if self.revision.is_some_and(|r| !revision.is_ahead_of(&r)) {
            return false;
        }
        self.sources.retain(|s| s.addr != addr);
        if self.sources.len() == MAX_SOURCES {
            self.sources.remove(0);
        }
        self.sources.push(Source {
            addr,
            revision,
            local,
        });
        let first = self.behind_since.is_none();
        self.behind_since.get_or_insert(now);
        first
    }

    /// Returns whether a peer is known to have a later configuration.
    pub(super) fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Records the end of a fetch. A peer from which nothing was received is not asked again until
    /// it reports its position again.
    pub(super) fn fetch_ended(&mut self, addr: SocketAddr) {
        self.fetches.retain(|f| f.addr != addr);
        self.sources.retain(|s| s.addr != addr);
    }

    /// Records the end of a read of the store.
    pub(super) fn read_ended(&mut self, end: ReadEnd, now: Moment) {
        let started = self.read.take().map_or(now, |r| r.started);
        let pause = match end {
            ReadEnd::Complete => Duration::ZERO,
            // Only the newest of several changes matters, which may each be large.
            ReadEnd::Changes { more: true, .. } => Duration::ZERO,
            ReadEnd::Changes { empty, .. } if empty && now.since(started) < EMPTY_PAUSE => {
                EMPTY_PAUSE
            }
            ReadEnd::Changes { .. } => Duration::ZERO,
            ReadEnd::TooLarge if self.reader => Duration::ZERO,
            ReadEnd::TooLarge => EMPTY_PAUSE,
            ReadEnd::OtherEra(era) if self.is_new_era(era) => {
                spread(self.seed, era.0, ERA_READ_TIME)
            }
            ReadEnd::HistoryLost | ReadEnd::OtherEra(_) | ReadEnd::Failed => self.backoff,
        };
        self.retry_at = now + pause;
        self.backoff = match end {
            ReadEnd::Failed | ReadEnd::HistoryLost | ReadEnd::OtherEra(_) => {
                (self.backoff * 2).min(MAX_BACKOFF)
            }
            // The changes that follow may be missing again.
            ReadEnd::Complete if self.read_all => self.backoff,
            _ => MIN_BACKOFF,
        };
        match end {
            ReadEnd::OtherEra(era) if self.is_new_era(era) => self.read_all = true,
            // An answer of an earlier era is a late one; the position is that of the later era.
            ReadEnd::Failed | ReadEnd::OtherEra(_) => {}
            ReadEnd::TooLarge => {
                self.large_since.get_or_insert(now);
            }
            ReadEnd::HistoryLost | ReadEnd::Changes { more: true, .. } => self.read_all = true,
            ReadEnd::Complete | ReadEnd::Changes { .. } => {
                self.read_all = false;
                self.large_since = None;
                self.last_read = now;
                // Peers that claim to have more than the store are asked, but the store is not read
                // again at once.
                self.behind_since = self.behind_since.filter(|_| !self.sources.is_empty());
                self.behind_since = self.behind_since.map(|_| now);
            }
        }
    }

    /// Returns whether an era is later than that of the configuration.
    fn is_new_era(&self, era: StoreEra) -> bool {
        self.position().is_none_or(|p| p.era < era)
    }

    /// Records the revision of the configuration that is now in force. Its position never falls.
    pub(super) fn record_applied(&mut self, revision: ConfigRevision) {
        if self.position() < Some(revision.position) {
            self.large_since = None;
        }
        if self.is_new_era(revision.position.era) {
            // A peer was faster than the complete read.
            self.read_all = false;
        }
        self.revision = Some(revision);
        self.sources.retain(|s| s.revision.is_ahead_of(&revision));
        if self.sources.is_empty() {
            self.behind_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
