//! Named experiments.

use cornelvalve_model::{FailureDomain, Region, RequestClass, ServiceName};
use cornelvalve_standins::{ColdStart, UpstreamFaults};

use crate::{
    Action, Experiment, Noise, PickerKind, Placement, RequestKind, ScriptEvent, ServiceSpec,
    Variant, Via, VmSpec,
};

/// Names that [`builtin`] knows.
pub const BUILTINS: &[&str] = &[
    "path",
    "calculatrice",
    "kitakaze",
    "nested",
    "straggler",
    "noise",
    "fail-fast",
    "cold-start",
    "drain",
    "domain",
    "overload",
];

/// Returns a named experiment.
#[must_use]
pub fn builtin(name: &str) -> Option<Experiment> {
    let experiment = match name {
        "path" => path(),
        "calculatrice" => calculatrice(),
        "kitakaze" => kitakaze(),
        "nested" => nested(),
        "straggler" => straggler(),
        "noise" => noise(),
        "fail-fast" => fail_fast(),
        "cold-start" => cold_start(),
        "drain" => drain(),
        "domain" => domain(),
        "overload" => overload(),
        _ => return None,
    };
    Some(Experiment {
        name: name.to_owned(),
        ..experiment
    })
}

fn service_name(name: &str) -> ServiceName {
    ServiceName::new(name).expect("names of built-in services are valid")
}

fn service(name: &str, class: RequestClass) -> ServiceSpec {
    ServiceSpec {
        name: service_name(name),
        host: format!("{name}.test"),
        class,
    }
}

/// VM in a failure domain; the part before the last `-` names the region.
fn vm(domain: &str, service: Option<&str>, slots: u16) -> VmSpec {
    let region = if domain.starts_with("est") {
        "qc-est"
    } else if domain.starts_with("ouest") {
        "qc-ouest"
    } else {
        domain.split('-').next().unwrap_or(domain)
    };
    VmSpec {
        region: Region::new(region).expect("names of built-in regions are valid"),
        domain: FailureDomain::new(domain).expect("names of built-in domains are valid"),
        service: service.map(service_name),
        slots,
        entry: service.is_none(),
        nested: false,
    }
}

fn kind(name: &str, service: &str, path: &str) -> RequestKind {
    RequestKind {
        name: name.to_owned(),
        weight: 1.0,
        service: service_name(service),
        method: "GET".to_owned(),
        path: path.to_owned(),
        body_bytes: 0,
        answer_bytes: None,
        work_ms: 0,
        spread: false,
        ticket: false,
        nested: 0,
        deadline_ms: 1000,
    }
}

fn variant(name: &str) -> Variant {
    Variant {
        name: name.to_owned(),
        via: Via::System,
        picker: PickerKind::PowerOfTwo,
        plain: false,
        spared: false,
        program: None,
        workers: None,
    }
}

fn direct() -> Variant {
    Variant {
        via: Via::Direct,
        ..variant("direct")
    }
}

/// Strategies that are compared under faults; the first, which the fault spares, is the reference.
fn strategies() -> Vec<Variant> {
    let plain = |name, picker| Variant {
        picker,
        plain: true,
        ..variant(name)
    };
    vec![
        Variant {
            spared: true,
            ..variant("chosen, no fault")
        },
        plain("round robin", PickerKind::RoundRobin),
        plain("least outstanding", PickerKind::LeastOutstanding),
        plain("power of two, plain", PickerKind::PowerOfTwo),
        variant("chosen"),
    ]
}

fn base() -> Experiment {
    Experiment {
        name: String::new(),
        services: Vec::new(),
        vms: Vec::new(),
        mix: Vec::new(),
        variants: vec![direct(), variant("system")],
        rate: 500.0,
        callers: 8,
        warmup_ms: 3000,
        duration_ms: 10_000,
        slice_ms: 500,
        script: Vec::new(),
        noise: None,
        placement: Placement::Threads,
        track_runs: false,
        seed: 1,
    }
}

/// Two daemons and one upstream that does nothing: what the path costs.
fn path() -> Experiment {
    Experiment {
        services: vec![service("estimateur", RequestClass::ByMethod)],
        vms: vec![vm("est-a", None, 10), vm("est-b", Some("estimateur"), 10)],
        mix: vec![RequestKind {
            answer_bytes: Some(1000),
            ..kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        placement: Placement::Processes,
        ..base()
    }
}

/// VMs of a mesh: targets of three services over four failure domains, each also an entry.
fn mesh(domains: [&str; 4], services: [(&str, usize); 3], slots: u16) -> Vec<VmSpec> {
    let vms = services.iter().flat_map(|(name, count)| {
        (0..*count).map(|index| VmSpec {
            entry: true,
            ..vm(domains[index % domains.len()], Some(name), slots)
        })
    });
    vms.collect()
}

fn calculatrice() -> Experiment {
    Experiment {
        services: vec![
            service("estimateur", RequestClass::ByMethod),
            service("remise", RequestClass::AtMostOnce),
            service("flotte", RequestClass::ByMethod),
        ],
        vms: mesh(
            ["est-a", "est-b", "ouest-a", "ouest-b"],
            [("estimateur", 6), ("remise", 4), ("flotte", 4)],
            10,
        ),
        mix: vec![
            RequestKind {
                weight: 0.8,
                work_ms: 3,
                spread: true,
                answer_bytes: Some(2000),
                ..kind("lookup", "estimateur", "/estimate?plate=a1")
            },
            RequestKind {
                weight: 0.15,
                method: "POST".to_owned(),
                body_bytes: 2000,
                work_ms: 5,
                spread: true,
                ticket: true,
                ..kind("filing", "remise", "/file")
            },
            RequestKind {
                weight: 0.05,
                method: "PUT".to_owned(),
                body_bytes: 256 * 1024,
                answer_bytes: Some(100),
                work_ms: 10,
                ..kind("upload", "flotte", "/registry")
            },
        ],
        rate: 400.0,
        ..base()
    }
}

fn kitakaze() -> Experiment {
    Experiment {
        services: vec![
            service("cardview", RequestClass::ByMethod),
            service("ledger", RequestClass::AtMostOnce),
            service("intake", RequestClass::ByMethod),
        ],
        vms: mesh(
            ["ishikari-a", "ishikari-b", "tokachi-a", "tokachi-b"],
            [("cardview", 5), ("ledger", 4), ("intake", 4)],
            12,
        )
        .into_iter()
        .map(|vm| VmSpec {
            nested: vm.service == Some(service_name("cardview")),
            ..vm
        })
        .collect(),
        mix: vec![
            RequestKind {
                weight: 0.6,
                work_ms: 2,
                ..kind("browse", "cardview", "/cards/7")
            },
            RequestKind {
                weight: 0.25,
                work_ms: 1,
                nested: 3,
                ..kind("cross-check", "cardview", "/check")
            },
            RequestKind {
                weight: 0.1,
                method: "POST".to_owned(),
                body_bytes: 500,
                work_ms: 5,
                spread: true,
                ticket: true,
                ..kind("purchase", "ledger", "/purchases")
            },
            RequestKind {
                weight: 0.05,
                method: "PUT".to_owned(),
                body_bytes: 256 * 1024,
                answer_bytes: Some(100),
                work_ms: 10,
                ..kind("upload", "intake", "/bundles")
            },
        ],
        rate: 400.0,
        ..base()
    }
}

/// Calls nested eight deep below the first, each through the entry of its own VM.
fn nested() -> Experiment {
    let target = VmSpec {
        entry: true,
        nested: true,
        ..vm("ishikari-a", Some("cardview"), 100)
    };
    Experiment {
        services: vec![service("cardview", RequestClass::ByMethod)],
        vms: vec![target.clone(), target],
        mix: vec![RequestKind {
            nested: 8,
            deadline_ms: 5000,
            ..kind("cross-check", "cardview", "/check")
        }],
        variants: vec![variant("system")],
        rate: 50.0,
        slice_ms: 0,
        placement: Placement::Processes,
        ..base()
    }
}

/// One entry and six targets in two failure domains of the entry's region.
fn six_targets(variants: Vec<Variant>, script: Vec<ScriptEvent>) -> Experiment {
    let mut vms = vec![vm("est-a", None, 10)];
    // The entry stands alone in its domain, so that all targets are equally near.
    vms.extend((0..6).map(|i| vm(["est-b", "est-c"][i % 2], Some("estimateur"), 10)));
    Experiment {
        services: vec![service("estimateur", RequestClass::ByMethod)],
        vms,
        mix: vec![RequestKind {
            work_ms: 5,
            spread: true,
            answer_bytes: Some(1000),
            ..kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        variants,
        rate: 300.0,
        slice_ms: 0,
        duration_ms: 15_000,
        script,
        track_runs: true,
        ..base()
    }
}

fn at(at_ms: u64, action: Action) -> ScriptEvent {
    ScriptEvent { at_ms, action }
}

fn straggler() -> Experiment {
    let faults = UpstreamFaults {
        straggle_ms: 50,
        ..UpstreamFaults::default()
    };
    six_targets(strategies(), vec![at(0, Action::Faults { vm: 1, faults })])
}

fn noise() -> Experiment {
    Experiment {
        noise: Some(Noise {
            every_ms: 20,
            straggle_ms: 30,
        }),
        ..six_targets(strategies(), Vec::new())
    }
}

fn fail_fast() -> Experiment {
    let faults = UpstreamFaults {
        fail_fast: true,
        ..UpstreamFaults::default()
    };
    six_targets(strategies(), vec![at(0, Action::Faults { vm: 1, faults })])
}

fn cold_start() -> Experiment {
    let faults = UpstreamFaults {
        cold: Some(ColdStart {
            requests: 300,
            factor: 8.0,
        }),
        ..UpstreamFaults::default()
    };
    six_targets(
        strategies(),
        vec![at(3000, Action::Replace { vm: 1, faults })],
    )
}

fn drain() -> Experiment {
    six_targets(strategies(), vec![at(3000, Action::Drain { vm: 1 })])
}

fn domain() -> Experiment {
    let domain = FailureDomain::new("est-c").expect("the name is valid");
    Experiment {
        duration_ms: 25_000,
        ..six_targets(
            vec![
                Variant {
                    spared: true,
                    ..variant("chosen, no fault")
                },
                variant("chosen"),
            ],
            vec![
                at(
                    5000,
                    Action::DomainOut {
                        domain: domain.clone(),
                    },
                ),
                // Entries and guards may need a few seconds; what runs later must run elsewhere.
                at(8000, Action::Mark),
                at(15_000, Action::DomainIn { domain }),
                at(18_000, Action::Mark),
            ],
        )
    }
}

/// Twice what the slots of two targets can serve.
fn overload() -> Experiment {
    let vms = vec![
        vm("est-a", None, 4),
        vm("est-b", Some("estimateur"), 4),
        vm("est-b", Some("estimateur"), 4),
    ];
    Experiment {
        vms,
        mix: vec![RequestKind {
            work_ms: 10,
            deadline_ms: 100,
            ..kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        // Two targets with 4 slots and about 11 ms each serve 727/s.
        rate: 1450.0,
        ..six_targets(vec![variant("chosen")], Vec::new())
    }
}
