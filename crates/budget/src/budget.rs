//! Decides which control messages one daemon may send, and counts sent and dropped bytes.

use cornelvalve_model::Moment;
use derive_more::Display;

use crate::BudgetSettings;
use crate::bucket::Bucket;

/// Class of control traffic; each class has a token bucket of its own.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Probes and their replies, including the member updates that they piggyback.
    #[display("probe")]
    Probe,
    /// Member updates outside of probes: joins and anti-entropy.
    #[display("news")]
    News,
    /// Transfers of configuration records between daemons, and the notices and queries of revisions
    /// that precede them.
    #[display("configuration")]
    Configuration,
    /// Polls of the load of upstreams.
    #[display("load")]
    Load,
}

impl TrafficClass {
    /// All classes, in declaration order, so that `class as usize` is the index of a class.
    pub const ALL: [Self; 4] = [Self::Probe, Self::News, Self::Configuration, Self::Load];
}

/// Decision whether a message may be sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SendDecision {
    /// The message was charged to the budget and may be sent.
    #[display("send")]
    Send,
    /// The message is over budget and must not be sent.
    #[display("drop")]
    Drop,
}

/// Number of messages and sum of their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of messages.
    pub messages: u64,
    /// Sum of the bytes of these messages.
    pub bytes: u64,
}

impl TrafficCount {
    fn add(&mut self, bytes: u32) {
        self.messages += 1;
        self.bytes += u64::from(bytes);
    }
}

/// Counts of sent and dropped messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Messages that were within the budget and allowed to be sent.
    pub sent: TrafficCount,
    /// Messages that were over budget.
    pub dropped: TrafficCount,
}

impl TrafficCounters {
    fn add(&mut self, decision: SendDecision, bytes: u32) {
        match decision {
            SendDecision::Send => self.sent.add(bytes),
            SendDecision::Drop => self.dropped.add(bytes),
        }
    }
}

/// Token buckets and counters for the control traffic that one daemon sends.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Bucket and counters of each class, in the order of [`TrafficClass::ALL`].
    classes: [(Bucket, TrafficCounters); TrafficClass::ALL.len()],
    /// Bucket and counters of all messages to other regions.
    link: (Bucket, TrafficCounters),
}

impl Budget {
    /// Creates a budget whose buckets are empty at the origin of the clock.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        let empty = |rate| (Bucket::new(rate), TrafficCounters::default());
        Self {
            classes: TrafficClass::ALL.map(|class| empty(settings.rate(class))),
            link: empty(settings.region_link),
        }
    }

    /// Charges a message to its class, and also to the region link if it goes to another region.
    ///
    /// The message is dropped if either bucket has too few tokens. A dropped message takes no
    /// tokens from either.
    pub fn charge(
        &mut self,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        self.charge_if(Bucket::has_tokens, class, bytes, crosses_region, now)
    }

    /// Charges a transfer that cannot be split into parts of at most a burst, such as a snapshot.
    ///
    /// A transfer larger than a burst needs a full bucket and leaves the bucket in debt. The debt
    /// is repaid before the bucket allows anything else, so that the sustained rate is kept.
    pub fn charge_bulk(
        &mut self,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        self.charge_if(Bucket::allows_bulk, class, bytes, crosses_region, now)
    }

    /// Charges a message if its class, and the region link for a message to another region, have
    /// the tokens that `is_allowed` requires; counts it as sent or dropped.
    fn charge_if(
        &mut self,
        is_allowed: impl Fn(&Bucket, u32) -> bool,
        class: TrafficClass,
        bytes: u32,
        crosses_region: bool,
        now: Moment,
    ) -> SendDecision {
        let (bucket, counters) = &mut self.classes[class as usize];
        let (link, link_counters) = &mut self.link;
        bucket.refill(now);
        link.refill(now);
        let allowed = is_allowed(bucket, bytes) && (!crosses_region || is_allowed(link, bytes));
        let decision = if allowed {
            SendDecision::Send
        } else {
            SendDecision::Drop
        };
        if allowed {
            bucket.take(bytes);
        }
        counters.add(decision, bytes);
        if crosses_region {
            if allowed {
                link.take(bytes);
            }
            link_counters.add(decision, bytes);
        }
        decision
    }

    /// Returns the counters of a class.
    #[must_use]
    pub fn counters(&self, class: TrafficClass) -> TrafficCounters {
        self.classes[class as usize].1
    }

    /// Returns the counters of the messages to other regions.
    #[must_use]
    pub fn region_link_counters(&self) -> TrafficCounters {
        self.link.1
    }
}
