//! Measures clone, apply and snapshot of a catalog at the design scale.
//!
//! Run with `cargo run --release -p cornelvalve-catalog --example size`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use cornelvalve_catalog::{ApplyOutcome, Catalog, MAX_RECENT_CHANGES};
use cornelvalve_model::{
    Change, ChangeId, DomainState, LogEntry, Offset, Operation, RequestClass, Route, Rule, Service,
};
use smallvec::smallvec;
use uuid::Uuid;

const REGIONS: usize = 5;
const DOMAINS: usize = 12;
const TEAMS: usize = 200;
const SERVICES: usize = 1700;
const RULES: usize = 300;

/// Repetitions of each measured call.
const ROUNDS: u32 = 200;

fn main() {
    let mut catalog = Catalog::new();
    let operations = operations();
    let fill = MAX_RECENT_CHANGES.saturating_sub(operations.len());
    let repeated = (0..fill).map(|n| Operation::PutTeam {
        team: name("team", n % TEAMS),
    });
    for operation in operations.into_iter().chain(repeated) {
        apply(&mut catalog, operation);
    }
    let clone = mean(|| drop(black_box(catalog.clone())));
    let snapshot = mean(|| drop(black_box(catalog.snapshot())));
    let taken = catalog.snapshot();
    let json = serde_json::to_vec(&LogEntry::Snapshot(taken.clone())).expect("encodes");
    let restore = mean(|| drop(black_box(Catalog::new().restore(&taken))));
    let mut next = 0;
    let put = mean(|| {
        next += 1;
        apply(&mut catalog, service(next % SERVICES));
    });
    println!("clone {clone:?}, snapshot {snapshot:?}, restore {restore:?}, apply {put:?}");
    println!("snapshot record {} bytes", json.len());
}

fn mean(mut call: impl FnMut()) -> Duration {
    let start = Instant::now();
    (0..ROUNDS).for_each(|_| call());
    start.elapsed() / ROUNDS
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, n: usize) -> T {
    format!("{kind}-{n}").parse().expect("valid name")
}

fn apply(catalog: &mut Catalog, operation: Operation) {
    let offset = catalog.next_offset();
    let change = Change {
        id: ChangeId(Uuid::from_u128(u128::from(offset.0) + 1)),
        author: "operator".to_owned(),
        expects: None,
        operation,
    };
    let verdict = catalog.apply(Offset(offset.0), Ok(&LogEntry::Change(change)));
    assert!(
        matches!(verdict, ApplyOutcome::Accepted { .. }),
        "{verdict}"
    );
}

fn service(n: usize) -> Operation {
    let route = |kind: &str, class| Route {
        name: name(kind, 0),
        prefix: format!("/{kind}"),
        class,
    };
    Operation::PutService(Service {
        name: name("service", n),
        hosts: vec![format!("service-{n}.mesh.example")],
        routes: vec![
            route("lookup", RequestClass::Idempotent),
            route("filing", RequestClass::AtMostOnce),
        ],
        timeout_ms: 2000,
    })
}

fn operations() -> Vec<Operation> {
    let regions = (0..REGIONS).map(|n| Operation::PutRegion {
        region: name("region", n),
    });
    let domains = (0..DOMAINS).map(|n| Operation::PutDomain {
        domain: name("domain", n),
        region: name("region", n % REGIONS),
        state: DomainState::InService,
    });
    let teams = (0..TEAMS).map(|n| Operation::PutTeam {
        team: name("team", n),
    });
    let services = (0..SERVICES).map(service);
    let rules = (0..RULES).map(|n| {
        Operation::PutRule(Rule {
            name: name("rule", n),
            team: Some(name("team", n % TEAMS)),
            service: Some(name("service", n)),
            route: None,
            regions: smallvec![
                name("region", n % REGIONS),
                name("region", (n + 1) % REGIONS)
            ],
        })
    });
    let entries = regions.chain(domains).chain(teams);
    entries.chain(services).chain(rules).collect()
}
