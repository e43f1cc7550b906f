//! Faults and the variants of choice that are compared.

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    Straggler,
    FailsFast,
    /// One upstream turns cold without notice.
    Cold,
    /// Guards report their load as it was up to 200 ms before.
    StaleHints,
    StaleStraggler,
    /// Twice the load that all slots can serve, for five seconds.
    Overload,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum PickerKind {
    RoundRobin,
    LeastOutstanding,
    PowerOfTwo,
}

#[derive(Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) picker: PickerKind,
    pub(crate) penalty: bool,
    pub(crate) ejection: bool,
    pub(crate) failure_penalty: f64,
    pub(crate) hints: bool,
    pub(crate) breaker: bool,
    pub(crate) hedging: bool,
    pub(crate) admission: bool,
}

pub(crate) const PLAIN: Variant = Variant {
    name: "power of two, plain",
    picker: PickerKind::PowerOfTwo,
    penalty: false,
    ejection: false,
    failure_penalty: 0.0,
    hints: true,
    breaker: false,
    hedging: false,
    admission: true,
};

pub(crate) const CHOSEN: Variant = Variant {
    name: "chosen (penalties, ejection)",
    penalty: true,
    ejection: true,
    failure_penalty: 4.0,
    ..PLAIN
};

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
        penalty: true,
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
