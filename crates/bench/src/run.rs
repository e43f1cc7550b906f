//! One run: meshes, callers, pacer, scripts and the report.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cornelvalve_model::RequestClass;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::caller::{CallerSettings, run_caller};
use crate::mesh::Mesh;
use crate::pacer::{self, Arrival, CallerInboxes};
use crate::script::{LocalUpstream, Scene, run_script};
use crate::tally::{Tally, WINDOW};
use crate::usage::{self, Reading};
use crate::{
    Counts, Error, EventReport, Experiment, KindReport, Report, Result, Variant, VariantReport,
    Via, Window,
};

/// Time between the start of the callers and the first arrival.
const LEAD: Duration = Duration::from_millis(50);

/// Time beyond the last arrival after which a run is stopped.
const END_LIMIT: Duration = Duration::from_secs(30);

/// Windows in a row without loss and with a usual p99 after which an event counts as over.
const SETTLED_WINDOWS: usize = 10;

/// Largest p99 of a settled window, as a multiple of the one before the first event.
const SETTLED_RATIO: f64 = 1.5;

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Returns [`Error`] if the experiment is out of bounds, a part of a mesh does not start, or the
/// run does not end in time.
pub async fn run(experiment: Experiment) -> Result<Report> {
    experiment.check()?;
    let machine = usage::machine();
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut report = Report::new(&experiment, machine, started.as_secs());
    let experiment = Arc::new(experiment);
    let mut stages = Vec::new();
    for variant in &experiment.variants {
        let mesh = match variant.via {
            Via::System => Some(Mesh::start(&experiment, variant).await?),
            Via::Direct => None,
        };
        stages.push(Stage {
            variant: variant.clone(),
            mesh,
        });
    }
    let limit = experiment.total() + END_LIMIT;
    let measured = measure(&experiment, &mut stages);
    let variants = tokio::time::timeout(limit, measured).await;
    report.variants = variants.map_err(|_| Error::TimeLimit)??;
    Ok(report)
}

/// Variant with its mesh.
struct Stage {
    variant: Variant,
    mesh: Option<Mesh>,
}

/// Tasks of one variant while it is measured.
struct Tasks {
    callers: Vec<JoinHandle<Tally>>,
    script: Option<(oneshot::Sender<()>, JoinHandle<Scene>)>,
}

async fn measure(experiment: &Arc<Experiment>, stages: &mut [Stage]) -> Result<Vec<VariantReport>> {
    let direct = direct_addrs(experiment, stages);
    let start = Instant::now() + LEAD;
    let measured_from = start + Duration::from_millis(experiment.warmup_ms);
    let mut inboxes = Vec::new();
    let mut tasks = Vec::new();
    for stage in stages.iter_mut() {
        let addrs = match &stage.mesh {
            Some(mesh) => vec![mesh.entries(experiment); experiment.mix.len()],
            None => direct.clone(),
        };
        let settings = CallerSettings {
            experiment: Arc::clone(experiment),
            via: stage.variant.via,
            addrs: Arc::new(addrs),
            measured_from,
            windows: window_count(experiment),
        };
        let (senders, callers) = start_callers(&settings, experiment.callers);
        inboxes.push(senders);
        let script = start_script(experiment, stage, measured_from);
        tasks.push(Tasks { callers, script });
    }
    let pace = Arc::clone(experiment);
    let pacer = tokio::task::spawn_blocking(move || pacer::pace(&pace, &inboxes, start));
    tokio::time::sleep_until(measured_from.into()).await;
    let before = read_all(stages).await;
    let ended = |_| Error::TimeLimit;
    pacer.await.map_err(ended)?;
    let after = read_all(stages).await;
    let mut reports = Vec::new();
    for (index, tasks) in tasks.into_iter().enumerate() {
        let mut tally = Tally::new(experiment.mix.len(), window_count(experiment));
        for caller in tasks.callers {
            tally.merge(&caller.await.map_err(ended)?);
        }
        let mut report = variant_report(experiment, &stages[index].variant, &tally);
        if let Some((stop, script)) = tasks.script {
            let _ = stop.send(());
            let scene = script.await.map_err(ended)?;
            add_upstreams(experiment, &mut report, &scene.upstreams, &tally).await;
            add_notes(&mut report, &scene).await;
        }
        if let Some(mesh) = &stages[index].mesh {
            let readings = before[index].iter().zip(&after[index]);
            let hosts = mesh.hosts.iter().zip(readings).enumerate();
            report.control = hosts
                .map(|(vm, (host, (before, after)))| usage::control(vm, &**host, before, after))
                .collect();
        }
        reports.push(report);
    }
    Ok(reports)
}

/// Returns the upstreams for direct calls, for each kind, from the first mesh.
fn direct_addrs(experiment: &Experiment, stages: &[Stage]) -> Vec<Vec<SocketAddr>> {
    let Some(mesh) = stages.iter().find_map(|s| s.mesh.as_ref()) else {
        return Vec::new();
    };
    let of_kind = |kind: &crate::RequestKind| {
        let vms = experiment.vms.iter().zip(&mesh.upstreams);
        vms.filter(|(vm, _)| vm.service.as_ref() == Some(&kind.service))
            .filter_map(|(_, upstream)| upstream.as_ref().map(LocalUpstream::addr))
            .collect()
    };
    experiment.mix.iter().map(of_kind).collect()
}

fn start_callers(
    settings: &CallerSettings,
    count: usize,
) -> (CallerInboxes, Vec<JoinHandle<Tally>>) {
    let callers = (0..count).map(|_| {
        let (sender, inbox) = mpsc::unbounded_channel::<Arrival>();
        let task = tokio::spawn(run_caller(settings.clone(), inbox));
        (sender, task)
    });
    callers.unzip()
}

fn start_script(
    experiment: &Arc<Experiment>,
    stage: &mut Stage,
    measured_from: Instant,
) -> Option<(oneshot::Sender<()>, JoinHandle<Scene>)> {
    let mesh = stage.mesh.as_mut()?;
    let scene = Scene {
        upstreams: std::mem::take(&mut mesh.upstreams),
        store: mesh.store.clone(),
        notes: Vec::new(),
    };
    let (stop, stopped) = oneshot::channel();
    let experiment = Arc::clone(experiment);
    let spared = stage.variant.spared;
    let task = tokio::spawn(async move {
        run_script(scene, &experiment, spared, measured_from, stopped).await
    });
    Some((stop, task))
}

async fn read_all(stages: &[Stage]) -> Vec<Vec<Reading>> {
    let mut readings = Vec::new();
    for stage in stages {
        let mut of_stage = Vec::new();
        for host in stage.mesh.iter().flat_map(|m| &m.hosts) {
            of_stage.push(usage::read(&**host).await);
        }
        readings.push(of_stage);
    }
    readings
}

fn window_count(experiment: &Experiment) -> usize {
    if experiment.script.is_empty() {
        return 0;
    }
    let windows = u128::from(experiment.duration_ms) / WINDOW.as_millis();
    usize::try_from(windows).unwrap_or(0)
}

fn variant_report(experiment: &Experiment, variant: &Variant, tally: &Tally) -> VariantReport {
    let kinds = experiment.mix.iter().zip(&tally.kinds);
    let windows = tally.windows();
    VariantReport {
        name: variant.name.clone(),
        counts: tally.all.counts,
        latency: tally.all.latency(),
        kinds: kinds
            .map(|(kind, bin)| KindReport {
                name: kind.name.clone(),
                counts: bin.counts,
                latency: bin.latency(),
            })
            .collect(),
        reasons: tally.reasons.clone(),
        false_refusals: None,
        repeated: None,
        upstreams: Vec::new(),
        control: Vec::new(),
        events: events(experiment, &windows),
        windows,
    }
}

fn events(experiment: &Experiment, windows: &[Window]) -> Vec<EventReport> {
    let Some(first) = experiment.script.first() else {
        return Vec::new();
    };
    let before = windows.iter().filter(|w| w.start_ms < first.at_ms);
    let mut usual: Vec<u64> = before.map(|w| w.p99_us).collect();
    usual.sort_unstable();
    // The median keeps single disturbed windows out of the reference.
    let usual = usual.get(usual.len() / 2).copied().unwrap_or(0);
    let bound = usual as f64 * SETTLED_RATIO;
    let normal = |w: &Window| w.counts.lost() == 0 && w.p99_us as f64 <= bound;
    let ends = experiment.script.iter().skip(1).map(|e| e.at_ms);
    let ends = ends.chain(std::iter::once(u64::MAX));
    experiment
        .script
        .iter()
        .zip(ends)
        .map(|(event, end)| {
            let within = |w: &&Window| w.start_ms >= event.at_ms && w.start_ms < end;
            let after: Vec<&Window> = windows.iter().filter(within).collect();
            let mut counts = Counts::default();
            for window in &after {
                counts += window.counts;
            }
            let settled = after
                .windows(SETTLED_WINDOWS)
                .find(|run| run.iter().all(|w| normal(w)));
            EventReport {
                at_ms: event.at_ms,
                event: event.action.label(),
                settled_ms: settled.map(|run| run[0].start_ms - event.at_ms),
                runs: Vec::new(),
                problem: None,
                counts,
            }
        })
        .collect()
}

/// Adds to each event what ran between it and the next one.
async fn add_notes(report: &mut VariantReport, scene: &Scene) {
    let last = scene.runs().await;
    let until = scene.notes.iter().skip(1).map(|n| &n.runs);
    let until = until.chain(std::iter::once(&last));
    for ((event, note), until) in report.events.iter_mut().zip(&scene.notes).zip(until) {
        let runs = until.iter().zip(&note.runs);
        event.runs = runs.map(|(after, before)| after - before).collect();
        event.problem.clone_from(&note.problem);
    }
}

async fn add_upstreams(
    experiment: &Experiment,
    report: &mut VariantReport,
    upstreams: &[Option<LocalUpstream>],
    tally: &Tally,
) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for (vm, upstream) in upstreams.iter().enumerate() {
        let Some(upstream) = upstream else {
            continue;
        };
        report.upstreams.push(upstream.report(vm).await);
        for (id, count) in upstream.runs().await {
            *runs.entry(id).or_default() += count;
        }
    }
    if !experiment.track_runs {
        return;
    }
    let refused: BTreeSet<String> = tally.refused.iter().map(u64::to_string).collect();
    let run_though_refused = refused.iter().filter(|id| runs.contains_key(*id));
    report.false_refusals = Some(u64::try_from(run_though_refused.count()).unwrap_or(u64::MAX));
    let once = experiment.mix.iter().all(|k| {
        let service = experiment.service(&k.service);
        service.is_some_and(|s| s.class == RequestClass::AtMostOnce)
    });
    if once {
        let repeated = runs.values().filter(|count| **count > 1).count();
        report.repeated = Some(u64::try_from(repeated).unwrap_or(u64::MAX));
    }
}
