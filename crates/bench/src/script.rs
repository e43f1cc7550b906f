//! Runs the scripted events and the noise of a variant, in a task that owns the upstreams of the
//! mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelvalve_logstore::HttpLogStore;
use cornelvalve_model::{DomainState, FailureDomain, Operation};
use cornelvalve_standins::{
    ConcurrencyStats, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamStandIn,
};
use tokio::sync::oneshot;

use crate::mesh::append_operations;
use crate::{Action, Experiment, Noise, ScriptEvent, UpstreamReport};

/// Upstream of one VM, with the counts of its earlier incarnations.
pub(crate) struct MeshUpstream {
    addr: SocketAddr,
    /// Running stand-in. `None` for an upstream that makes nested calls, which does not support
    /// faults, and for one that could not be restarted after a crash.
    running: Option<(UpstreamOptions, UpstreamHandle)>,
    /// How often each request ran in earlier incarnations, by request id.
    past_counts: BTreeMap<String, u64>,
    /// Highest concurrency of earlier incarnations.
    past_stats: ConcurrencyStats,
}

impl MeshUpstream {
    pub(crate) fn new(options: UpstreamOptions, handle: UpstreamHandle) -> Self {
        Self {
            addr: handle.addr(),
            running: Some((options, handle)),
            past_counts: BTreeMap::new(),
            past_stats: ConcurrencyStats::default(),
        }
    }

    /// Creates an upstream that makes nested calls. It supports neither faults nor counts.
    pub(crate) fn nested(addr: SocketAddr) -> Self {
        Self {
            addr,
            running: None,
            past_counts: BTreeMap::new(),
            past_stats: ConcurrencyStats::default(),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults. Has no effect on an upstream that makes nested calls.
    async fn set_faults(&self, faults: UpstreamFaults) {
        if let Some((_, handle)) = &self.running {
            handle.set_faults(faults).await;
        }
    }

    async fn drain(&self) -> Result<(), String> {
        let Some((_, handle)) = &self.running else {
            return Err("the upstream takes no drain".to_owned());
        };
        handle.drain().await.map_err(|e| e.to_string())
    }

    /// Crashes the upstream and starts the next incarnation with the given faults.
    async fn replace(&mut self, faults: UpstreamFaults) {
        self.past_counts = self.run_counts().await;
        self.past_stats = self.concurrency_stats().await;
        let Some((mut options, handle)) = self.running.take() else {
            return;
        };
        handle.crash().await;
        options.incarnation = options.incarnation.next();
        options.faults = faults;
        // If the start fails, the upstream stays down for the rest of the run.
        if let Ok(handle) = UpstreamStandIn::start(options.clone()).await {
            self.running = Some((options, handle));
        }
    }

    /// Returns how often each request ran, by request id.
    pub(crate) async fn run_counts(&self) -> BTreeMap<String, u64> {
        let mut runs = self.past_counts.clone();
        if let Some((_, handle)) = &self.running {
            for (id, count) in handle.run_counts().await {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }

    /// Returns the highest concurrency of all incarnations, and the slots of the running one.
    async fn concurrency_stats(&self) -> ConcurrencyStats {
        let Some((_, handle)) = &self.running else {
            return self.past_stats;
        };
        let now = handle.concurrency_stats().await;
        ConcurrencyStats {
            peak: now.peak.max(self.past_stats.peak),
            peak_cold: now.peak_cold.max(self.past_stats.peak_cold),
            overruns: now.overruns + self.past_stats.overruns,
            ..now
        }
    }

    /// Returns the concurrency of the upstream for the report.
    pub(crate) async fn report(&self, vm: usize) -> UpstreamReport {
        let stats = self.concurrency_stats().await;
        UpstreamReport {
            vm,
            slots: stats.slots,
            peak: stats.peak,
            peak_cold: stats.peak_cold,
            overruns: stats.overruns,
        }
    }
}

/// Parts of a mesh that a script acts on, and the state of the mesh at each event.
pub(crate) struct ScriptContext {
    /// Upstream of each VM, or `None` for a VM without one.
    pub(crate) upstreams: Vec<Option<MeshUpstream>>,
    /// Client of the log that holds the configuration.
    pub(crate) store: HttpLogStore,
    /// Snapshots at the events so far, in order.
    pub(crate) event_snapshots: Vec<EventSnapshot>,
}

/// State of the mesh just before an event, and whether the event had an effect.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventSnapshot {
    /// Number of requests that the upstream of each VM had begun.
    pub(crate) runs: Vec<u64>,
    /// Error of an event that had no effect.
    pub(crate) problem: Option<String>,
}

/// Runs the script and the noise until `stop` is resolved, and returns the context. If `spared` is
/// set, it runs neither and only waits.
pub(crate) async fn run_script(
    mut context: ScriptContext,
    experiment: &Experiment,
    spared: bool,
    measured_from: Instant,
    mut stop: oneshot::Receiver<()>,
) -> ScriptContext {
    let mut events = experiment.script.iter();
    let mut next = events.next().filter(|_| !spared);
    let noise = experiment.noise.filter(|_| !spared);
    let mut slowed = None;
    loop {
        let event_at = next.map(|e| measured_from + Duration::from_millis(e.at_ms));
        tokio::select! {
            _ = &mut stop => return context,
            () = sleep_until(event_at) => {
                if let Some(event) = next {
                    // The runs are read before the event is applied. Otherwise requests that a
                    // returning domain gets during the reading would be missing from its count.
                    let runs = context.run_totals().await;
                    let problem = context.apply(event, experiment).await.err();
                    context.event_snapshots.push(EventSnapshot { runs, problem });
                }
                next = events.next();
            }
            // An event before the end of the interval restarts it.
            () = sleep_noise_interval(noise) => {
                slowed = context.move_slowdown(slowed, noise).await;
            }
        }
    }
}

/// Sleeps until the given time, or forever if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Sleeps for the interval of the noise, or forever if there is none.
async fn sleep_noise_interval(noise: Option<Noise>) {
    match noise {
        Some(noise) => tokio::time::sleep(Duration::from_millis(noise.every_ms)).await,
        None => std::future::pending().await,
    }
}

impl ScriptContext {
    /// Returns the number of requests that the upstream of each VM has begun. The numbers never
    /// decrease, because those of earlier incarnations are included.
    pub(crate) async fn run_totals(&self) -> Vec<u64> {
        let mut runs = Vec::new();
        for upstream in &self.upstreams {
            runs.push(match upstream {
                Some(upstream) => upstream.run_counts().await.values().sum(),
                None => 0,
            });
        }
        runs
    }

    /// Applies an event to the mesh.
    async fn apply(&mut self, event: &ScriptEvent, experiment: &Experiment) -> Result<(), String> {
        match &event.action {
            Action::Mark => Ok(()),
            Action::Faults { vm, faults } => {
                self.upstream(*vm)?.set_faults(faults.clone()).await;
                Ok(())
            }
            Action::Replace { vm, faults } => {
                self.upstream(*vm)?.replace(faults.clone()).await;
                Ok(())
            }
            Action::Drain { vm } => self.upstream(*vm)?.drain().await,
            Action::DomainOut { domain } => {
                self.set_domain(domain, DomainState::OutOfService, experiment)
                    .await
            }
            Action::DomainIn { domain } => {
                self.set_domain(domain, DomainState::InService, experiment)
                    .await
            }
        }
    }

    fn upstream(&mut self, vm: usize) -> Result<&mut MeshUpstream, String> {
        let upstream = self.upstreams.get_mut(vm).and_then(Option::as_mut);
        upstream.ok_or_else(|| format!("VM {vm} has no upstream"))
    }

    /// Writes the state of a failure domain to the log.
    async fn set_domain(
        &self,
        domain: &FailureDomain,
        state: DomainState,
        experiment: &Experiment,
    ) -> Result<(), String> {
        let spec = experiment.vms.iter().find(|v| v.domain == *domain);
        let spec = spec.ok_or_else(|| format!("no VM stands in {domain}"))?;
        let operation = Operation::PutDomain {
            domain: domain.clone(),
            region: spec.region.clone(),
            state,
        };
        let appended = append_operations(&self.store, vec![operation]).await;
        appended.map_err(|e| e.to_string())
    }

    /// Moves the slowdown from one upstream to the next and returns the index of the latter.
    async fn move_slowdown(&self, from: Option<usize>, noise: Option<Noise>) -> Option<usize> {
        let noise = noise?;
        let present: Vec<usize> = (0..self.upstreams.len())
            .filter(|i| self.upstreams[*i].is_some())
            .collect();
        let after = |i: usize| present.iter().copied().find(|p| *p > i);
        let next = from.and_then(after).or(present.first().copied())?;
        for (index, straggle_ms) in [(from, 0), (Some(next), noise.straggle_ms)] {
            if let Some(Some(upstream)) = index.and_then(|i| self.upstreams.get(i)) {
                let faults = UpstreamFaults {
                    straggle_ms,
                    ..UpstreamFaults::default()
                };
                upstream.set_faults(faults).await;
            }
        }
        Some(next)
    }
}
