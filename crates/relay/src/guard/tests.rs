//! The guard service beside silent neighbours, with a clock that the test sets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cornelvalve_kernel::{
    Clock, Context, Kernel, Mailbox, Name, Reply, ServiceOptions, ServiceResult,
};
use cornelvalve_model::{FailureDomain, Moment, Region, ServiceName, WallTime};
use cornelvalve_policy::{ColdTolerance, WorkKey};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::{GuardSettings, run_guard};
use crate::desired::ControlView;
use crate::messages::{AdmitCall, Admitted, GuardMessage, MonitorMessage};
use crate::names::{CONTROL, GUARD, LOADS, MEMBERS, MONITOR, ROUTER};
use crate::ports::{Cause, HealthReport, UpstreamLoad};

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

    fn wall(&self) -> WallTime {
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
    _kernel: Kernel,
}

impl Fixture {
    fn start() -> Self {
        let clock = Arc::new(TestClock::default());
        let options = ServiceOptions::default();
        let (asked, questions) = mpsc::unbounded_channel();
        let monitor = move |mut context: Context<MonitorMessage>| {
            let asked = asked.clone();
            async move {
                while let Some(message) = context.inbox.recv().await {
                    asked.send(message)?;
                }
                Ok(())
            }
        };
        let settings = GuardSettings {
            region: region(),
            domain: domain(),
            service: service(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            tolerance: ColdTolerance::NONE,
        };
        let kernel = Kernel::builder(Arc::clone(&clock) as Arc<dyn Clock>)
            .service(CONTROL, options, ignore)
            .service(MEMBERS, options, ignore)
            .service(ROUTER, options, ignore)
            .service(LOADS, options, ignore)
            .service(MONITOR, options, monitor)
            .service(GUARD, options, move |context| {
                run_guard(context, settings.clone())
            })
            .start();
        Self {
            clock,
            guard: mailbox(&kernel, GUARD),
            questions,
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
        self.send(GuardMessage::Health(Some(healthy()))).await;
        let work = WorkKey(1);
        let asked = self.guard.ask(|reply| GuardMessage::Load { work, reply });
        asked.await.expect("the guard runs");
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

fn healthy() -> HealthReport {
    HealthReport {
        healthy: true,
        instance: Some("i-1".into()),
        cold_for: None,
        load: Some(UpstreamLoad {
            running: 0,
            waiting: 0,
            slots: 4,
            slowdown: Some(1.0),
        }),
    }
}

fn call(now: Moment, reply: Reply<Admitted>) -> GuardMessage {
    let call = AdmitCall {
        service: service(),
        homes: SmallVec::new(),
        work: WorkKey(1),
        again: false,
        priority: 1,
        objective: now + CALL_TIME,
        deadline: now + CALL_TIME,
        elsewhere: None,
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
    let admitted = tokio::spawn(async move { guard.ask(|reply| call(now, reply)).await });
    fixture.asked().await;
    fixture.send(domain_out()).await;
    fixture.healthy().await;
    match admitted.await.expect("the call ends") {
        Ok(Admitted::Refused { cause, .. }) => assert_eq!(cause, Cause::DomainOut),
        other => panic!("not refused: {other:?}"),
    }
}
