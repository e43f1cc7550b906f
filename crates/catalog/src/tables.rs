//! Tables of the configuration entries, and the checks that keep them consistent.

use std::collections::BTreeMap;

use cornelvalve_model::{
    DomainState, FailureDomain, Operation, Region, Revision, Rule, RuleName, Service, ServiceName,
    Target, TeamName, VersionedEntry,
};

use crate::host::{check_hosts, check_routes};
use crate::{CheckResult, Rejection};

/// Configuration entry with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Revision of the change that last wrote the entry.
    pub revision: Revision,
    /// Content of the entry.
    pub value: T,
}

/// Configured failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: FailureDomain,
    /// Region that it belongs to.
    pub region: Region,
    /// Whether its upstreams accept new requests.
    pub state: DomainState,
}

/// All entries of the configuration, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tables {
    pub(crate) regions: BTreeMap<Region, Entry<Region>>,
    pub(crate) domains: BTreeMap<FailureDomain, Entry<Domain>>,
    pub(crate) teams: BTreeMap<TeamName, Entry<TeamName>>,
    pub(crate) services: BTreeMap<ServiceName, Entry<Service>>,
    pub(crate) rules: BTreeMap<RuleName, Entry<Rule>>,
    /// Name of the service to which each host belongs; derived from `services`.
    pub(crate) hosts: BTreeMap<String, ServiceName>,
}

impl Tables {
    /// Returns the revision of an entry, or zero if it does not exist.
    pub(crate) fn revision_of(&self, target: &Target) -> Revision {
        let revision = match target {
            Target::Region(name) => self.regions.get(name).map(|e| e.revision),
            Target::Domain(name) => self.domains.get(name).map(|e| e.revision),
            Target::Service(name) => self.services.get(name).map(|e| e.revision),
            Target::Team(name) => self.teams.get(name).map(|e| e.revision),
            Target::Rule(name) => self.rules.get(name).map(|e| e.revision),
        };
        revision.unwrap_or_default()
    }

    /// Checks whether the configuration stays consistent if an operation is applied.
    ///
    /// # Errors
    ///
    /// Returns the reason for which a change with this operation is rejected.
    pub(crate) fn check(&self, operation: &Operation) -> CheckResult<()> {
        match operation {
            Operation::PutRegion { .. } | Operation::PutTeam { .. } => Ok(()),
            Operation::PutDomain { region, .. } => {
                self.require_exists(Target::Region(region.clone()))
            }
            Operation::PutService(service) => self.check_service(service),
            Operation::PutRule(rule) => self.check_rule(rule),
            Operation::RemoveRegion { .. }
            | Operation::RemoveDomain { .. }
            | Operation::RemoveService { .. }
            | Operation::RemoveTeam { .. }
            | Operation::RemoveRule { .. } => self.check_removal(&operation.target()),
        }
    }

    fn require_exists(&self, target: Target) -> CheckResult<()> {
        if self.revision_of(&target) == Revision(0) {
            return Err(Rejection::Unknown(target));
        }
        Ok(())
    }

    fn check_service(&self, service: &Service) -> CheckResult<()> {
        if service.timeout_ms == 0 {
            return Err(Rejection::invalid("timeout_ms", "give at least 1 ms"));
        }
        check_hosts(&service.hosts)?;
        check_routes(&service.routes)?;
        for host in &service.hosts {
            if let Some(owner) = self.hosts.get(host)
                && *owner != service.name
            {
                return Err(Rejection::HostTaken {
                    host: host.clone(),
                    service: owner.clone(),
                });
            }
        }
        // A route must not be removed while there is a residency rule for it, because the rule
        // would then match no request.
        for rule in self
            .rules()
            .filter(|r| r.service.as_ref() == Some(&service.name))
        {
            if let Some(route) = &rule.route
                && !service.routes.iter().any(|r| r.name == *route)
            {
                let by = Target::Rule(rule.name.clone());
                return Err(Rejection::Referenced { by });
            }
        }
        Ok(())
    }

    fn check_rule(&self, rule: &Rule) -> CheckResult<()> {
        if rule.regions.is_empty() {
            return Err(Rejection::invalid("regions", "name at least one region"));
        }
        for (i, region) in rule.regions.iter().enumerate() {
            if rule.regions[..i].contains(region) {
                return Err(Rejection::invalid("regions", "name each region once"));
            }
            self.require_exists(Target::Region(region.clone()))?;
        }
        if let Some(team) = &rule.team {
            self.require_exists(Target::Team(team.clone()))?;
        }
        if let Some(name) = &rule.service {
            self.require_exists(Target::Service(name.clone()))?;
        }
        match (&rule.service, &rule.route) {
            (None, Some(_)) => Err(Rejection::invalid("route", "name its service too")),
            (Some(name), Some(route)) => {
                let service = self.services.get(name);
                if service.is_some_and(|s| s.value.routes.iter().any(|r| r.name == *route)) {
                    return Ok(());
                }
                Err(Rejection::UnknownRoute {
                    service: name.clone(),
                    route: route.to_string(),
                })
            }
            _ => Ok(()),
        }
    }

    fn check_removal(&self, target: &Target) -> CheckResult<()> {
        self.require_exists(target.clone())?;
        match self.find_referrer(target) {
            Some(by) => Err(Rejection::Referenced { by }),
            None => Ok(()),
        }
    }

    /// Returns the first entry that refers to the one identified by `target`, if any.
    fn find_referrer(&self, target: &Target) -> Option<Target> {
        if let Target::Region(region) = target
            && let Some(domain) = self.domains.values().find(|d| d.value.region == *region)
        {
            return Some(Target::Domain(domain.value.name.clone()));
        }
        let refers = |rule: &&Rule| match target {
            Target::Region(region) => rule.regions.contains(region),
            Target::Team(team) => rule.team.as_ref() == Some(team),
            Target::Service(service) => rule.service.as_ref() == Some(service),
            Target::Domain(_) | Target::Rule(_) => false,
        };
        let rule = self.rules().find(refers)?;
        Some(Target::Rule(rule.name.clone()))
    }

    /// Applies an operation that passed [`Tables::check`].
    pub(crate) fn apply(&mut self, operation: &Operation, revision: Revision) {
        match operation {
            Operation::PutRegion { region } => {
                let value = region.clone();
                self.regions
                    .insert(value.clone(), Entry { revision, value });
            }
            Operation::PutDomain {
                domain,
                region,
                state,
            } => {
                let value = Domain {
                    name: domain.clone(),
                    region: region.clone(),
                    state: *state,
                };
                self.domains
                    .insert(domain.clone(), Entry { revision, value });
            }
            Operation::PutService(service) => {
                self.remove_hosts(&service.name);
                for host in &service.hosts {
                    self.hosts.insert(host.clone(), service.name.clone());
                }
                let value = service.clone();
                self.services
                    .insert(service.name.clone(), Entry { revision, value });
            }
            Operation::PutTeam { team } => {
                let value = team.clone();
                self.teams.insert(value.clone(), Entry { revision, value });
            }
            Operation::PutRule(rule) => {
                let value = rule.clone();
                self.rules
                    .insert(rule.name.clone(), Entry { revision, value });
            }
            Operation::RemoveRegion { region } => drop(self.regions.remove(region)),
            Operation::RemoveDomain { domain } => drop(self.domains.remove(domain)),
            Operation::RemoveService { service } => {
                self.remove_hosts(service);
                self.services.remove(service);
            }
            Operation::RemoveTeam { team } => drop(self.teams.remove(team)),
            Operation::RemoveRule { rule } => drop(self.rules.remove(rule)),
        }
    }

    fn remove_hosts(&mut self, service: &ServiceName) {
        if let Some(old) = self.services.get(service) {
            for host in &old.value.hosts {
                self.hosts.remove(host);
            }
        }
    }

    fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.rules.values().map(|e| &e.value)
    }

    /// Returns all entries as operations, each after the entries that it refers to.
    pub(crate) fn entries(&self) -> impl Iterator<Item = VersionedEntry> {
        let regions = self.regions.values().map(|e| VersionedEntry {
            revision: e.revision,
            operation: Operation::PutRegion {
                region: e.value.clone(),
            },
        });
        let domains = self.domains.values().map(|e| VersionedEntry {
            revision: e.revision,
            operation: Operation::PutDomain {
                domain: e.value.name.clone(),
                region: e.value.region.clone(),
                state: e.value.state,
            },
        });
        let teams = self.teams.values().map(|e| VersionedEntry {
            revision: e.revision,
            operation: Operation::PutTeam {
                team: e.value.clone(),
            },
        });
        let services = self.services.values().map(|e| VersionedEntry {
            revision: e.revision,
            operation: Operation::PutService(e.value.clone()),
        });
        let rules = self.rules.values().map(|e| VersionedEntry {
            revision: e.revision,
            operation: Operation::PutRule(e.value.clone()),
        });
        regions
            .chain(domains)
            .chain(teams)
            .chain(services)
            .chain(rules)
    }
}
