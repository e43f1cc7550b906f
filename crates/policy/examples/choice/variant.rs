//! Faults that the simulation injects, and the load balancing strategies that it compares.

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// One upstream becomes ten times slower.
    Straggler,
    /// All attempts at one upstream fail immediately, as if it refused connections.
    FailsFast,
    /// One upstream becomes cold without announcing it.
    Cold,
    /// The load that upstreams report is up to 200 ms old.
    StaleHints,
    /// [`Fault::StaleHints`] and [`Fault::Straggler`] together.
    StaleStraggler,
    /// The offered load is twice the total capacity for five seconds.
    Overload,
}

/// Strategy for picking one of the candidate endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PickerKind {
    RoundRobin,
    LeastOutstanding,
    PowerOfTwo,
}

/// Load balancing strategy.
#[derive(Clone, Copy)]
pub(crate) struct Variant {
    /// Name in the output.
    pub(crate) name: &'static str,
    pub(crate) picker: PickerKind,
    /// Whether the score of an endpoint increases with its latency.
    pub(crate) penalize_stragglers: bool,
    /// Whether slow and failing endpoints are ejected.
    pub(crate) ejection: bool,
    /// Score penalty for one recent failure, expressed as a number of outstanding requests.
    pub(crate) failure_penalty: f64,
    /// Whether the balancer uses the load that upstreams report.
    pub(crate) hints: bool,
    /// Whether each daemon has a circuit breaker per endpoint.
    pub(crate) breaker: bool,
    /// Whether requests are hedged.
    pub(crate) hedging: bool,
    /// Whether upstreams are protected by admission control.
    pub(crate) admission: bool,
}

/// Power of two choices by load alone, without penalties or ejection.
pub(crate) const PLAIN: Variant = Variant {
    name: "power of two, plain",
    picker: PickerKind::PowerOfTwo,
    penalize_stragglers: false,
    ejection: false,
    failure_penalty: 0.0,
    hints: true,
    breaker: false,
    hedging: false,
    admission: true,
};

/// Strategy that was chosen for the daemon: penalties and ejection.
pub(crate) const CHOSEN: Variant = Variant {
    name: "chosen (penalties, ejection)",
    penalize_stragglers: true,
    ejection: true,
    failure_penalty: 4.0,
    ..PLAIN
};

/// All strategies, in the order of the output.
pub(crate) const VARIANTS: [Variant; 12] = [
    Variant {
        name: "round robin",
        picker: PickerKind::RoundRobin,
        ..PLAIN
    },
    Variant {
        name: "least outstanding",
        picker: PickerKind::LeastOutstanding,
        ..PLAIN
    },
    PLAIN,
    Variant {
        name: "plain without hints",
        hints: false,
        ..PLAIN
    },
    Variant {
        name: "plain + straggler penalty",
        penalize_stragglers: true,
        ..PLAIN
    },
    Variant {
        name: "plain + failure penalty",
        failure_penalty: 4.0,
        ..PLAIN
    },
    Variant {
        name: "plain + ejection",
        ejection: true,
        ..PLAIN
    },
    Variant {
        name: "plain + breaker",
        breaker: true,
        ..PLAIN
    },
    CHOSEN,
    Variant {
        name: "chosen without hints",
        hints: false,
        ..CHOSEN
    },
    Variant {
        name: "chosen without admission",
        admission: false,
        ..CHOSEN
    },
    Variant {
        name: "chosen + hedging",
        hedging: true,
        ..CHOSEN
    },
];
