//! Scrape service: metrics in Prometheus text.

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

/// States in which members are counted.
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
    /// Collects all metrics.
    Scrape {
        /// Receives them as text, or the reason why there is none.
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
    let mut scraper = Scraper {
        metrics,
        reported: HashMap::new(),
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
        scraper.collect().await;
        reply.send(scraper.metrics.render().map_err(|e| e.to_string()));
    }
    server.abort();
    Ok(())
}

async fn scrape(State(service): State<Mailbox<ScrapeMessage>>) -> Response {
    let asked = service.ask(|reply| ScrapeMessage::Scrape { reply });
    match asked.await {
        Ok(Ok(text)) => text.into_response(),
        Ok(Err(e)) => (StatusCode::INTERNAL_SERVER_ERROR, e).into_response(),
        Err(e) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()).into_response(),
    }
}

/// Collects the figures of the other services into the instruments.
struct Scraper {
    metrics: Metrics,
    /// Control bytes sent and dropped that the counters include already.
    reported: HashMap<&'static str, (u64, u64)>,
    budget: Mailbox<BudgetMessage>,
    guard: Mailbox<GuardMessage>,
    membership: Mailbox<MembershipMessage>,
    catalog: Mailbox<CatalogMessage>,
}

impl Scraper {
    /// Collects from each service; one that restarts is left out this time.
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
            .ask(|reply| CatalogMessage::Current { reply })
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
            let reported = self.reported.entry(label).or_default();
            // The budget counts from zero again after its restart.
            self.metrics
                .count_control_sent(label, sent.saturating_sub(reported.0));
            self.metrics
                .count_control_dropped(label, dropped.saturating_sub(reported.1));
            *reported = (sent, dropped);
        }
    }

    fn count_members(&self, members: &[MemberView]) {
        for state in MEMBER_STATES {
            let in_state = members.iter().filter(|m| m.member.state == state);
            let count = u64::try_from(in_state.count()).unwrap_or(u64::MAX);
            self.metrics.set_members(state, count);
        }
    }
}

fn class_label(class: Option<TrafficClass>) -> &'static str {
    match class {
        Some(TrafficClass::Probe) => "probe",
        Some(TrafficClass::News) => "news",
        Some(TrafficClass::Configuration) => "configuration",
        Some(TrafficClass::Load) => "load",
        None => "region-link",
    }
}
