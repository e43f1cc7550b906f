//! Tests of the guard service with stand-ins for the other services, under Tokio's paused time.

mod cold;
mod reused;
mod versions;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{
    Clock, Context, Kernel, Mailbox, Name, ReplySender, ServiceOptions, ServiceResult, SystemClock,
};
use cornelvalve_model::{FailureDomain, Fingerprint, Moment, Region, ServiceName, UpstreamSignals};
use cornelvalve_policy::{ColdTolerance, SharedSuspect, WorkKey};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::advance;

use super::{GuardSettings, run_guard};
use crate::desired::{ControlView, Version};
use crate::messages::{
    AdmissionDecision, AdmissionRequest, GuardMessage, MonitorMessage, NoticesMessage,
    PermitOutcome, PermitReport,
};
use crate::names::{CONTROL, GUARD, MEMBERS, MONITOR, NOTICES, ROUTER, STATS};
use crate::ports::{Cause, HealthReport, UpstreamLoad};
use crate::testing::forward_messages;

/// Age at which load information is too old to admit a call, so that the upstream is probed first.
const STALE_LOAD_AGE: Duration = Duration::from_secs(1);

/// Time until the latency objective and the deadline of a call; long enough that no test reaches
/// them.
const TIME_TO_DEADLINE: Duration = Duration::from_secs(60);

/// Runs a stand-in for a service that ignores all messages.
async fn ignore_messages<M: Send + 'static>(mut context: Context<M>) -> ServiceResult {
    while context.inbox.recv().await.is_some() {}
    Ok(())
}

/// Guard service whose health probes are answered by the test.
struct Fixture {
    clock: Arc<SystemClock>,
    guard: Mailbox<GuardMessage>,
    /// Probes that the guard requested.
    probes: mpsc::UnboundedReceiver<MonitorMessage>,
    /// Messages that the guard sent to the notices service.
    notices: mpsc::UnboundedReceiver<NoticesMessage>,
    _kernel: Kernel,
}

impl Fixture {
    /// Starts a guard that knows no upstream yet.
    fn start() -> Self {
        Self::start_with(Arc::new(SystemClock::new()), ColdTolerance::NONE)
    }

    /// Starts a guard that knows no upstream yet, with this clock and this tolerance of a cold
    /// upstream.
    fn start_with(clock: Arc<SystemClock>, tolerance: ColdTolerance) -> Self {
        let options = ServiceOptions::default();
        let (probe_sender, probes) = mpsc::unbounded_channel();
        let (notice_sender, notices) = mpsc::unbounded_channel();
        let settings = GuardSettings {
            region: region(),
            domain: domain(),
            service: service(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            tolerance,
        };
        let kernel = Kernel::builder(Arc::clone(&clock) as Arc<dyn Clock>)
            .add_service(CONTROL, options, ignore_messages)
            .add_service(MEMBERS, options, ignore_messages)
            .add_service(ROUTER, options, ignore_messages)
            .add_service(STATS, options, ignore_messages)
            .add_service(NOTICES, options, move |context| {
                forward_messages(context, notice_sender.clone())
            })
            .add_service(MONITOR, options, move |context| {
                forward_messages(context, probe_sender.clone())
            })
            .add_service(GUARD, options, move |context| {
                run_guard(context, settings.clone())
            })
            .start();
        Self {
            clock,
            guard: mailbox(&kernel, GUARD),
            probes,
            notices,
            _kernel: kernel,
        }
    }

    /// Waits until the guard requests a health probe.
    async fn wait_for_probe(&mut self) {
        self.probes
            .recv()
            .await
            .expect("the guard requests a probe");
    }

    /// Sends a message to the guard.
    async fn send(&self, message: GuardMessage) {
        self.guard
            .send(message)
            .await
            .expect("the guard is running");
    }

    /// Reports the result of a probe that was requested now.
    async fn send_health(&self, report: Option<HealthReport>) {
        let requested = self.clock.now();
        self.send(GuardMessage::Health { requested, report }).await;
    }

    /// Reports that the first upstream process is healthy and waits until the guard has applied
    /// that.
    async fn report_healthy(&self) {
        self.report_healthy_as("i-1").await;
    }

    /// Reports that an upstream process is healthy and waits until the guard has applied that.
    async fn report_healthy_as(&self, process: &str) {
        self.send_health(Some(health_report(process))).await;
        let work = WorkKey(1);
        let load = self.guard.ask(|reply| GuardMessage::Load { work, reply });
        load.await.expect("the guard is running");
    }
}

impl Fixture {
    /// Starts a guard and reports that its upstream is healthy.
    async fn start_with_healthy_upstream() -> Self {
        let mut fixture = Self::start();
        fixture.wait_for_probe().await;
        fixture.report_healthy().await;
        fixture
    }

    /// Asks for admission of a request and returns the guard's decision.
    async fn admit(&self, fingerprint: Fingerprint) -> AdmissionDecision {
        let now = self.clock.now();
        let admitted = self
            .guard
            .ask(|reply| admit_message(now, fingerprint, reply));
        admitted.await.expect("the guard replies")
    }

    /// Simulates that the upstream dies while it runs a request and restarts as another process.
    async fn crash(&mut self, fingerprint: Fingerprint, process: &str) {
        let AdmissionDecision::Admitted(permit) = self.admit(fingerprint).await else {
            panic!("not admitted before the crash");
        };
        let id = permit.id;
        permit.report.finish(PermitReport {
            id,
            outcome: PermitOutcome::Lost,
            load: None,
            signals: None,
        });
        self.wait_for_probe().await;
        self.send_health(None).await;
        self.report_healthy_as(process).await;
    }

    /// Returns the suspects that the guard next shares with other daemons.
    async fn shared_suspects(&mut self) -> Vec<SharedSuspect> {
        loop {
            let notice = self.notices.recv().await.expect("the guard sends a notice");
            if let NoticesMessage::CrashSuspects(suspects) = notice {
                return suspects;
            }
        }
    }
}

fn mailbox<M: Send + 'static>(kernel: &Kernel, name: Name<M>) -> Mailbox<M> {
    kernel.mailbox(name).expect("service exists")
}

fn region() -> Region {
    Region::new("north").expect("name is valid")
}

fn domain() -> FailureDomain {
    FailureDomain::new("north-a").expect("name is valid")
}

fn service() -> ServiceName {
    ServiceName::new("one").expect("name is valid")
}

/// Returns the report of a healthy upstream process that runs no requests.
fn health_report(process: &str) -> HealthReport {
    HealthReport {
        healthy: true,
        instance: Some(process.into()),
        cold_remaining: None,
        load: Some(UpstreamLoad {
            running: 0,
            waiting: 0,
            slots: 4,
            slowdown: Some(1.0),
        }),
        signals: UpstreamSignals::default(),
    }
}

/// Returns a message that asks for admission of a request.
fn admit_message(
    now: Moment,
    fingerprint: Fingerprint,
    reply: ReplySender<AdmissionDecision>,
) -> GuardMessage {
    let call = AdmissionRequest {
        service: service(),
        host: "a.example".into(),
        target: "/read/x".into(),
        version: Version(1),
        home_regions: SmallVec::new(),
        work: WorkKey(1),
        is_retry: false,
        priority: 1,
        objective: now + TIME_TO_DEADLINE,
        deadline: now + TIME_TO_DEADLINE,
        expected_elsewhere: None,
        fingerprint,
    };
    GuardMessage::Admit {
        call: Box::new(call),
        reply,
    }
}

/// Returns a message with a configuration that takes the guard's failure domain out of service.
fn domain_out() -> GuardMessage {
    let mut view = ControlView::default();
    view.domains_out.push(domain());
    GuardMessage::Control(Arc::new(view))
}

// Guards against running a request in a failure domain that was taken out of service while the
// request waited for fresh load information.
#[tokio::test(start_paused = true)]
async fn calls_waiting_for_load_are_refused_when_the_domain_goes_out_of_service() {
    let mut fixture = Fixture::start();
    fixture.wait_for_probe().await;
    fixture.report_healthy().await;
    advance(STALE_LOAD_AGE).await;
    let now = fixture.clock.now();
    let guard = fixture.guard.clone();
    let admitted = tokio::spawn(async move {
        guard
            .ask(|reply| admit_message(now, Fingerprint(1), reply))
            .await
    });
    fixture.wait_for_probe().await;
    fixture.send(domain_out()).await;
    fixture.report_healthy().await;
    match admitted.await.expect("the call ends") {
        Ok(AdmissionDecision::Refused { cause, .. }) => assert_eq!(cause, Cause::DomainOut),
        other => panic!("not refused: {other:?}"),
    }
}

/// Returns whether a call was refused because the request crashes upstreams.
fn is_refused_as_suspect(admitted: &AdmissionDecision) -> bool {
    let cause = Cause::CrashSuspect;
    matches!(admitted, AdmissionDecision::Refused { cause: c, .. } if *c == cause)
}

// Guards against a request that crashes one upstream after another because each daemon counts only
// the crashes of its own upstream.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_upstreams_is_refused_by_every_daemon() {
    let crashing = Fingerprint(7);
    let mut first = Fixture::start_with_healthy_upstream().await;
    let second = Fixture::start_with_healthy_upstream().await;
    // The upstream restarts as another process after each crash; the third crash reaches the limit.
    for process in ["i-2", "i-3", "i-4"] {
        assert!(!is_refused_as_suspect(&second.admit(crashing).await));
        first.crash(crashing, process).await;
        let suspects = first.shared_suspects().await;
        second.send(GuardMessage::CrashSuspects(suspects)).await;
    }
    for guard in [&first, &second] {
        assert!(is_refused_as_suspect(&guard.admit(crashing).await));
        assert!(!is_refused_as_suspect(&guard.admit(Fingerprint(8)).await));
    }
}

// Guards against refusing a harmless request because it was running when another request crashed
// the upstream: a request that had been running for a while did not cause the crash.
#[tokio::test(start_paused = true)]
async fn requests_that_started_long_before_a_crash_are_not_suspects() {
    let harmless = Fingerprint(9);
    let fixture = Fixture::start_with_healthy_upstream().await;
    for process in ["i-2", "i-3", "i-4"] {
        let AdmissionDecision::Admitted(permit) = fixture.admit(harmless).await else {
            panic!("not admitted");
        };
        // Longer than a request may run and still count as the cause of a crash.
        advance(STALE_LOAD_AGE).await;
        // The replacement is seen before the connection is reported as lost.
        fixture.report_healthy_as(process).await;
        let id = permit.id;
        permit.report.finish(PermitReport {
            id,
            outcome: PermitOutcome::Lost,
            load: None,
            signals: None,
        });
        fixture.send_health(None).await;
        fixture.report_healthy_as(process).await;
    }
    assert!(!is_refused_as_suspect(&fixture.admit(harmless).await));
}
