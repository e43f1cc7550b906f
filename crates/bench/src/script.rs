//! Scripted events and noise; the task that runs them owns the upstreams of its mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelvalve_logstore::HttpLogStore;
use cornelvalve_model::{DomainState, FailureDomain, Operation};
use cornelvalve_standins::{
    ConcurrencyStats, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamStandIn,
};
use tokio::sync::oneshot;

use crate::mesh::append;
use crate::{Action, Experiment, Noise, ScriptEvent, UpstreamReport};

/// Upstream of one VM, with what earlier incarnations of it did.
pub(crate) struct LocalUpstream {
    addr: SocketAddr,
    /// `None` for an upstream that makes nested calls, which takes no faults.
    running: Option<(UpstreamOptions, UpstreamHandle)>,
    past_runs: BTreeMap<String, u64>,
    past_peak: ConcurrencyStats,
}

impl LocalUpstream {
    pub(crate) fn new(options: UpstreamOptions, handle: UpstreamHandle) -> Self {
        Self {
            addr: handle.addr(),
            running: Some((options, handle)),
            past_runs: BTreeMap::new(),
            past_peak: ConcurrencyStats::default(),
        }
    }

    pub(crate) fn nested(addr: SocketAddr) -> Self {
        Self {
            addr,
            running: None,
            past_runs: BTreeMap::new(),
            past_peak: ConcurrencyStats::default(),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

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

    /// Ends the upstream like a crash and starts the next incarnation.
    async fn replace(&mut self, faults: UpstreamFaults) {
        self.past_runs = self.runs().await;
        self.past_peak = self.peak().await;
        let Some((mut options, handle)) = self.running.take() else {
            return;
        };
        handle.crash().await;
        options.incarnation = options.incarnation.next();
        options.faults = faults;
        if let Ok(handle) = UpstreamStandIn::start(options.clone()).await {
            self.running = Some((options, handle));
        }
    }

    /// Returns how often each request ran.
    pub(crate) async fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = self.past_runs.clone();
        if let Some((_, handle)) = &self.running {
            for (id, count) in handle.run_counts().await {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }

    async fn peak(&self) -> ConcurrencyStats {
        let Some((_, handle)) = &self.running else {
            return self.past_peak;
        };
        let now = handle.concurrency_stats().await;
        ConcurrencyStats {
            peak: now.peak.max(self.past_peak.peak),
            peak_cold: now.peak_cold.max(self.past_peak.peak_cold),
            overruns: now.overruns + self.past_peak.overruns,
            ..now
        }
    }

    /// Returns the concurrency for the report.
    pub(crate) async fn report(&self, vm: usize) -> UpstreamReport {
        let peak = self.peak().await;
        UpstreamReport {
            vm,
            slots: peak.slots,
            peak: peak.peak,
            peak_cold: peak.peak_cold,
            overruns: peak.overruns,
        }
    }
}

/// Mesh parts that a script acts on.
pub(crate) struct Scene {
    pub(crate) upstreams: Vec<Option<LocalUpstream>>,
    pub(crate) store: HttpLogStore,
    /// Notes on the events so far.
    pub(crate) notes: Vec<Note>,
}

/// What was seen when an event took place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Note {
    /// Requests that each VM had begun since the start.
    pub(crate) runs: Vec<u64>,
    /// Why the event had no effect, if it had none.
    pub(crate) problem: Option<String>,
}

/// Runs the script and the noise until told to stop and hands the upstreams back.
pub(crate) async fn run_script(
    mut scene: Scene,
    experiment: &Experiment,
    spared: bool,
    measured_from: Instant,
    mut stop: oneshot::Receiver<()>,
) -> Scene {
    let mut events = experiment.script.iter();
    let mut next = events.next().filter(|_| !spared);
    let noise = experiment.noise.filter(|_| !spared);
    let mut noisy = None;
    loop {
        let event_at = next.map(|e| measured_from + Duration::from_millis(e.at_ms));
        tokio::select! {
            _ = &mut stop => return scene,
            () = sleep_until(event_at) => {
                if let Some(event) = next {
                    // Read first: a domain that returns gets work before a later reading ends.
                    let runs = scene.runs().await;
                    let problem = scene.act(event, experiment).await.err();
                    scene.notes.push(Note { runs, problem });
                }
                next = events.next();
            }
            () = sleep_for(noise) => {
                noisy = scene.move_noise(noisy, noise).await;
            }
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

async fn sleep_for(noise: Option<Noise>) {
    match noise {
        Some(noise) => tokio::time::sleep(Duration::from_millis(noise.every_ms)).await,
        None => std::future::pending().await,
    }
}

impl Scene {
    /// Returns how many requests each VM has begun.
    pub(crate) async fn runs(&self) -> Vec<u64> {
        let mut runs = Vec::new();
        for upstream in &self.upstreams {
            runs.push(match upstream {
                Some(upstream) => upstream.runs().await.values().sum(),
                None => 0,
            });
        }
        runs
    }

    async fn act(&mut self, event: &ScriptEvent, experiment: &Experiment) -> Result<(), String> {
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

    fn upstream(&mut self, vm: usize) -> Result<&mut LocalUpstream, String> {
        let upstream = self.upstreams.get_mut(vm).and_then(Option::as_mut);
        upstream.ok_or_else(|| format!("VM {vm} has no upstream"))
    }

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
        let appended = append(&self.store, vec![operation]).await;
        appended.map_err(|e| e.to_string())
    }

    /// Moves the straggling to the next upstream and returns its index.
    async fn move_noise(&self, from: Option<usize>, noise: Option<Noise>) -> Option<usize> {
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
