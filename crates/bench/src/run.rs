//! Runs an experiment: starts the mesh of each variant, sends the load, runs the script and builds
//! the report.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cornelvalve_model::RequestClass;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::caller::{CallerSettings, run_caller};
use crate::mesh::Mesh;
use crate::pacer::{self, CallerSenders, ScheduledRequest};
use crate::script::{MeshUpstream, ScriptContext, run_script};
use crate::stats::{CallerStats, WINDOW};
use crate::usage::{self, UsageSnapshot};
use crate::{
    Counts, Error, EventReport, Experiment, KindReport, Report, Result, Variant, VariantReport,
    Via, Window,
};

/// Time from the start of the callers to the first arrival, which gives the tasks time to start.
const START_DELAY: Duration = Duration::from_millis(50);

/// Time after the last scheduled arrival at which a run that has not ended is stopped.
const OVERRUN_LIMIT: Duration = Duration::from_secs(30);

/// Number of consecutive windows without lost requests and with a p99 within `SETTLED_P99_RATIO`
/// after which the load counts as settled. Together they are 1 s long.
const SETTLED_WINDOWS: usize = 10;

/// Largest p99 of a settled window, as a multiple of the median p99 before the first event.
const SETTLED_P99_RATIO: f64 = 1.5;

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Returns an error if a value of the experiment is out of bounds, a part of a mesh does not start,
/// or the run does not end in time.
pub async fn run_experiment(experiment: Experiment) -> Result<Report> {
    experiment.validate()?;
    let machine = usage::read_machine();
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut report = Report::new(&experiment, machine, started.as_secs());
    let experiment = Arc::new(experiment);
    let mut setups = Vec::new();
    for variant in &experiment.variants {
        let mesh = match variant.via {
            Via::System => Some(Mesh::start(&experiment, variant).await?),
            Via::Direct => None,
        };
        setups.push(VariantSetup {
            variant: variant.clone(),
            mesh,
        });
    }
    let limit = experiment.total_duration() + OVERRUN_LIMIT;
    let measured = measure(&experiment, &mut setups);
    let variants = tokio::time::timeout(limit, measured).await;
    report.variants = variants.map_err(|_| Error::TimeLimitExceeded)??;
    Ok(report)
}

/// Variant with its mesh, or without one if its requests go directly to the upstreams of the first
/// mesh.
struct VariantSetup {
    variant: Variant,
    mesh: Option<Mesh>,
}

/// Running tasks of one variant.
struct VariantTasks {
    callers: Vec<JoinHandle<CallerStats>>,
    /// Task that owns the upstreams and runs the script and the noise, with the sender that stops
    /// it. It is started even if there is no script.
    script: Option<(oneshot::Sender<()>, JoinHandle<ScriptContext>)>,
}

/// Sends the load of all variants and returns their reports.
async fn measure(
    experiment: &Arc<Experiment>,
    setups: &mut [VariantSetup],
) -> Result<Vec<VariantReport>> {
    // Starting a script moves the upstreams out of the mesh, so that their addresses are read
    // first.
    let direct = direct_addrs(experiment, setups);
    let start = Instant::now() + START_DELAY;
    let measured_from = start + Duration::from_millis(experiment.warmup_ms);
    let mut all_senders = Vec::new();
    let mut tasks = Vec::new();
    for setup in setups.iter_mut() {
        let addrs = match &setup.mesh {
            Some(mesh) => vec![mesh.entry_addrs(experiment); experiment.mix.len()],
            None => direct.clone(),
        };
        let settings = CallerSettings {
            experiment: Arc::clone(experiment),
            via: setup.variant.via,
            addrs: Arc::new(addrs),
            measured_from,
            windows: window_count(experiment),
        };
        let (senders, callers) = start_callers(&settings, experiment.callers);
        all_senders.push(senders);
        let script = start_script(experiment, setup, measured_from);
        tasks.push(VariantTasks { callers, script });
    }
    let pacer_experiment = Arc::clone(experiment);
    let pacer = tokio::task::spawn_blocking(move || {
        pacer::send_arrivals(&pacer_experiment, &all_senders, start)
    });
    tokio::time::sleep_until(measured_from.into()).await;
    let before = snapshot_all(setups).await;
    // A task that panicked is reported as a run that did not end.
    let task_failed = |_| Error::TimeLimitExceeded;
    pacer.await.map_err(task_failed)?;
    // The last responses may still be missing at this point.
    let after = snapshot_all(setups).await;
    let mut reports = Vec::new();
    for (index, tasks) in tasks.into_iter().enumerate() {
        let mut stats = CallerStats::new(experiment.mix.len(), window_count(experiment));
        for caller in tasks.callers {
            stats.merge(&caller.await.map_err(task_failed)?);
        }
        let mut report = variant_report(experiment, &setups[index].variant, &stats);
        if let Some((stop, script)) = tasks.script {
            let _ = stop.send(());
            let context = script.await.map_err(task_failed)?;
            add_upstream_reports(experiment, &mut report, &context.upstreams, &stats).await;
            add_event_runs(&mut report, &context).await;
        }
        if let Some(mesh) = &setups[index].mesh {
            let snapshots = before[index].iter().zip(&after[index]);
            let daemons = mesh.daemons.iter().zip(snapshots).enumerate();
            report.control = daemons
                .map(|(vm, (daemon, (before, after)))| {
                    usage::control_report(vm, &**daemon, before, after)
                })
                .collect();
        }
        reports.push(report);
    }
    Ok(reports)
}

/// Returns, for each kind of request, the addresses of the upstreams of the first mesh that serve
/// it.
fn direct_addrs(experiment: &Experiment, setups: &[VariantSetup]) -> Vec<Vec<SocketAddr>> {
    let Some(mesh) = setups.iter().find_map(|s| s.mesh.as_ref()) else {
        return Vec::new();
    };
    let of_kind = |kind: &crate::RequestKind| {
        let vms = experiment.vms.iter().zip(&mesh.upstreams);
        vms.filter(|(vm, _)| vm.service.as_ref() == Some(&kind.service))
            .filter_map(|(_, upstream)| upstream.as_ref().map(MeshUpstream::addr))
            .collect()
    };
    experiment.mix.iter().map(of_kind).collect()
}

/// Starts the caller tasks of one variant and returns them with their senders.
fn start_callers(
    settings: &CallerSettings,
    count: usize,
) -> (CallerSenders, Vec<JoinHandle<CallerStats>>) {
    let callers = (0..count).map(|_| {
        let (sender, inbox) = mpsc::unbounded_channel::<ScheduledRequest>();
        let task = tokio::spawn(run_caller(settings.clone(), inbox));
        (sender, task)
    });
    callers.unzip()
}

/// Starts the task that runs the script and the noise, and moves the upstreams of the mesh to it.
///
/// Returns `None` for a variant without a mesh.
fn start_script(
    experiment: &Arc<Experiment>,
    setup: &mut VariantSetup,
    measured_from: Instant,
) -> Option<(oneshot::Sender<()>, JoinHandle<ScriptContext>)> {
    let mesh = setup.mesh.as_mut()?;
    let context = ScriptContext {
        upstreams: std::mem::take(&mut mesh.upstreams),
        store: mesh.store.clone(),
        event_snapshots: Vec::new(),
    };
    let (stop, stopped) = oneshot::channel();
    let experiment = Arc::clone(experiment);
    let spared = setup.variant.spared;
    let task = tokio::spawn(async move {
        run_script(context, &experiment, spared, measured_from, stopped).await
    });
    Some((stop, task))
}

/// Returns the usage of each daemon, by variant.
async fn snapshot_all(setups: &[VariantSetup]) -> Vec<Vec<UsageSnapshot>> {
    let mut snapshots = Vec::new();
    for setup in setups {
        let mut of_variant = Vec::new();
        for daemon in setup.mesh.iter().flat_map(|m| &m.daemons) {
            of_variant.push(usage::take_snapshot(&**daemon).await);
        }
        snapshots.push(of_variant);
    }
    snapshots
}

/// Returns the number of windows in the measured time, or 0 without a script.
fn window_count(experiment: &Experiment) -> usize {
    if experiment.script.is_empty() {
        return 0;
    }
    let windows = u128::from(experiment.duration_ms) / WINDOW.as_millis();
    usize::try_from(windows).unwrap_or(0)
}

/// Returns the report of a variant. The fields on upstreams, daemons and tracked runs are filled in
/// later.
fn variant_report(
    experiment: &Experiment,
    variant: &Variant,
    stats: &CallerStats,
) -> VariantReport {
    let kinds = experiment.mix.iter().zip(&stats.kinds);
    let windows = stats.windows();
    VariantReport {
        name: variant.name.clone(),
        counts: stats.all.counts,
        latency: stats.all.latency(),
        kinds: kinds
            .map(|(kind, kind_stats)| KindReport {
                name: kind.name.clone(),
                counts: kind_stats.counts,
                latency: kind_stats.latency(),
            })
            .collect(),
        reasons: stats.reasons.clone(),
        false_refusals: None,
        repeated: None,
        upstreams: Vec::new(),
        control: Vec::new(),
        events: event_reports(experiment, &windows),
        windows,
    }
}

/// Returns for each scripted event the counts until the next one and the time until the load
/// settled.
fn event_reports(experiment: &Experiment, windows: &[Window]) -> Vec<EventReport> {
    let Some(first) = experiment.script.first() else {
        return Vec::new();
    };
    let before = windows.iter().filter(|w| w.start_ms < first.at_ms);
    let mut reference: Vec<u64> = before.map(|w| w.p99_us).collect();
    reference.sort_unstable();
    // The median is robust against single windows with a high p99. Without windows before the first
    // event the reference is 0, so that the load does not settle while requests complete.
    let reference = reference.get(reference.len() / 2).copied().unwrap_or(0);
    let max_p99 = reference as f64 * SETTLED_P99_RATIO;
    let is_settled = |w: &Window| w.counts.not_completed() == 0 && w.p99_us as f64 <= max_p99;
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
                .find(|consecutive| consecutive.iter().all(|w| is_settled(w)));
            EventReport {
                at_ms: event.at_ms,
                event: event.action.label(),
                settled_ms: settled.map(|consecutive| consecutive[0].start_ms - event.at_ms),
                runs: Vec::new(),
                problem: None,
                counts,
            }
        })
        .collect()
}

/// Adds to each event report the requests that the upstream of each VM began until the next event.
async fn add_event_runs(report: &mut VariantReport, context: &ScriptContext) {
    let final_runs = context.run_totals().await;
    let next_runs = context.event_snapshots.iter().skip(1).map(|n| &n.runs);
    let next_runs = next_runs.chain(std::iter::once(&final_runs));
    for ((event, snapshot), next_runs) in report
        .events
        .iter_mut()
        .zip(&context.event_snapshots)
        .zip(next_runs)
    {
        let runs = next_runs.iter().zip(&snapshot.runs);
        event.runs = runs.map(|(after, before)| after - before).collect();
        event.problem.clone_from(&snapshot.problem);
    }
}

/// Adds the upstreams to the report. If runs are tracked, compares the requests that the upstreams
/// ran with the responses that the callers got.
async fn add_upstream_reports(
    experiment: &Experiment,
    report: &mut VariantReport,
    upstreams: &[Option<MeshUpstream>],
    stats: &CallerStats,
) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for (vm, upstream) in upstreams.iter().enumerate() {
        let Some(upstream) = upstream else {
            continue;
        };
        report.upstreams.push(upstream.report(vm).await);
        for (id, count) in upstream.run_counts().await {
            *runs.entry(id).or_default() += count;
        }
    }
    if !experiment.track_runs {
        return;
    }
    let refused: BTreeSet<String> = stats.refused.iter().map(u64::to_string).collect();
    let false_refusals = refused.iter().filter(|id| runs.contains_key(*id));
    report.false_refusals = Some(u64::try_from(false_refusals.count()).unwrap_or(u64::MAX));
    let all_at_most_once = experiment.mix.iter().all(|k| {
        let service = experiment.service(&k.service);
        service.is_some_and(|s| s.class == RequestClass::AtMostOnce)
    });
    if all_at_most_once {
        let repeated = runs.values().filter(|count| **count > 1).count();
        report.repeated = Some(u64::try_from(repeated).unwrap_or(u64::MAX));
    }
}
