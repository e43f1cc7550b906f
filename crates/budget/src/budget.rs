//! Budget of one daemon.

use cornelvalve_model::Moment;
use derive_more::Display;

use crate::BudgetSettings;
use crate::bucket::Bucket;

/// Class of control traffic.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Probes and their replies, with piggybacked news.
    #[display("probe")]
    Probe,
    /// Updates of member records outside of probes: joins and anti-entropy.
    #[display("news")]
    News,
    /// Configuration pulls, notices and queries.
    #[display("configuration")]
    Configuration,
    /// Polls of the upstream's load.
    #[display("load")]
    Load,
}

impl TrafficClass {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Probe, Self::News, Self::Configuration, Self::Load];
}

/// Whether a message may be sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SendDecision {
    /// The message was charged and may be sent.
    #[display("send")]
    Send,
    /// The message is over budget and must not be sent.
    #[display("drop")]
    Drop,
}

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Sum of their bytes.
    pub bytes: u64,
}

impl Count {
    fn add(&mut self, bytes: u32) {
        self.messages += 1;
        self.bytes += u64::from(bytes);
    }
}

/// What was sent and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Messages within the budget.
    pub sent: Count,
    /// Messages over budget.
    pub dropped: Count,
}

impl TrafficCounters {
    fn add(&mut self, verdict: SendDecision, bytes: u32) {
        match verdict {
            SendDecision::Send => self.sent.add(bytes),
            SendDecision::Drop => self.dropped.add(bytes),
        }
    }
}

/// Token buckets and counters of one daemon.
#[derive(Clone, Debug)]
pub struct Budget {
    classes: [(Bucket, TrafficCounters); TrafficClass::ALL.len()],
    link: (Bucket, TrafficCounters),
}

impl Budget {
    /// Creates a budget whose buckets are empty at the origin of the clock.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        let start = |rate| (Bucket::new(rate), TrafficCounters::default());
        Self {
            classes: TrafficClass::ALL.map(|class| start(settings.rate(class))),
            link: start(settings.region_link),
        }
    }

    /// Charges a message to its class, and to the region link if it crosses.
    ///
    /// A message that one of the two buckets cannot pay is dropped and costs neither.
    pub fn charge(
        &mut self,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        self.charge_if(Bucket::holds, class, bytes, crosses_region, now)
    }

    /// Charges a transfer that cannot be cut to the size of a burst, such as a snapshot.
    ///
    /// One larger than a burst needs a full bucket and leaves a debt that is repaid before anything
    /// else is granted, so that the sustained rate holds.
    pub fn charge_bulk(
        &mut self,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        self.charge_if(Bucket::admits, class, bytes, crosses_region, now)
    }

    fn charge_if(
        &mut self,
        admits: impl Fn(&Bucket, u32) -> bool,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        let (bucket, counters) = &mut self.classes[class as usize];
        let (link, link_counters) = &mut self.link;
        bucket.refill(now);
        link.refill(now);
        let paid = admits(bucket, bytes) && (!crosses_region || admits(link, bytes));
        let verdict = if paid {
            SendDecision::Send
        } else {
            SendDecision::Drop
        };
        if paid {
            bucket.take(bytes);
        }
        counters.add(verdict, bytes);
        if crosses_region {
            if paid {
                link.take(bytes);
            }
            link_counters.add(verdict, bytes);
        }
        verdict
    }

    /// Returns the counters of a class.
    #[must_use]
    pub fn counters(&self, class: TrafficClass) -> TrafficCounters {
        self.classes[class as usize].1
    }

    /// Returns the counters of the region link.
    #[must_use]
    pub fn region_link_counters(&self) -> TrafficCounters {
        self.link.1
    }
}
