//! Budget service: decides whether control traffic may be sent and counts what is sent and dropped.

use cornelvalve_budget::{
    Budget, BudgetSettings, RateLimit, SendDecision, TrafficClass, TrafficCounters,
};
use cornelvalve_kernel::{Context, ReplySender, ServiceResult};

use crate::config::Budgets;

/// Traffic counters of one class since the service started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassCount {
    /// Traffic class; `None` stands for the region link, which carries the traffic of all classes
    /// to other regions.
    pub(crate) class: Option<TrafficClass>,
    /// Messages and bytes that were sent and dropped.
    pub(crate) counters: TrafficCounters,
}

/// Messages to the budget service.
#[derive(Debug)]
pub(crate) enum BudgetMessage {
    /// Charges a message to its budget and returns whether it may be sent.
    Charge {
        /// Class of the traffic.
        class: TrafficClass,
        /// Size in bytes, including transport headers.
        bytes: u32,
        /// Whether the message goes to another region.
        crosses_region: bool,
        /// Receives the verdict.
        reply: ReplySender<SendDecision>,
    },
    /// Charges a transfer that may exceed the burst size of the budget and returns whether it may
    /// be sent.
    ChargeBulk {
        /// Class of the traffic.
        class: TrafficClass,
        /// Size in bytes, including transport headers.
        bytes: u32,
        /// Whether the transfer goes to another region.
        crosses_region: bool,
        /// Receives the verdict.
        reply: ReplySender<SendDecision>,
    },
    /// Returns the counters of each class and of the region link.
    Counters {
        /// Receives the counters.
        reply: ReplySender<Vec<ClassCount>>,
    },
}

/// Returns the rates and burst sizes of the token buckets for the budgets in the daemon options.
///
/// The sustained rate of a bucket is lower than its budget, so that the traffic stays within the
/// budget even if it includes a full burst.
pub(crate) fn bucket_settings(budgets: &Budgets) -> BudgetSettings {
    BudgetSettings {
        probe: RateLimit::with_window_average(budgets.probe),
        news: RateLimit::with_window_average(budgets.news),
        configuration: RateLimit::with_window_average(budgets.configuration),
        load: RateLimit::with_window_average(budgets.load),
        region_link: RateLimit::with_window_average(budgets.region_link),
    }
}

/// Runs the budget service.
pub(crate) async fn run_budget(
    mut context: Context<BudgetMessage>,
    settings: BudgetSettings,
) -> ServiceResult {
    let mut budget = Budget::new(settings);
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        match message {
            Some(BudgetMessage::Charge {
                class,
                bytes,
                crosses_region,
                reply,
            }) => reply.send(budget.charge(class, bytes, crosses_region, context.clock.now())),
            Some(BudgetMessage::ChargeBulk {
                class,
                bytes,
                crosses_region,
                reply,
            }) => {
                let now = context.clock.now();
                reply.send(budget.charge_bulk(class, bytes, crosses_region, now));
            }
            Some(BudgetMessage::Counters { reply }) => reply.send(counters(&budget)),
            None => return Ok(()),
        }
    }
}

/// Returns the counters of each class, followed by those of the region link.
fn counters(budget: &Budget) -> Vec<ClassCount> {
    let classes = TrafficClass::ALL.into_iter().map(|class| ClassCount {
        class: Some(class),
        counters: budget.counters(class),
    });
    let region_link = ClassCount {
        class: None,
        counters: budget.region_link_counters(),
    };
    classes.chain(std::iter::once(region_link)).collect()
}
