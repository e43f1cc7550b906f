//! Scenarios of the choice of an endpoint.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use cornelvalve_model::{
    FailureDomain, Incarnation, LoadHint, Moment, Reason, Region, ServiceName, VmName,
};
use cornelvalve_policy::{
    AttemptId, AttemptOutcome, AttemptReport, Balancer, BalancerSettings, ChoiceRequest, Endpoint,
    EndpointIncarnation, LeastOutstanding, Locality, PowerOfTwo,
};
use goldenscript::{Argument, Command, Context, Runner};

use crate::script::{self, Result};

const SLOTS: u32 = 10;

pub(crate) fn locality() -> Locality {
    Locality {
        region: Region::new("near").expect("valid name"),
        domain: FailureDomain::new("near-a").expect("valid name"),
    }
}

/// Creates an endpoint from `domain/vm`; the region is the part of the domain before the dash.
pub(crate) fn endpoint(path: &str, upstream: u64) -> Endpoint {
    let (domain, vm) = path.split_once('/').expect("separator");
    let (region, _) = domain.split_once('-').expect("separator");
    Endpoint {
        vm: VmName::new(vm).expect("valid name"),
        incarnation: EndpointIncarnation {
            daemon: Incarnation(1),
            upstream: Incarnation(upstream),
        },
        peer_addr: ([127, 0, 0, 1], 7000).into(),
        region: Region::new(region).expect("valid name"),
        domain: FailureDomain::new(domain).expect("valid name"),
        slots: SLOTS,
    }
}

pub(crate) fn service() -> ServiceName {
    ServiceName::new("estimateur").expect("valid name")
}

struct BalancerRunner {
    balancer: Balancer,
    now: Moment,
    names: BTreeMap<u64, AttemptId>,
}

impl BalancerRunner {
    fn new() -> Self {
        let picker = Box::new(LeastOutstanding::new());
        Self {
            balancer: Balancer::new(BalancerSettings::default(), locality(), picker, 1),
            now: Moment::from_millis(1_000),
            names: BTreeMap::new(),
        }
    }

    fn choose(&mut self, command: &Command) -> Result<String> {
        let mut args = command.consume_args();
        let time_left = script::millis(&mut args, "within", 10_000)?;
        let list = |text: Option<&str>| -> Vec<String> {
            text.map(|t| t.split('/').map(str::to_owned).collect())
                .unwrap_or_default()
        };
        let allowed: Vec<Region> = list(args.take_key("allowed"))
            .iter()
            .map(|t| Region::new(t))
            .collect::<std::result::Result<_, _>>()?;
        let excluded: Vec<VmName> = list(args.take_key("tried"))
            .iter()
            .map(|t| VmName::new(t))
            .collect::<std::result::Result<_, _>>()?;
        let domains: Vec<FailureDomain> = list(args.take_key("out"))
            .iter()
            .map(|t| FailureDomain::new(t))
            .collect::<std::result::Result<_, _>>()?;
        let count: u64 = script::key(&mut args, "count")?.unwrap_or(1);
        let mut output = String::new();
        for _ in 0..count {
            let service = service();
            let request = ChoiceRequest {
                service: &service,
                allowed_regions: (!allowed.is_empty()).then_some(allowed.as_slice()),
                excluded_vms: &excluded,
                excluded_domains: &domains,
                time_left,
            };
            match self.balancer.choose(&request, self.now) {
                Ok(choice) => {
                    self.names.insert(choice.attempt.0, choice.attempt);
                    writeln!(output, "{} {}", choice.attempt.0, choice.endpoint.vm)?;
                }
                Err(refusal) => writeln!(output, "{} {}", refusal.outcome, refusal.reason)?,
            }
        }
        Ok(output)
    }

    fn finish(&mut self, command: &Command) -> Result<String> {
        let mut args = command.consume_args();
        let latency = script::millis(&mut args, "took", 10)?;
        let outcome = match args.take_key("end").unwrap_or("answered") {
            "answered" => AttemptOutcome::Answered,
            "failed" => AttemptOutcome::Failed,
            "cancelled" => AttemptOutcome::Cancelled,
            "overloaded" => AttemptOutcome::Refused(Reason::Overloaded),
            "draining" => AttemptOutcome::Refused(Reason::Draining),
            other => return Err(format!("unknown end {other}").into()),
        };
        let hint = match args.take_key("running") {
            Some(running) => Some(LoadHint {
                running: running.parse()?,
                queued: 0,
                limit: script::key(&mut args, "limit")?.unwrap_or(10),
            }),
            None => None,
        };
        while let Some(id) = args.next_pos() {
            let report = AttemptReport {
                outcome,
                latency,
                hint,
            };
            self.balancer
                .finish(AttemptId(id.parse()?), &report, self.now);
        }
        Ok(String::new())
    }

    fn show(&self) -> Result<String> {
        let mut output = String::new();
        for view in self.balancer.endpoints(&service(), self.now) {
            let ejected = if view.ejected { " ejected" } else { "" };
            writeln!(
                output,
                "{} outstanding={}{ejected}",
                view.endpoint.vm, view.outstanding
            )?;
        }
        Ok(output)
    }
}

impl Runner for BalancerRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String> {
        match command.name.as_str() {
            "endpoints" => {
                let endpoints: Vec<Endpoint> = command
                    .args
                    .iter()
                    .map(|arg| match arg {
                        Argument::KeyValue(path, upstream) => Ok(endpoint(path, upstream.parse()?)),
                        Argument::Positional(path) => Ok(endpoint(path, 1)),
                        other => Err(format!("unexpected {other}").into()),
                    })
                    .collect::<Result<_>>()?;
                self.balancer.set_endpoints(&service(), &endpoints);
                Ok(String::new())
            }
            "choose" => self.choose(command),
            "finish" => self.finish(command),
            "advance" => {
                let passed: u64 = script::next(&mut command.consume_args())?;
                self.now = self.now + Duration::from_millis(passed);
                Ok(String::new())
            }
            "show" => self.show(),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

/// Guards against use of the metered link while the region can answer, and against requests sent
/// where rules or operators forbid it.
#[test]
fn locality_and_rules() {
    script::run(&mut BalancerRunner::new(), "balancer_locality");
}

/// Guards against counts that are lost when the membership changes.
#[test]
fn endpoint_changes() {
    script::run(&mut BalancerRunner::new(), "balancer_changes");
}

/// Guards against endpoints that stay in use while they fail, that are ejected without bound, or
/// that get full load at once when they return.
#[test]
fn ejection() {
    script::run(&mut BalancerRunner::new(), "balancer_ejection");
}

/// Guards against small services whose failing endpoint is never ejected, because it alone exceeds
/// the share that may be.
#[test]
fn ejection_of_two() {
    script::run(&mut BalancerRunner::new(), "balancer_ejection_of_two");
}

fn many(count: usize) -> Vec<Endpoint> {
    let domains = ["near-a", "near-b", "far-a", "far-b"];
    (0..count)
        .map(|n| endpoint(&format!("{}/vm-{n}", domains[n % 4]), 1))
        .collect()
}

fn subset(seed: u64, endpoints: &[Endpoint]) -> Vec<Endpoint> {
    let picker = Box::new(PowerOfTwo::new(seed));
    let mut balancer = Balancer::new(BalancerSettings::default(), locality(), picker, seed);
    balancer.set_endpoints(&service(), endpoints);
    let views = balancer.endpoints(&service(), Moment(0));
    views.into_iter().map(|v| v.endpoint.clone()).collect()
}

/// Guards against subsets that lose all endpoints with one failure domain or region, that differ
/// between two calls, or that change as a whole when one endpoint leaves.
#[test]
fn subset_is_bounded_spread_and_stable() {
    let endpoints = many(400);
    let chosen = subset(7, &endpoints);
    assert_eq!(chosen.len(), 24);
    for (domain, least) in [("near-a", 12), ("near-b", 8), ("far-a", 2), ("far-b", 2)] {
        let found = chosen
            .iter()
            .filter(|e| e.domain.as_str() == domain)
            .count();
        assert!(found >= least, "{domain} has {found}");
    }
    assert_eq!(subset(7, &endpoints), chosen);
    let fewer: Vec<Endpoint> = endpoints
        .iter()
        .filter(|e| **e != chosen[0])
        .cloned()
        .collect();
    let kept = subset(7, &fewer)
        .iter()
        .filter(|e| chosen.contains(e))
        .count();
    assert_eq!(kept, 23);
}

/// Guards against entries that all use the same endpoints of a large service.
#[test]
fn subsets_of_entries_cover_all_near_endpoints() {
    let endpoints = many(200);
    let mut uses: BTreeMap<VmName, u32> = BTreeMap::new();
    for seed in 0..200 {
        for endpoint in subset(seed, &endpoints) {
            *uses.entry(endpoint.vm).or_default() += 1;
        }
    }
    let near = endpoints.iter().filter(|e| e.domain == locality().domain);
    let (least, most) = near
        .map(|e| uses.get(&e.vm).copied().unwrap_or(0))
        .fold((u32::MAX, 0), |(least, most), n| {
            (least.min(n), most.max(n))
        });
    assert!(
        least > 20 && most < 90,
        "uses between {least} and {most}, expected about 48"
    );
}
