//! Positions in a log whose store may be restored from an older copy, and the order between the
//! configurations of two daemons.

use serde::{Deserialize, Serialize};

use crate::{Offset, Revision, StoreEra};

/// Position in a store's log. A position of a later era is later than all of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Era in which the store gave out the offset.
    pub era: StoreEra,
    /// Offset of the next record.
    pub offset: Offset,
}

impl LogPosition {
    /// Creates a position from the plain numbers.
    #[must_use]
    pub fn new(era: u64, offset: u64) -> Self {
        Self {
            era: StoreEra(era),
            offset: Offset(offset),
        }
    }
}

/// Summary of the configuration that a daemon has in force, by which daemons find out which of them
/// has something that the other lacks.
///
/// The position alone does not tell: a store that was restored may lack a version that is in force,
/// so two daemons can have read it up to the same position and have different versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigRevision {
    /// Position in the log up to which the configuration includes all changes.
    pub position: LogPosition,
    /// Version of the desired state; zero if there is none.
    pub version: u64,
    /// Whether failure domains are kept out of service that the restored store does not list.
    pub keeps_domains: bool,
}

impl ConfigRevision {
    /// Returns whether this configuration includes something that `other` may lack.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let same_era = self.position.era == other.position.era;
        self.position > other.position
            || self.version > other.version
            || (same_era && self.keeps_domains && !other.keeps_domains)
    }

    /// Returns the later position and version of both, and which domains `self` keeps.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            position: self.position.max(other.position),
            version: self.version.max(other.version),
            keeps_domains: self.keeps_domains,
        }
    }

    /// Returns the revision of a configuration that consists of log records only.
    #[must_use]
    pub fn log_revision(&self) -> Revision {
        Revision(self.position.offset.0)
    }
}

/// Converts the revision of a configuration that consists of the records of a log without eras.
impl From<Revision> for ConfigRevision {
    fn from(revision: Revision) -> Self {
        Self {
            position: LogPosition::new(0, revision.0),
            ..Self::default()
        }
    }
}
