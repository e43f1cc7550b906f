//! Built-in experiments.

use cornelvalve_model::{FailureDomain, Region, RequestClass, ServiceName};
use cornelvalve_standins::{ColdStart, UpstreamFaults};

use crate::{
    Action, Experiment, Noise, PickerKind, Placement, RequestKind, ScriptEvent, ServiceSpec,
    Variant, Via, VmSpec,
};

/// Names of the built-in experiments.
pub const BUILTIN_EXPERIMENTS: &[&str] = &[
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

/// Returns the built-in experiment with the given name, or `None` if there is none.
#[must_use]
pub fn builtin_experiment(name: &str) -> Option<Experiment> {
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

/// Returns a VM in a failure domain. The region follows from the name of the domain: `qc-est` for
/// `est...`, `qc-ouest` for `ouest...`, otherwise the part before the first `-`. A VM without a
/// service is an entry for callers.
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

fn request_kind(name: &str, service: &str, path: &str) -> RequestKind {
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

/// Returns a rare request with a large body.
fn upload(service: &str, path: &str) -> RequestKind {
    RequestKind {
        weight: 0.05,
        method: "PUT".to_owned(),
        body_bytes: 256 * 1024,
        answer_bytes: Some(100),
        work_ms: 10,
        ..request_kind("upload", service, path)
    }
}

/// Returns a variant with the default balancing, whose requests go through the daemons.
fn system_variant(name: &str) -> Variant {
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

/// Returns the variant whose requests go directly to the upstreams.
fn direct_variant() -> Variant {
    Variant {
        via: Via::Direct,
        ..system_variant("direct")
    }
}

/// Returns the balancing strategies that are compared under faults. The first one, to which the
/// faults are not applied, is the reference. The variants named `chosen` use the default balancing.
fn strategy_variants() -> Vec<Variant> {
    let plain = |name, picker| Variant {
        picker,
        plain: true,
        ..system_variant(name)
    };
    vec![
        Variant {
            spared: true,
            ..system_variant("chosen, no fault")
        },
        plain("round robin", PickerKind::RoundRobin),
        plain("least outstanding", PickerKind::LeastOutstanding),
        plain("power of two, plain", PickerKind::PowerOfTwo),
        system_variant("chosen"),
    ]
}

/// Returns the values that most experiments share. Name, services, VMs and mix are empty.
fn base_experiment() -> Experiment {
    Experiment {
        name: String::new(),
        services: Vec::new(),
        vms: Vec::new(),
        mix: Vec::new(),
        variants: vec![direct_variant(), system_variant("system")],
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

/// Measures the cost of the path through the daemons: two daemons and one upstream without service
/// time.
fn path() -> Experiment {
    Experiment {
        services: vec![service("estimateur", RequestClass::ByMethod)],
        vms: vec![vm("est-a", None, 10), vm("est-b", Some("estimateur"), 10)],
        mix: vec![RequestKind {
            answer_bytes: Some(1000),
            ..request_kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        placement: Placement::Processes,
        ..base_experiment()
    }
}

/// Returns the VMs of a mesh with upstreams of three services in four failure domains. Each VM is
/// also an entry for callers.
fn mesh_vms(domains: [&str; 4], services: [(&str, usize); 3], slots: u16) -> Vec<VmSpec> {
    let vms = services.iter().flat_map(|(name, count)| {
        (0..*count).map(|index| VmSpec {
            entry: true,
            ..vm(domains[index % domains.len()], Some(name), slots)
        })
    });
    vms.collect()
}

/// Mixes short lookups, at-most-once filings and large uploads on three services in two regions.
fn calculatrice() -> Experiment {
    Experiment {
        services: vec![
            service("estimateur", RequestClass::ByMethod),
            service("remise", RequestClass::AtMostOnce),
            service("flotte", RequestClass::ByMethod),
        ],
        vms: mesh_vms(
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
                ..request_kind("lookup", "estimateur", "/estimate?plate=a1")
            },
            RequestKind {
                weight: 0.15,
                method: "POST".to_owned(),
                body_bytes: 2000,
                work_ms: 5,
                spread: true,
                ticket: true,
                ..request_kind("filing", "remise", "/file")
            },
            upload("flotte", "/registry"),
        ],
        rate: 400.0,
        ..base_experiment()
    }
}

/// Mixes short requests, chains of nested calls, at-most-once purchases and large uploads on three
/// services.
fn kitakaze() -> Experiment {
    Experiment {
        services: vec![
            service("cardview", RequestClass::ByMethod),
            service("ledger", RequestClass::AtMostOnce),
            service("intake", RequestClass::ByMethod),
        ],
        vms: mesh_vms(
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
                ..request_kind("browse", "cardview", "/cards/7")
            },
            RequestKind {
                weight: 0.25,
                work_ms: 1,
                nested: 3,
                ..request_kind("cross-check", "cardview", "/check")
            },
            RequestKind {
                weight: 0.1,
                method: "POST".to_owned(),
                body_bytes: 500,
                work_ms: 5,
                spread: true,
                ticket: true,
                ..request_kind("purchase", "ledger", "/purchases")
            },
            upload("intake", "/bundles"),
        ],
        rate: 400.0,
        ..base_experiment()
    }
}

/// Measures chains of eight nested calls below the first one. Each call goes through the daemon of
/// the VM that makes it.
fn nested() -> Experiment {
    let vm_spec = VmSpec {
        entry: true,
        nested: true,
        ..vm("ishikari-a", Some("cardview"), 100)
    };
    Experiment {
        services: vec![service("cardview", RequestClass::ByMethod)],
        vms: vec![vm_spec.clone(), vm_spec],
        mix: vec![RequestKind {
            nested: 8,
            deadline_ms: 5000,
            ..request_kind("cross-check", "cardview", "/check")
        }],
        variants: vec![system_variant("system")],
        rate: 50.0,
        slice_ms: 0,
        placement: Placement::Processes,
        ..base_experiment()
    }
}

/// Returns an experiment with one entry and six upstreams in two other failure domains of the same
/// region.
fn six_upstreams(variants: Vec<Variant>, script: Vec<ScriptEvent>) -> Experiment {
    let mut vms = vec![vm("est-a", None, 10)];
    // The entry is alone in its domain, so that no upstream is preferred for being in the same one.
    vms.extend((0..6).map(|i| vm(["est-b", "est-c"][i % 2], Some("estimateur"), 10)));
    Experiment {
        services: vec![service("estimateur", RequestClass::ByMethod)],
        vms,
        mix: vec![RequestKind {
            work_ms: 5,
            spread: true,
            answer_bytes: Some(1000),
            ..request_kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        variants,
        rate: 300.0,
        slice_ms: 0,
        duration_ms: 15_000,
        script,
        track_runs: true,
        ..base_experiment()
    }
}

fn event(at_ms: u64, action: Action) -> ScriptEvent {
    ScriptEvent { at_ms, action }
}

/// Compares the strategies while one upstream is 50 ms slower per request.
fn straggler() -> Experiment {
    let faults = UpstreamFaults {
        straggle_ms: 50,
        ..UpstreamFaults::default()
    };
    six_upstreams(
        strategy_variants(),
        vec![event(0, Action::Faults { vm: 1, faults })],
    )
}

/// Compares the strategies while a slowdown moves from one upstream to the next.
fn noise() -> Experiment {
    Experiment {
        noise: Some(Noise {
            every_ms: 20,
            straggle_ms: 30,
        }),
        ..six_upstreams(strategy_variants(), Vec::new())
    }
}

/// Compares the strategies while one upstream responds to all requests with errors at once.
fn fail_fast() -> Experiment {
    let faults = UpstreamFaults {
        fail_fast: true,
        ..UpstreamFaults::default()
    };
    six_upstreams(
        strategy_variants(),
        vec![event(0, Action::Faults { vm: 1, faults })],
    )
}

/// Compares the strategies when one upstream is replaced and starts cold.
fn cold_start() -> Experiment {
    let faults = UpstreamFaults {
        cold: Some(ColdStart {
            requests: 300,
            factor: 8.0,
        }),
        ..UpstreamFaults::default()
    };
    six_upstreams(
        strategy_variants(),
        vec![event(3000, Action::Replace { vm: 1, faults })],
    )
}

/// Compares the strategies when one upstream drains.
fn drain() -> Experiment {
    six_upstreams(
        strategy_variants(),
        vec![event(3000, Action::Drain { vm: 1 })],
    )
}

/// Takes a failure domain out of service and returns it.
fn domain() -> Experiment {
    let domain = FailureDomain::new("est-c").expect("the name is valid");
    Experiment {
        duration_ms: 25_000,
        ..six_upstreams(
            vec![
                Variant {
                    spared: true,
                    ..system_variant("chosen, no fault")
                },
                system_variant("chosen"),
            ],
            vec![
                event(
                    5000,
                    Action::DomainOut {
                        domain: domain.clone(),
                    },
                ),
                // The daemons may need a few seconds to learn of the change. Requests after that
                // must run in other domains.
                event(8000, Action::Mark),
                event(15_000, Action::DomainIn { domain }),
                event(18_000, Action::Mark),
            ],
        )
    }
}

/// Sends twice the load that two upstreams can serve through one entry.
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
            ..request_kind("lookup", "estimateur", "/estimate?plate=a1")
        }],
        // Two upstreams with 4 slots each and about 11 ms per request, 10 ms of which are service
        // time, serve 727 requests/s.
        rate: 1450.0,
        // The VMs and the mix are replaced; the other values are the same.
        ..six_upstreams(vec![system_variant("chosen")], Vec::new())
    }
}
