//! Budget service: the one point at which control traffic is accounted for.

use cornelvalve_budget::{
    Budget, BudgetSettings, RateLimit, SendDecision, TrafficClass, TrafficCounters,
};
use cornelvalve_kernel::{Context, ReplySender, ServiceResult};

use crate::config::Budgets;

/// Bytes and messages of one class since the start of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassCount {
    /// The class; `None` stands for the region link, which all classes share.
    pub(crate) class: Option<TrafficClass>,
    /// What was sent and dropped.
    pub(crate) counters: TrafficCounters,
}

/// Messages to the budget.
#[derive(Debug)]
pub(crate) enum BudgetMessage {
    /// Asks for permission to send.
    Charge {
        /// Class of the traffic.
        class: TrafficClass,
        /// Size including headers of the transport.
        bytes: u32,
        /// Whether it crosses the link between regions.
        crosses_region: bool,
        /// Receives the verdict.
        reply: ReplySender<SendDecision>,
    },
    /// Asks for permission for a transfer that may be larger than a burst.
    ChargeBulk {
        /// Class of the traffic.
        class: TrafficClass,
        /// Size including headers of the transport.
        bytes: u32,
        /// Whether it crosses the link between regions.
        crosses_region: bool,
        /// Receives the verdict.
        reply: ReplySender<SendDecision>,
    },
    /// Reads the counters.
    Counters {
        /// Receives them.
        reply: ReplySender<Vec<ClassCount>>,
    },
}

/// Converts the configured budgets.
pub(crate) fn settings(budgets: &Budgets) -> BudgetSettings {
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

fn counters(budget: &Budget) -> Vec<ClassCount> {
    let classes = TrafficClass::ALL.into_iter().map(|class| ClassCount {
        class: Some(class),
        counters: budget.counters(class),
    });
    let link = ClassCount {
        class: None,
        counters: budget.region_link_counters(),
    };
    classes.chain(std::iter::once(link)).collect()
}
