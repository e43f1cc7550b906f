//! The guard service beside silent neighbours, with a clock that the test sets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cornelvalve_kernel::{
    Clock, Context, Kernel, Mailbox, Name, ReplySender, ServiceOptions, ServiceResult,
};
use cornelvalve_model::{FailureDomain, Fingerprint, Moment, Region, ServiceName, WallTime};
use cornelvalve_policy::{ColdTolerance, SharedSuspect, WorkKey};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::{GuardSettings, run_guard};
use crate::desired::ControlView;
use crate::messages::{
    AdmissionDecision, AdmissionRequest, GuardMessage, MonitorMessage, NoticesMessage,
    PermitOutcome, PermitReport,
};
use crate::names::{CONTROL, GUARD, MEMBERS, MONITOR, NOTICES, ROUTER};
use crate::ports::{Cause, HealthReport, UpstreamLoad};
use crate::testing::pass_on;

/// Age at which load information is asked for again before a call is admitted.
const STALE: Duration = Duration::from_secs(1);

/// Time of a call until its objective and deadline.
const CALL_TIME: Duration = Duration::from_secs(60);

/// Clock that stands until the test moves it.
#[derive(Default)]
struct TestClock(AtomicU64);

impl TestClock {
    fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).expect("fits");
        self.0.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Moment {
        Moment(self.0.load(Ordering::SeqCst))
    }

    fn wall_time(&self) -> WallTime {
        WallTime::default()
    }
}

/// Takes messages and does nothing with them.
async fn ignore<M: Send + 'static>(mut context: Context<M>) -> ServiceResult {
    while context.inbox.recv().await.is_some() {}
    Ok(())
}

/// Guard with an upstream whose health path answers when the test says so.
struct Fixture {
    clock: Arc<TestClock>,
    guard: Mailbox<GuardMessage>,
    questions: mpsc::UnboundedReceiver<MonitorMessage>,
    notices: mpsc::UnboundedReceiver<NoticesMessage>,
    _kernel: Kernel,
}

impl Fixture {
    fn start() -> Self {
        let clock = Arc::new(TestClock::default());
        let options = ServiceOptions::default();
        let (asked, questions) = mpsc::unbounded_channel();
        let (noticed, notices) = mpsc::unbounded_channel();
        let settings = GuardSettings {
            region: region(),
            domain: domain(),
            service: service(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            tolerance: ColdTolerance::NONE,
        };
        let kernel = Kernel::builder(Arc::clone(&clock) as Arc<dyn Clock>)
            .add_service(CONTROL, options, ignore)
            .add_service(MEMBERS, options, ignore)
            .add_service(ROUTER, options, ignore)
            .add_service(NOTICES, options, move |context| {
                pass_on(context, noticed.clone())
            })
            .add_service(MONITOR, options, move |context| {
                pass_on(context, asked.clone())
            })
            .add_service(GUARD, options, move |context| {
                run_guard(context, settings.clone())
            })
            .start();
        Self {
            clock,
            guard: mailbox(&kernel, GUARD),
            questions,
            notices,
            _kernel: kernel,
        }
    }

    /// Waits until the guard asks for the upstream's health.
    async fn asked(&mut self) {
        self.questions.recv().await.expect("the guard asks");
    }

    async fn send(&self, message: GuardMessage) {
        self.guard.send(message).await.expect("the guard runs");
    }

    /// Answers for the upstream's health path and waits until the guard has taken note.
    async fn healthy(&self) {
        self.healthy_as("i-1").await;
    }

    /// Answers for the health path of a process.
    async fn healthy_as(&self, process: &str) {
        self.send(GuardMessage::Health(Some(healthy(process))))
            .await;
        let work = WorkKey(1);
        let asked = self.guard.ask(|reply| GuardMessage::Load { work, reply });
        asked.await.expect("the guard runs");
    }
}

impl Fixture {
    /// Starts a guard whose upstream is healthy.
    async fn ready() -> Self {
        let mut fixture = Self::start();
        fixture.asked().await;
        fixture.healthy().await;
        fixture
    }

    async fn admit(&self, request: Fingerprint) -> AdmissionDecision {
        let now = self.clock.now();
        let asked = self.guard.ask(|reply| call(now, request, reply));
        asked.await.expect("the guard answers")
    }

    /// Lets the upstream die while it runs a request, and come back as another process.
    async fn crash(&mut self, request: Fingerprint, process: &str) {
        let AdmissionDecision::Admitted(permit) = self.admit(request).await else {
            panic!("not admitted before the crash");
        };
        let id = permit.id;
        permit.report.finish(PermitReport {
            id,
            outcome: PermitOutcome::Lost,
            load: None,
        });
        self.asked().await;
        self.send(GuardMessage::Health(None)).await;
        self.healthy_as(process).await;
    }

    /// Returns the suspects that the guard tells other daemons next.
    async fn told(&mut self) -> Vec<SharedSuspect> {
        loop {
            let notice = self.notices.recv().await.expect("the guard tells");
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

fn healthy(process: &str) -> HealthReport {
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
    }
}

fn call(now: Moment, request: Fingerprint, reply: ReplySender<AdmissionDecision>) -> GuardMessage {
    let call = AdmissionRequest {
        service: service(),
        home_regions: SmallVec::new(),
        work: WorkKey(1),
        is_retry: false,
        priority: 1,
        objective: now + CALL_TIME,
        deadline: now + CALL_TIME,
        expected_elsewhere: None,
        fingerprint: request,
    };
    GuardMessage::Admit {
        call: Box::new(call),
        reply,
    }
}

fn domain_out() -> GuardMessage {
    let mut view = ControlView::default();
    view.domains_out.push(domain());
    GuardMessage::Control(Arc::new(view))
}

// Guards against a request that runs in a failure domain which was taken out of service while the
// request waited for fresh load information.
#[tokio::test]
async fn a_domain_taken_out_refuses_calls_that_wait_for_the_load() {
    let mut fixture = Fixture::start();
    fixture.asked().await;
    fixture.healthy().await;
    fixture.clock.advance(STALE);
    let now = fixture.clock.now();
    let guard = fixture.guard.clone();
    let admitted =
        tokio::spawn(async move { guard.ask(|reply| call(now, Fingerprint(1), reply)).await });
    fixture.asked().await;
    fixture.send(domain_out()).await;
    fixture.healthy().await;
    match admitted.await.expect("the call ends") {
        Ok(AdmissionDecision::Refused { cause, .. }) => assert_eq!(cause, Cause::DomainOut),
        other => panic!("not refused: {other:?}"),
    }
}

/// Tells whether a call was refused because it crashes upstreams.
fn is_suspect(admitted: &AdmissionDecision) -> bool {
    let cause = Cause::CrashSuspect;
    matches!(admitted, AdmissionDecision::Refused { cause: c, .. } if *c == cause)
}

// Guards against a request that crashes one upstream after the other, wherever it arrives.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused_by_every_daemon() {
    let crashing = Fingerprint(7);
    let mut first = Fixture::ready().await;
    let second = Fixture::ready().await;
    for process in ["i-2", "i-3", "i-4"] {
        assert!(!is_suspect(&second.admit(crashing).await));
        first.crash(crashing, process).await;
        let told = first.told().await;
        second.send(GuardMessage::CrashSuspects(told)).await;
    }
    for guard in [&first, &second] {
        assert!(is_suspect(&guard.admit(crashing).await));
        assert!(!is_suspect(&guard.admit(Fingerprint(8)).await));
    }
}

// Guards against innocent requests that are refused because they ran beside one that crashes
// upstreams: a request that runs for a while has not crashed it.
#[tokio::test]
async fn what_ran_for_a_while_before_a_crash_is_no_suspect() {
    let innocent = Fingerprint(9);
    let fixture = Fixture::ready().await;
    for process in ["i-2", "i-3", "i-4"] {
        let AdmissionDecision::Admitted(permit) = fixture.admit(innocent).await else {
            panic!("not admitted");
        };
        fixture.clock.advance(STALE);
        fixture.healthy_as(process).await;
        let id = permit.id;
        permit.report.finish(PermitReport {
            id,
            outcome: PermitOutcome::Lost,
            load: None,
        });
        fixture.send(GuardMessage::Health(None)).await;
        fixture.healthy_as(process).await;
    }
    assert!(!is_suspect(&fixture.admit(innocent).await));
}
