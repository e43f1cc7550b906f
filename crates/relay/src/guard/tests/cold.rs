//! Tests of the limit on starts at a cold upstream, from what the upstream receives.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Clock, SystemClock};
use cornelvalve_model::{Fingerprint, Moment};
use cornelvalve_policy::{ColdTolerance, WorkKey};
use tokio::time::sleep;

use super::{Fixture, domain, health_report, service};
use crate::desired::{ControlView, DesiredState, ServiceSpec, Version};
use crate::messages::{
    AdmissionDecision, GuardMessage, MonitorMessage, Permit, PermitOutcome, PermitReport,
};
use crate::ports::{AnnouncedState, CheckIn, HealthReport, UpstreamLoad};

/// Requests per second that the cold upstream can handle.
const RATE: f64 = 11.0;

/// What the cold upstream tolerates beyond its rate.
const TOLERANCE: ColdTolerance = ColdTolerance {
    factor: 1.5,
    slack: 8.0,
};

/// Largest number of requests that the cold upstream tolerates in one second.
const TOLERATED: usize = 24;

/// Time for which the upstream is cold after it has turned cold.
const COLD_DURATION: Duration = Duration::from_secs(3);

/// Time between two offered requests.
const STEP: Duration = Duration::from_millis(10);

/// Number of steps in a second.
const STEPS_PER_SECOND: usize = 100;

/// Returns a message with a configuration that describes the upstream's service.
fn configuration(domain_out: bool) -> GuardMessage {
    let spec = ServiceSpec {
        name: service(),
        health_path: "/health".into(),
        cold_rate: RATE,
        cold_duration: COLD_DURATION,
    };
    let mut view = ControlView {
        desired: Some(Arc::new(DesiredState {
            version: Version(1),
            services: vec![spec],
            ..DesiredState::default()
        })),
        ..ControlView::default()
    };
    if domain_out {
        view.domains_out.push(domain());
    }
    GuardMessage::Control(Arc::new(view))
}

/// Returns the response of the health path while the upstream is cold for `remaining`.
fn cold_report(remaining: Duration) -> HealthReport {
    HealthReport {
        cold_remaining: Some(remaining),
        ..health_report("i-1")
    }
}

/// Returns the responses of the health path of an upstream that turned cold at `turned`.
fn cold_since(turned: Moment) -> impl Fn(Moment) -> HealthReport + Copy {
    move |now| cold_report(COLD_DURATION.saturating_sub(now.since(turned)))
}

/// Returns the largest number of arrivals within one second.
fn most_in_a_second(arrivals: &[Moment]) -> usize {
    let within = |from: &Moment| {
        let second = arrivals.iter().filter(|a| *a >= from);
        second
            .filter(|a| a.since(*from) < Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Load in the response of an upstream that runs at normal speed.
fn normal_load() -> UpstreamLoad {
    health_report("i-1")
        .load
        .expect("health reports carry the load")
}

impl Fixture {
    /// Starts a guard that tolerates [`TOLERANCE`] and uses the given clock.
    fn start_beside_cold(clock: &Arc<SystemClock>) -> Self {
        Self::start_with(Arc::clone(clock), TOLERANCE)
    }

    /// Starts a guard that knows the upstream's service and has requested its first probe.
    async fn start_configured(clock: &Arc<SystemClock>) -> Self {
        let mut fixture = Self::start_beside_cold(clock);
        fixture.wait_for_probe().await;
        fixture.send(configuration(false)).await;
        fixture
    }

    /// Reports a check-in of a ready upstream that stays cold for `remaining`.
    async fn check_in_cold(&self, remaining: Duration) {
        let check_in = CheckIn {
            instance: "i-1".into(),
            started_ms: Some(1),
            addr: None,
            service: None,
            slots: None,
            state: AnnouncedState::Ready,
            sequence: 1,
            cold_remaining: remaining,
        };
        let applied = self.guard.ask(|reply| GuardMessage::CheckIn {
            check_in: Box::new(check_in),
            reply,
        });
        applied.await.expect("the guard is running");
    }

    /// Offers a request every [`STEP`] and runs each admitted one to its end at once; answers each
    /// probe with `health`. Returns the moments at which requests arrived at the upstream.
    async fn offer_for(
        &mut self,
        steps: usize,
        health: impl Fn(Moment) -> HealthReport,
    ) -> Vec<Moment> {
        let mut arrivals = Vec::new();
        for _ in 0..steps {
            if let Some(permit) = self.admit_briefly().await {
                arrivals.push(self.clock.now());
                finish(permit);
            }
            self.answer_probes(&health).await;
            sleep(STEP).await;
        }
        arrivals
    }

    /// Offers a request whose caller waits for a moment only.
    async fn admit_briefly(&mut self) -> Option<Permit> {
        let wait = Duration::from_millis(1);
        let admitted = self.admit(Fingerprint(1));
        match tokio::time::timeout(wait, admitted).await {
            Ok(AdmissionDecision::Admitted(permit)) => Some(permit),
            _ => None,
        }
    }

    /// Answers the probes that the guard has requested.
    async fn answer_probes(&mut self, health: impl Fn(Moment) -> HealthReport) {
        while let Ok(MonitorMessage::Probe { requested, .. }) = self.probes.try_recv() {
            let report = Some(health(self.clock.now()));
            self.send(GuardMessage::Health { requested, report }).await;
        }
    }
}

/// Ends a request that the upstream answered.
fn finish(permit: Permit) {
    let id = permit.id;
    permit.report.finish(PermitReport {
        id,
        outcome: PermitOutcome::Answered,
        load: Some(normal_load()),
        signals: None,
    });
}

// Guards against flooding a cold upstream whose rate the guard has not learnt yet.
#[tokio::test(start_paused = true)]
async fn a_cold_upstream_with_unknown_rate_is_not_flooded() {
    let clock = Arc::new(SystemClock::new());
    let mut fixture = Fixture::start_beside_cold(&clock);
    fixture.wait_for_probe().await;
    let health = cold_since(Moment(0));
    fixture.send_health(Some(health(Moment(0)))).await;
    let arrivals = fixture.offer_for(STEPS_PER_SECOND, health).await;
    // The rate may be as low as zero.
    assert!(
        most_in_a_second(&arrivals) <= TOLERANCE.slack as usize,
        "{arrivals:?}"
    );
    assert!(!arrivals.is_empty(), "the slack may be used");
}

// Guards against forgetting the starts of an earlier daemon.
#[tokio::test(start_paused = true)]
async fn a_restarted_daemon_does_not_flood_a_cold_upstream() {
    let clock = Arc::new(SystemClock::new());
    let health = cold_since(Moment(0));
    let mut arrivals = Vec::new();
    for _ in 0..2 {
        let mut fixture = Fixture::start_configured(&clock).await;
        let report = health(clock.now());
        fixture.send_health(Some(report)).await;
        // The daemon is killed after half a second.
        let steps = STEPS_PER_SECOND / 2 - 10;
        arrivals.extend(fixture.offer_for(steps, health).await);
        sleep(STEP * 10).await;
    }
    assert!(most_in_a_second(&arrivals) <= TOLERATED, "{arrivals:?}");
}

// Guards against holding calls back after each boot of a VM, when there was no earlier daemon.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_boots_with_its_daemon_gets_the_full_limit() {
    // The clock starts with the daemon, when the upstream has been up for a while.
    let clock = Arc::new(SystemClock::new());
    let lead = STEP * 15;
    let mut fixture = Fixture::start_configured(&clock).await;
    let health =
        |now: Moment| cold_report((COLD_DURATION - lead).saturating_sub(now.since(Moment(0))));
    // The upstream checks in while the first probe is under way.
    let requested = clock.now();
    sleep(STEP).await;
    fixture.check_in_cold(COLD_DURATION - lead - STEP).await;
    let report = Some(health(clock.now()));
    fixture
        .send(GuardMessage::Health { requested, report })
        .await;
    let arrivals = fixture.offer_for(STEPS_PER_SECOND, health).await;
    let limit = TOLERANCE.limit(RATE) as usize;
    assert_eq!(most_in_a_second(&arrivals), limit, "{arrivals:?}");
}

// Guards against flooding an upstream between the moment it turns cold and the next probe.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_turns_cold_without_a_restart_is_not_flooded() {
    let clock = Arc::new(SystemClock::new());
    let mut fixture = Fixture::start_configured(&clock).await;
    fixture.send_health(Some(health_report("i-1"))).await;
    let warm = |_: Moment| health_report("i-1");
    fixture.offer_for(STEPS_PER_SECOND * 5 / 4, warm).await;
    let turned = clock.now();
    let health = cold_since(turned);
    let arrivals = fixture.offer_for(STEPS_PER_SECOND, health).await;
    assert!(most_in_a_second(&arrivals) <= TOLERATED, "{arrivals:?}");
}

// Guards against ending a known coldness by a response that does not say how long it lasts.
#[tokio::test(start_paused = true)]
async fn an_unhealthy_response_without_the_remaining_time_does_not_end_the_coldness() {
    let clock = Arc::new(SystemClock::new());
    let mut fixture = Fixture::start_configured(&clock).await;
    fixture.send_health(Some(cold_report(COLD_DURATION))).await;
    sleep(Duration::from_secs(1)).await;
    let unhealthy = |_: Moment| HealthReport {
        healthy: false,
        ..health_report("i-1")
    };
    fixture.answer_probes(unhealthy).await;
    let arrivals = fixture.offer_for(STEPS_PER_SECOND, unhealthy).await;
    assert!(most_in_a_second(&arrivals) <= TOLERATED, "{arrivals:?}");
}

// Guards against ending a coldness by the response to a probe from before it was learnt.
#[tokio::test(start_paused = true)]
async fn an_earlier_response_does_not_end_the_coldness_of_a_returned_domain() {
    let clock = Arc::new(SystemClock::new());
    let mut fixture = Fixture::start_beside_cold(&clock);
    fixture.wait_for_probe().await;
    fixture.send(configuration(true)).await;
    let requested = clock.now();
    sleep(STEP).await;
    fixture.send_health(Some(health_report("i-1"))).await;
    sleep(STEP).await;
    fixture.send(configuration(false)).await;
    let report = Some(health_report("i-1"));
    fixture
        .send(GuardMessage::Health { requested, report })
        .await;
    let work = WorkKey(1);
    let load = fixture
        .guard
        .ask(|reply| GuardMessage::Load { work, reply });
    let (load, _) = load.await.expect("the guard is running");
    assert!(load.expect("the process is known").cold);
}
