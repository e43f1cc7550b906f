//! Scrape service: serves the metrics of the daemon to Prometheus over HTTP.

use std::collections::HashMap;
use std::net::TcpListener as StdListener;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use cornelvalve_budget::TrafficClass;
use cornelvalve_kernel::{Context, Mailbox, ReplySender, ServiceResult};
use cornelvalve_model::MemberState;
use tokio::net::TcpListener;

use crate::budget::{BudgetMessage, ClassCount};
use crate::catalog::CatalogMessage;
use crate::guard::GuardMessage;
use crate::membership::{MemberView, MembershipMessage};
use crate::metrics::Metrics;
use crate::names::{BUDGET, CATALOG, GUARD, MEMBERSHIP, SCRAPE};

/// All member states; each has its own sample in the metric `cornelvalve_members`.
const MEMBER_STATES: [MemberState; 5] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Left,
    MemberState::Dead,
];

/// Messages to the scrape service.
#[derive(Debug)]
pub(crate) enum ScrapeMessage {
    /// Collects and returns all metrics.
    Scrape {
        /// Receives the metrics as text, or an error message if they cannot be written as text.
        reply: ReplySender<Result<String, String>>,
    },
}

/// Runs the scrape service.
pub(crate) async fn run_scrape(
    mut context: Context<ScrapeMessage>,
    listener: Arc<StdListener>,
    metrics: Metrics,
) -> ServiceResult {
    let routes = Router::new()
        .route("/metrics", get(scrape))
        .with_state(context.registry.mailbox(SCRAPE)?);
    let listener = TcpListener::from_std(listener.try_clone()?)?;
    let server = tokio::spawn(async move { axum::serve(listener, routes).await });
    let mut collector = Collector {
        metrics,
        counted_bytes: HashMap::new(),
        budget: context.registry.mailbox(BUDGET)?,
        guard: context.registry.mailbox(GUARD)?,
        membership: context.registry.mailbox(MEMBERSHIP)?,
        catalog: context.registry.mailbox(CATALOG)?,
    };
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => break,
            message = context.inbox.recv() => message,
        };
        let Some(ScrapeMessage::Scrape { reply }) = message else {
            break;
        };
        collector.collect().await;
        reply.send(collector.metrics.render().map_err(|e| e.to_string()));
    }
    server.abort();
    Ok(())
}

/// Handles a request for the metrics.
async fn scrape(State(service): State<Mailbox<ScrapeMessage>>) -> Response {
    let asked = service.ask(|reply| ScrapeMessage::Scrape { reply });
    match asked.await {
        Ok(Ok(text)) => text.into_response(),
        Ok(Err(e)) => (StatusCode::INTERNAL_SERVER_ERROR, e).into_response(),
        Err(e) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()).into_response(),
    }
}

/// Updates the metrics from the state of the other services.
struct Collector {
    metrics: Metrics,
    /// Bytes of control traffic sent and dropped that the metrics already count, by class label.
    counted_bytes: HashMap<&'static str, (u64, u64)>,
    budget: Mailbox<BudgetMessage>,
    guard: Mailbox<GuardMessage>,
    membership: Mailbox<MembershipMessage>,
    catalog: Mailbox<CatalogMessage>,
}

impl Collector {
    /// Asks each service and updates its metrics; those of a service that is down keep their
    /// values.
    async fn collect(&mut self) {
        if let Ok(counts) = self
            .budget
            .ask(|reply| BudgetMessage::Counters { reply })
            .await
        {
            self.count_control(&counts);
        }
        if let Ok(loads) = self.guard.ask(|reply| GuardMessage::Load { reply }).await {
            for load in &loads {
                self.metrics
                    .set_admission(&load.upstream.service, load.load);
            }
        }
        let asked = self
            .membership
            .ask(|reply| MembershipMessage::Members { reply });
        if let Ok(members) = asked.await {
            self.count_members(&members);
        }
        if let Ok(catalog) = self
            .catalog
            .ask(|reply| CatalogMessage::InForce { reply })
            .await
        {
            self.metrics.set_revision(catalog.revision());
        }
    }

    fn count_control(&mut self, counts: &[ClassCount]) {
        for count in counts {
            let label = class_label(count.class);
            let sent = count.counters.sent.bytes;
            let dropped = count.counters.dropped.bytes;
            let counted = self.counted_bytes.entry(label).or_default();
            // The budget service counts from zero again after a restart. The difference is then
            // negative, and the bytes counted since the restart are not added.
            self.metrics
                .count_control_sent(label, sent.saturating_sub(counted.0));
            self.metrics
                .count_control_dropped(label, dropped.saturating_sub(counted.1));
            *counted = (sent, dropped);
        }
    }

    /// Sets the number of members in each state, regardless of whether their regions can be
    /// reached.
    fn count_members(&self, members: &[MemberView]) {
        for state in MEMBER_STATES {
            let in_state = members.iter().filter(|m| m.member.state == state);
            let count = u64::try_from(in_state.count()).unwrap_or(u64::MAX);
            self.metrics.set_members(state, count);
        }
    }
}

/// Returns the value of the label `class`; `None` stands for the region link.
fn class_label(class: Option<TrafficClass>) -> &'static str {
    match class {
        Some(TrafficClass::Probe) => "probe",
        Some(TrafficClass::News) => "news",
        Some(TrafficClass::Configuration) => "configuration",
        Some(TrafficClass::Load) => "load",
        None => "region-link",
    }
}
