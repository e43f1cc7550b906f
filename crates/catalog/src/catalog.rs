//! The state machine: records in, verdicts out.

use cornelvalve_model::{
    Change, ChangeId, DomainState, FailureDomain, LogEntry, Offset, Operation, Reason,
    RecentChange, RecentVerdict, Region, Revision, RouteName, Rule, Service, ServiceName, Snapshot,
    TeamName, VersionedEntry,
};

use crate::history::{BadRecords, MAX_RECENT_CHANGES, RecentChanges};
use crate::tables::Tables;
use crate::{
    ApplyOutcome, BadRecord, Domain, Entry, GapError, PastVerdict, Rejection, Residency,
    RouteMatch, RoutedRequest,
};

/// Accepted configuration up to an offset of the log.
///
/// Invariants: the same records in the same order give the same state; neither the revision nor
/// the next offset ever falls.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    next: Offset,
    revision: Revision,
    tables: Tables,
    recent: RecentChanges,
    bad: BadRecords,
}

impl Catalog {
    /// Creates an empty catalog that expects the record at offset zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the last accepted change plus one, or zero.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the first offset that is not applied yet.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Applies the record at an offset; `Err` stands for a record that could not be decoded and
    /// gives the reason.
    ///
    /// Only a snapshot may skip offsets. After [`ApplyOutcome::SnapshotRestored`] the caller goes on
    /// reading at [`Catalog::next_offset`], which may lie before the snapshot record.
    pub fn apply(
        &mut self,
        offset: Offset,
        entry: std::result::Result<&LogEntry, &str>,
    ) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::AlreadyApplied { next: self.next };
        }
        if offset > self.next {
            return self.apply_beyond(offset, entry);
        }
        self.next = offset.next();
        match entry {
            Ok(LogEntry::Change(change)) => self.apply_change(offset, change),
            Ok(LogEntry::Snapshot(snapshot)) if snapshot.covers > offset => {
                self.skip_bad(offset, "snapshot covers records that follow it")
            }
            // Everything before this record is applied, so the snapshot adds nothing.
            Ok(LogEntry::Snapshot(_)) => ApplyOutcome::SnapshotIgnored,
            Err(reason) => self.skip_bad(offset, reason),
        }
    }

    /// Handles a record after missing ones; only a snapshot that covers them helps.
    fn apply_beyond(
        &mut self,
        offset: Offset,
        entry: std::result::Result<&LogEntry, &str>,
    ) -> ApplyOutcome {
        if let Ok(LogEntry::Snapshot(snapshot)) = entry {
            if snapshot.covers > offset {
                return self.skip_bad(offset, "snapshot covers records that follow it");
            }
            match self.restore(snapshot) {
                ApplyOutcome::SnapshotIgnored => {}
                ApplyOutcome::Malformed { reason } => return self.skip_bad(offset, &reason),
                verdict => return verdict,
            }
        }
        ApplyOutcome::Gap(GapError {
            expected: self.next,
            found: offset,
        })
    }

    fn skip_bad(&mut self, offset: Offset, reason: &str) -> ApplyOutcome {
        self.bad.insert(offset, reason);
        ApplyOutcome::Malformed {
            reason: reason.to_owned(),
        }
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> ApplyOutcome {
        if self.recent.verdict(change.id).is_some() {
            return ApplyOutcome::Duplicate;
        }
        // The id of a rejected change is kept too: a late duplicate must not be accepted after
        // its operator was told that it was rejected.
        match self.check(change) {
            Ok(()) => {
                let revision = Revision(offset.next().0);
                self.tables.write(&change.operation, revision);
                self.revision = revision;
                self.recent
                    .insert(change.id, PastVerdict::Accepted(revision));
                ApplyOutcome::Accepted { revision }
            }
            Err(rejection) => {
                self.recent
                    .insert(change.id, PastVerdict::Rejected(rejection.to_string()));
                ApplyOutcome::Rejected(rejection)
            }
        }
    }

    fn check(&self, change: &Change) -> crate::Result<()> {
        if let Some(expected) = change.expects {
            let actual = self.tables.revision_of(&change.operation.target());
            if actual != expected {
                return Err(Rejection::Stale { expected, actual });
            }
        }
        self.tables.check(&change.operation)
    }

    /// Replaces the state by a snapshot, from the log or from a peer, if it covers more.
    ///
    /// Returns [`ApplyOutcome::SnapshotRestored`], [`ApplyOutcome::SnapshotIgnored`] or, for a snapshot that
    /// contradicts itself, [`ApplyOutcome::Malformed`] without effect.
    pub fn restore(&mut self, snapshot: &Snapshot) -> ApplyOutcome {
        if snapshot.covers <= self.next {
            return ApplyOutcome::SnapshotIgnored;
        }
        match self.load(snapshot) {
            Ok(tables) => {
                self.tables = tables;
                self.next = snapshot.covers;
                self.revision = snapshot.revision;
                self.recent = RecentChanges::from_snapshot(&snapshot.recent);
                ApplyOutcome::SnapshotRestored { next: self.next }
            }
            Err(reason) => ApplyOutcome::Malformed { reason },
        }
    }

    /// Builds the tables of a snapshot after checking it like a sequence of changes.
    fn load(&self, snapshot: &Snapshot) -> std::result::Result<Tables, String> {
        if snapshot.revision < self.revision || snapshot.revision.0 > snapshot.covers.0 {
            return Err("snapshot has an impossible revision".to_owned());
        }
        if snapshot.recent.len() > MAX_RECENT_CHANGES {
            return Err("snapshot lists too many recent changes".to_owned());
        }
        let mut ids: Vec<ChangeId> = snapshot.recent.iter().map(|c| c.id).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err("snapshot lists a recent change twice".to_owned());
        }
        let is_late = |change: &RecentChange| match change.verdict {
            RecentVerdict::Accepted(revision) => revision > snapshot.revision,
            RecentVerdict::Rejected(_) => false,
        };
        if snapshot.recent.iter().any(is_late) {
            return Err("snapshot gives a recent change an impossible revision".to_owned());
        }
        let mut tables = Tables::default();
        for VersionedEntry {
            revision,
            operation,
        } in &snapshot.entries
        {
            let target = operation.target();
            if *revision == Revision(0) || *revision > snapshot.revision {
                return Err(format!("snapshot gives {target} an impossible revision"));
            }
            if tables.revision_of(&target) != Revision(0) {
                return Err(format!("snapshot has {target} twice"));
            }
            tables
                .check(operation)
                .map_err(|e| format!("snapshot entry {target}: {e}"))?;
            tables.write(operation, *revision);
        }
        Ok(tables)
    }

    /// Declares that the stream never had records from [`Catalog::next_offset`] up to `to`, for
    /// example because it starts above zero.
    ///
    /// Records that retention removed must be covered by a snapshot instead; skipping them makes
    /// this catalog differ from the others.
    ///
    /// # Errors
    ///
    /// Returns [`GapError`] without effect if `to` lies before the next offset.
    pub fn skip_to(&mut self, to: Offset) -> std::result::Result<(), GapError> {
        if to < self.next {
            return Err(GapError {
                expected: self.next,
                found: to,
            });
        }
        self.next = to;
        Ok(())
    }

    /// Returns a snapshot of all that is applied.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            covers: self.next,
            revision: self.revision,
            entries: self.tables.entries().collect(),
            recent: self.recent.to_snapshot(),
        }
    }

    /// Returns what became of a recent change, or `None` if it was not applied or was evicted.
    #[must_use]
    pub fn verdict_of(&self, id: ChangeId) -> Option<&PastVerdict> {
        self.recent.verdict(id)
    }

    /// Returns the recent records that could not be used, oldest first.
    pub fn bad_records(&self) -> impl Iterator<Item = &BadRecord> {
        self.bad.iter()
    }

    /// Finds the service of a host and the route with the longest matching path prefix.
    ///
    /// The host may carry a port and upper-case letters. The path may carry a query and escapes;
    /// one whose route depends on whether the upstream decodes `%2F` resolves to nothing.
    #[must_use]
    pub fn resolve(&self, host: &str, path: &str, method: &str) -> Option<RouteMatch<'_>> {
        self.tables.resolve(host, path, method)
    }

    /// Returns the regions that all matching residency rules allow.
    #[must_use]
    pub fn residency(
        &self,
        team: Option<&TeamName>,
        service: &ServiceName,
        route: Option<&RouteName>,
    ) -> Residency {
        self.tables.residency(team, service, route)
    }

    /// Returns why a request that was routed by an older or newer configuration may not be served
    /// in a region, if so.
    #[must_use]
    pub fn refusal_reason(&self, routed: &RoutedRequest<'_>, region: &Region) -> Option<Reason> {
        self.tables.refusal_reason(routed, region, self.revision)
    }

    /// Tells whether a team is configured.
    #[must_use]
    pub fn has_team(&self, team: &TeamName) -> bool {
        self.tables.teams.contains_key(team)
    }

    /// Tells whether requests for a service must name their team: a request without team would
    /// evade a rule that names one.
    #[must_use]
    pub fn requires_team(&self, service: &ServiceName) -> bool {
        self.tables.requires_team(service)
    }

    /// Returns the state of a failure domain; one that is not configured is in service.
    #[must_use]
    pub fn domain_state(&self, domain: &FailureDomain) -> DomainState {
        let entry = self.tables.domains.get(domain);
        entry.map(|e| e.value.state).unwrap_or_default()
    }

    /// Returns the regions in order of name.
    pub fn regions(&self) -> impl Iterator<Item = &Entry<Region>> {
        self.tables.regions.values()
    }

    /// Returns the failure domains in order of name.
    pub fn domains(&self) -> impl Iterator<Item = &Entry<Domain>> {
        self.tables.domains.values()
    }

    /// Returns the teams in order of name.
    pub fn teams(&self) -> impl Iterator<Item = &Entry<TeamName>> {
        self.tables.teams.values()
    }

    /// Returns the services in order of name.
    pub fn services(&self) -> impl Iterator<Item = &Entry<Service>> {
        self.tables.services.values()
    }

    /// Returns the residency rules in order of name.
    pub fn rules(&self) -> impl Iterator<Item = &Entry<Rule>> {
        self.tables.rules.values()
    }

    /// Returns all entries as the operations that would create them, in the order of a snapshot.
    pub fn entries(&self) -> impl Iterator<Item = VersionedEntry> {
        self.tables.entries()
    }

    /// Returns the revision of the entry that an operation edits, or zero if there is none.
    #[must_use]
    pub fn revision_of(&self, operation: &Operation) -> Revision {
        self.tables.revision_of(&operation.target())
    }
}
