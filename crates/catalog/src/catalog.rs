//! State machine that applies log records to the configuration.

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

/// Configuration that results from the log records up to an offset.
///
/// Invariants: the same records in the same order give the same state, and neither the revision nor
/// the next offset ever decreases.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    next_offset: Offset,
    revision: Revision,
    tables: Tables,
    recent: RecentChanges,
    bad_records: BadRecords,
}

impl Catalog {
    /// Creates an empty catalog that expects the record at offset zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the configuration: the offset of the last accepted change plus one,
    /// or zero if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the first offset that has not been applied.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Applies the record at an offset and returns the outcome.
    ///
    /// `record` is the decoded record, or the reason why it could not be decoded.
    ///
    /// Records must be applied without gaps, except that a snapshot replaces the records that it
    /// covers. After [`ApplyOutcome::SnapshotRestored`] the caller continues to read at
    /// [`Catalog::next_offset`]. This may be lower than the offset of the snapshot record, because
    /// the daemon that wrote the snapshot may not have applied all records before it.
    pub fn apply(&mut self, offset: Offset, record: Result<&LogEntry, &str>) -> ApplyOutcome {
        if offset < self.next_offset {
            return ApplyOutcome::AlreadyApplied {
                next: self.next_offset,
            };
        }
        if offset > self.next_offset {
            return self.apply_after_gap(offset, record);
        }
        self.next_offset = offset.next();
        match record {
            Ok(LogEntry::Change(change)) => self.apply_change(offset, change),
            Ok(LogEntry::Snapshot(snapshot)) if snapshot.covers > offset => {
                self.skip_bad_record(offset, "snapshot covers records that follow it")
            }
            // All records before this one are applied, so the snapshot contains nothing new.
            Ok(LogEntry::Snapshot(_)) => ApplyOutcome::SnapshotIgnored,
            Err(reason) => self.skip_bad_record(offset, reason),
        }
    }

    /// Handles a record that does not directly follow the applied ones. Only a snapshot that covers
    /// the missing records can be applied.
    fn apply_after_gap(&mut self, offset: Offset, record: Result<&LogEntry, &str>) -> ApplyOutcome {
        if let Ok(LogEntry::Snapshot(snapshot)) = record {
            if snapshot.covers > offset {
                return self.skip_bad_record(offset, "snapshot covers records that follow it");
            }
            match self.restore(snapshot) {
                ApplyOutcome::SnapshotIgnored => {}
                ApplyOutcome::BadRecord { reason } => return self.skip_bad_record(offset, &reason),
                outcome => return outcome,
            }
        }
        ApplyOutcome::Gap(GapError {
            expected: self.next_offset,
            found: offset,
        })
    }

    /// Lists a record that could not be applied among the bad records.
    fn skip_bad_record(&mut self, offset: Offset, reason: &str) -> ApplyOutcome {
        self.bad_records.insert(offset, reason);
        ApplyOutcome::BadRecord {
            reason: reason.to_owned(),
        }
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> ApplyOutcome {
        if self.recent.verdict(change.id).is_some() {
            return ApplyOutcome::Duplicate;
        }
        // Ids of rejected changes are kept too: a duplicate that arrives later must not be accepted
        // after the operator was told that the change was rejected.
        match self.check_change(change) {
            Ok(()) => {
                let revision = Revision(offset.next().0);
                self.tables.apply(&change.operation, revision);
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

    /// Checks whether a change can be accepted in the current state.
    fn check_change(&self, change: &Change) -> crate::CheckResult<()> {
        if let Some(expected) = change.expects {
            let actual = self.tables.revision_of(&change.operation.target());
            if actual != expected {
                return Err(Rejection::Stale { expected, actual });
            }
        }
        self.tables.check(&change.operation)
    }

    /// Replaces the state with a snapshot that covers more records than have been applied.
    ///
    /// The snapshot may come from the log or from a peer. Returns
    /// [`ApplyOutcome::SnapshotRestored`] if the state was replaced,
    /// [`ApplyOutcome::SnapshotIgnored`] if the snapshot covers no more records than the state, and
    /// [`ApplyOutcome::BadRecord`] without changing the state if the snapshot is inconsistent.
    pub fn restore(&mut self, snapshot: &Snapshot) -> ApplyOutcome {
        if snapshot.covers <= self.next_offset {
            return ApplyOutcome::SnapshotIgnored;
        }
        match self.build_tables(snapshot) {
            Ok(tables) => {
                self.tables = tables;
                self.next_offset = snapshot.covers;
                self.revision = snapshot.revision;
                self.recent = RecentChanges::from_snapshot(&snapshot.recent);
                ApplyOutcome::SnapshotRestored {
                    next: self.next_offset,
                }
            }
            Err(reason) => ApplyOutcome::BadRecord { reason },
        }
    }

    /// Builds the tables of a snapshot. The entries are checked in order, each like a change that
    /// adds it to the entries before it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the snapshot is inconsistent.
    fn build_tables(&self, snapshot: &Snapshot) -> Result<Tables, String> {
        if snapshot.revision < self.revision || snapshot.revision.0 > snapshot.covers.0 {
            return Err(
                "snapshot revision is lower than the current one or higher than the covered offset"
                    .to_owned(),
            );
        }
        if snapshot.recent.len() > MAX_RECENT_CHANGES {
            return Err("snapshot lists too many recent changes".to_owned());
        }
        let mut ids: Vec<ChangeId> = snapshot.recent.iter().map(|c| c.id).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err("snapshot lists a recent change twice".to_owned());
        }
        let is_too_new = |change: &RecentChange| match change.verdict {
            RecentVerdict::Accepted(revision) => revision > snapshot.revision,
            RecentVerdict::Rejected(_) => false,
        };
        if snapshot.recent.iter().any(is_too_new) {
            return Err(
                "snapshot lists a recent change with a higher revision than its own".to_owned(),
            );
        }
        let mut tables = Tables::default();
        for VersionedEntry {
            revision,
            operation,
        } in &snapshot.entries
        {
            let target = operation.target();
            if *revision == Revision(0) || *revision > snapshot.revision {
                return Err(format!(
                    "snapshot has {target} at revision zero or at a higher revision than its own"
                ));
            }
            if tables.revision_of(&target) != Revision(0) {
                return Err(format!("snapshot has {target} twice"));
            }
            tables
                .check(operation)
                .map_err(|e| format!("snapshot entry {target}: {e}"))?;
            tables.apply(operation, *revision);
        }
        Ok(tables)
    }

    /// Sets the next offset to `to`, for a stream that never had records between
    /// [`Catalog::next_offset`] and `to`, such as one that starts above zero.
    ///
    /// Records that retention has removed must not be skipped, because the state would then differ
    /// from that of other daemons; only a snapshot that covers them can replace them. The caller
    /// has to know which is the case, for example because it created the stream.
    ///
    /// # Errors
    ///
    /// Returns [`GapError`] without changing the state if `to` is lower than the next offset.
    pub fn skip_to(&mut self, to: Offset) -> Result<(), GapError> {
        if to < self.next_offset {
            return Err(GapError {
                expected: self.next_offset,
                found: to,
            });
        }
        self.next_offset = to;
        Ok(())
    }

    /// Returns a snapshot that covers all applied records.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            covers: self.next_offset,
            revision: self.revision,
            entries: self.tables.entries().collect(),
            recent: self.recent.to_recent_changes(),
        }
    }

    /// Returns the verdict on a recent change, or `None` if the change was not applied or was
    /// applied so long ago that its verdict has been evicted.
    #[must_use]
    pub fn verdict_of(&self, id: ChangeId) -> Option<&PastVerdict> {
        self.recent.verdict(id)
    }

    /// Returns the latest records that could not be decoded or applied, oldest first.
    pub fn bad_records(&self) -> impl Iterator<Item = &BadRecord> {
        self.bad_records.iter()
    }

    /// Returns the service of a host and its route with the longest matching path prefix.
    ///
    /// Returns `None` if no service has the host, or if the route depends on whether the upstream
    /// decodes `%2F`: the upstream might serve another route, with other rules, than the one chosen
    /// here. The host may include a port and upper-case letters, and the path a query and
    /// percent-encoded bytes.
    #[must_use]
    pub fn resolve(&self, host: &str, path: &str, method: &str) -> Option<RouteMatch<'_>> {
        self.tables.resolve(host, path, method)
    }

    /// Returns the regions that are allowed by all residency rules that match a request.
    #[must_use]
    pub fn residency(
        &self,
        team: Option<&TeamName>,
        service: &ServiceName,
        route: Option<&RouteName>,
    ) -> Residency {
        self.tables.residency(team, service, route)
    }

    /// Returns the reason why a request must not be served in a region, or `None` if it may.
    ///
    /// The request may have been routed by an older or newer configuration than this one.
    #[must_use]
    pub fn refusal_reason(&self, routed: &RoutedRequest<'_>, region: &Region) -> Option<Reason> {
        self.tables.refusal_reason(routed, region, self.revision)
    }

    /// Returns whether a team is configured.
    #[must_use]
    pub fn has_team(&self, team: &TeamName) -> bool {
        self.tables.teams.contains_key(team)
    }

    /// Returns whether requests for a service must name their team.
    ///
    /// This is the case if a residency rule for the service, or for all services, is limited to one
    /// team: a request that omits its team would not match the rule.
    #[must_use]
    pub fn requires_team(&self, service: &ServiceName) -> bool {
        self.tables.requires_team(service)
    }

    /// Returns the state of a failure domain. A domain that is not configured is in service.
    #[must_use]
    pub fn domain_state(&self, domain: &FailureDomain) -> DomainState {
        let entry = self.tables.domains.get(domain);
        entry.map(|e| e.value.state).unwrap_or_default()
    }

    /// Returns the regions, sorted by name.
    pub fn regions(&self) -> impl Iterator<Item = &Entry<Region>> {
        self.tables.regions.values()
    }

    /// Returns the failure domains, sorted by name.
    pub fn domains(&self) -> impl Iterator<Item = &Entry<Domain>> {
        self.tables.domains.values()
    }

    /// Returns the teams, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = &Entry<TeamName>> {
        self.tables.teams.values()
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Entry<Service>> {
        self.tables.services.values()
    }

    /// Returns the residency rules, sorted by name.
    pub fn rules(&self) -> impl Iterator<Item = &Entry<Rule>> {
        self.tables.rules.values()
    }

    /// Returns all entries as the operations that create them, each after the entries that it
    /// refers to.
    pub fn entries(&self) -> impl Iterator<Item = VersionedEntry> {
        self.tables.entries()
    }

    /// Returns the revision of the entry that an operation edits, or zero if it does not exist.
    #[must_use]
    pub fn target_revision(&self, operation: &Operation) -> Revision {
        self.tables.revision_of(&operation.target())
    }
}
