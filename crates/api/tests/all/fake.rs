//! Test daemon that answers every call of the operator API with fixed values.
//!
//! The tests of `crates/ctl` also include this file.

use cornelvalve_api::{
    ApiError, BadRecord, Candidate, EntryKind, ErrorKind, Event, Explanation, InForceReport,
    LeaveReport, LogStoreState, MemberCounts, MemberReport, OperatorsServer, PeerRecord,
    PeerRecords, PublishReport, Status, TimelineEvent, TimelinePage, Timestamp, UpstreamStatus,
    Verdict, WaitFor,
};
use cornelvalve_model::{
    Change, ChangeId, DomainState, FailureDomain, Incarnation, LogEntry, Member, MemberKey,
    MemberState, Offset, Operation, Reason, RecentChange, RecentVerdict, Refusal, Region,
    RequestClass, Revision, Route, Rule, Service, Snapshot, TeamName, Upstream, UpstreamState,
    VersionedEntry, VmName,
};
use jsonrpsee::core::async_trait;
use smallvec::smallvec;
use tokio::sync::mpsc::UnboundedSender;
use uuid::Uuid;

/// Parses an identifier; panics if it is invalid.
pub(crate) fn id<T: std::str::FromStr<Err = cornelvalve_model::IdError>>(text: &str) -> T {
    text.parse().expect("identifier is valid")
}

pub(crate) struct FakeDaemon {
    pub(crate) vm: VmName,
    pub(crate) domain: FailureDomain,
    pub(crate) verdict: Verdict,
    pub(crate) members: Vec<MemberReport>,
    pub(crate) events: Vec<TimelineEvent>,
    /// Receives every published change, if it is set.
    pub(crate) change_sender: Option<UnboundedSender<Change>>,
    /// Error that `publish` returns instead of `verdict`, if it is set.
    pub(crate) publish_error: Option<ErrorKind>,
}

impl FakeDaemon {
    pub(crate) fn new(vm: &str, domain: &str) -> Self {
        Self {
            vm: id(vm),
            domain: id(domain),
            verdict: Verdict::Accepted,
            members: vec![member(vm, domain, 7104)],
            events: events(vm),
            change_sender: None,
            publish_error: None,
        }
    }
}

pub(crate) fn change() -> Change {
    Change {
        id: ChangeId(Uuid::from_u128(7)),
        author: "test".to_owned(),
        expects: Some(Revision(0)),
        operation: Operation::PutService(service()),
    }
}

fn service() -> Service {
    Service {
        name: id("remise"),
        hosts: vec!["remise.test".to_owned()],
        routes: vec![Route {
            name: id("file"),
            prefix: "/file".to_owned(),
            class: RequestClass::AtMostOnce,
        }],
        timeout_ms: 10_000,
    }
}

fn entries() -> Vec<VersionedEntry> {
    let operations = [
        Operation::PutRegion {
            region: id("qc-est"),
        },
        Operation::PutDomain {
            domain: id("est-a"),
            region: id("qc-est"),
            state: DomainState::InService,
        },
        Operation::PutService(service()),
        Operation::PutTeam { team: id("paie") },
        Operation::PutRule(Rule {
            name: id("home"),
            team: Some(id("paie")),
            service: None,
            route: None,
            regions: smallvec![id("qc-est")],
        }),
    ];
    let revisions = (1..).map(Revision);
    revisions
        .zip(operations)
        .map(|(revision, operation)| VersionedEntry {
            revision,
            operation,
        })
        .collect()
}

pub(crate) fn member(vm: &str, domain: &str, operator_port: u16) -> MemberReport {
    let addr = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    MemberReport {
        member: Member {
            vm: id(vm),
            key: MemberKey::default(),
            region: id("qc-est"),
            domain: id(domain),
            peer_addr: addr(7102),
            caller_addr: addr(7101),
            operator_addr: addr(operator_port),
            state: MemberState::Alive,
            upstreams: smallvec![Upstream {
                service: id("remise"),
                port: 8080,
                slots: 10,
                incarnation: Incarnation(3),
                state: UpstreamState::Ready,
            }],
        },
        reachable: true,
    }
}

/// Returns one event of each kind.
fn events(vm: &str) -> Vec<TimelineEvent> {
    let events = [
        Event::Started,
        Event::RequestRefused {
            service: None,
            outcome: cornelvalve_model::Outcome::NotRun,
            reason: Reason::Overloaded,
        },
        Event::ConfigurationApplied {
            revision: Revision(5),
        },
        Event::MemberChanged {
            member: id("vm-9"),
            state: MemberState::Dead,
        },
        Event::UpstreamAnnounced {
            service: id("remise"),
            port: 8080,
        },
        Event::UpstreamLost {
            service: id("remise"),
            port: 8080,
        },
        Event::UpstreamDraining {
            service: id("remise"),
            port: 8080,
        },
        Event::AdmissionChanged {
            service: id("remise"),
            limit: 4,
        },
        Event::DomainTakenOut {
            domain: id("est-a"),
        },
        Event::DomainReturned {
            domain: id("est-a"),
        },
        Event::DrainStarted { running: 2 },
        Event::DrainFinished { running: 0 },
        Event::Paused { millis: 900 },
        Event::LogStoreLost,
        Event::LogStoreReturned,
    ];
    let timestamps = (1..).map(|logical| Timestamp {
        wall_ms: 1_000,
        logical,
    });
    timestamps
        .zip(events)
        .map(|(at, event)| TimelineEvent {
            at,
            vm: id(vm),
            event,
        })
        .collect()
}

#[async_trait]
impl OperatorsServer for FakeDaemon {
    async fn publish(
        &self,
        change: Change,
        wait: WaitFor,
        _timeout_ms: u64,
    ) -> Result<PublishReport, ApiError> {
        if let Some(change_sender) = &self.change_sender {
            change_sender.send(change).expect("test receives changes");
        }
        if let Some(kind) = self.publish_error {
            return Err(ApiError::new(kind, "refused by the test"));
        }
        let unconfirmed = match wait {
            WaitFor::InForce => vec![id("vm-9")],
            WaitFor::Published | WaitFor::Accepted => vec![],
        };
        Ok(PublishReport {
            verdict: self.verdict.clone(),
            revision: Some(Revision(8)),
            unconfirmed,
        })
    }

    async fn entries(&self, kind: Option<EntryKind>) -> Result<Vec<VersionedEntry>, ApiError> {
        let matches_kind =
            |entry: &VersionedEntry| kind.is_none_or(|k| EntryKind::of(&entry.operation) == k);
        Ok(entries().into_iter().filter(matches_kind).collect())
    }

    async fn status(&self) -> Result<Status, ApiError> {
        Ok(Status {
            vm: self.vm.clone(),
            region: id::<Region>("qc-est"),
            domain: self.domain.clone(),
            incarnation: Incarnation(2),
            revision: Some(Revision(8)),
            next_offset: Offset(9),
            log_store: LogStoreState::Reachable,
            members: MemberCounts {
                alive: 1,
                ..MemberCounts::default()
            },
            upstreams: vec![UpstreamStatus {
                service: id("remise"),
                port: 8080,
                slots: 10,
                incarnation: Incarnation(3),
                state: UpstreamState::Ready,
                limit: 4,
                running: 3,
                queued: 1,
            }],
            bad_records: vec![BadRecord {
                offset: Offset(6),
                reason: "not JSON".to_owned(),
            }],
        })
    }

    async fn members(&self) -> Result<Vec<MemberReport>, ApiError> {
        Ok(self.members.clone())
    }

    async fn in_force(&self, revision: Revision) -> Result<InForceReport, ApiError> {
        Ok(InForceReport {
            revision,
            confirmed: 4,
            unconfirmed: vec![id("vm-9")],
        })
    }

    async fn timeline(
        &self,
        _after: Option<Timestamp>,
        _limit: u32,
    ) -> Result<TimelinePage, ApiError> {
        Ok(TimelinePage {
            next: self.events.last().map(|e| e.at),
            events: self.events.clone(),
            gap: false,
        })
    }

    async fn leave(&self, domain: FailureDomain) -> Result<LeaveReport, ApiError> {
        if domain != self.domain {
            return Err(ApiError::new(
                ErrorKind::WrongDomain,
                "the daemon is in another failure domain",
            ));
        }
        Ok(LeaveReport {
            vm: self.vm.clone(),
            domain,
            state: MemberState::Leaving,
            running: 2,
        })
    }

    async fn explain(
        &self,
        _host: String,
        _path: String,
        _method: String,
        _team: Option<TeamName>,
    ) -> Result<Explanation, ApiError> {
        Ok(Explanation {
            service: Some(id("remise")),
            route: Some(id("file")),
            class: RequestClass::AtMostOnce,
            home_regions: Some(vec![id("qc-est")]),
            candidates: vec![Candidate {
                vm: id("vm-1"),
                domain: id("est-a"),
                region: id("qc-est"),
                score: 1.5,
            }],
            refusal: Some(Refusal::not_run(Reason::HomeRegion)),
        })
    }

    async fn peer_records(&self, after: Offset, _max: u32) -> Result<PeerRecords, ApiError> {
        Ok(PeerRecords {
            revision: Revision(8),
            next: Offset(after.0 + 2),
            snapshot: Some(Snapshot {
                covers: after,
                revision: Revision(5),
                entries: entries(),
                recent: vec![
                    RecentChange {
                        id: ChangeId(Uuid::from_u128(7)),
                        verdict: RecentVerdict::Accepted(Revision(5)),
                    },
                    RecentChange {
                        id: ChangeId(Uuid::from_u128(8)),
                        verdict: RecentVerdict::Rejected("stale".to_owned()),
                    },
                ],
            }),
            records: vec![
                PeerRecord {
                    offset: after,
                    entry: Some(LogEntry::Change(change())),
                },
                PeerRecord {
                    offset: after.next(),
                    entry: None,
                },
            ],
        })
    }
}
