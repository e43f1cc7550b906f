//! Index of the endpoints of each service.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cornelvalve_model::{Member, ServiceName, UpstreamState, VmName};
use cornelvalve_policy::{Endpoint, EndpointIncarnation};
use smallvec::SmallVec;

/// Services whose endpoints changed.
pub(super) type ChangedServices = BTreeSet<ServiceName>;

/// Endpoints by service, derived from the member records.
///
/// An endpoint is an upstream that is ready, on the VM of a member that accepts requests.
#[derive(Debug, Default)]
pub(super) struct EndpointIndex {
    by_service: HashMap<ServiceName, BTreeMap<VmName, Endpoint>>,
    by_vm: HashMap<VmName, SmallVec<[ServiceName; 1]>>,
}

impl EndpointIndex {
    /// Updates the endpoints of a member and adds the affected services to `changed`.
    pub(super) fn update(&mut self, member: &Member, changed: &mut ChangedServices) {
        self.remove(&member.vm, changed);
        if !member.state.accepts_requests() {
            return;
        }
        for endpoint in endpoints_of(member) {
            let (service, endpoint) = endpoint;
            let services = self.by_vm.entry(member.vm.clone()).or_default();
            services.push(service.clone());
            changed.insert(service.clone());
            let list = self.by_service.entry(service).or_default();
            list.insert(member.vm.clone(), endpoint);
        }
    }

    /// Removes the endpoints of a VM and adds the affected services to `changed`.
    pub(super) fn remove(&mut self, vm: &VmName, changed: &mut ChangedServices) {
        for service in self.by_vm.remove(vm).unwrap_or_default() {
            if let Some(list) = self.by_service.get_mut(&service) {
                list.remove(vm);
                if list.is_empty() {
                    self.by_service.remove(&service);
                }
            }
            changed.insert(service);
        }
    }

    /// Returns the endpoints of a service.
    pub(super) fn of_service(&self, service: &ServiceName) -> Vec<Endpoint> {
        let list = self.by_service.get(service);
        list.map_or_else(Vec::new, |list| list.values().cloned().collect())
    }

    /// Returns the endpoint of a service on a VM.
    pub(super) fn find(&self, service: &ServiceName, vm: &VmName) -> Option<&Endpoint> {
        self.by_service.get(service)?.get(vm)
    }
}

/// Returns the endpoints of a member with their services.
fn endpoints_of(member: &Member) -> impl Iterator<Item = (ServiceName, Endpoint)> {
    let ready = member
        .upstreams
        .iter()
        .filter(|u| u.state == UpstreamState::Ready);
    ready.map(|upstream| {
        let endpoint = Endpoint {
            vm: member.vm.clone(),
            incarnation: EndpointIncarnation {
                daemon: member.key.incarnation,
                upstream: upstream.incarnation,
            },
            peer_addr: member.peer_addr,
            region: member.region.clone(),
            domain: member.domain.clone(),
            slots: upstream.slots.into(),
        };
        (upstream.service.clone(), endpoint)
    })
}
