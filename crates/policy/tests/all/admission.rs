//! Scenarios of admission.

use std::fmt::Write as _;

use cornelvalve_model::{Incarnation, Moment, Nesting, TraceId};
use cornelvalve_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionSettings, RequestId,
    RequestResult,
};
use goldenscript::{Command, Context, Runner};

use crate::script::{self, Result};

struct AdmissionRunner {
    admission: AdmissionController,
    now: Moment,
}

impl AdmissionRunner {
    fn new() -> Self {
        Self {
            admission: AdmissionController::new(AdmissionSettings::default()),
            now: Moment::from_millis(1_000),
        }
    }

    fn apply(&mut self, event: AdmissionEvent) -> String {
        let mut output = String::new();
        for action in self.admission.handle_event(event, self.now) {
            let _ = match action {
                AdmissionAction::Start(id) => writeln!(output, "start {}", id.0),
                AdmissionAction::Refuse(id, reason) => writeln!(output, "refuse {} {reason}", id.0),
            };
        }
        output
    }

    fn finish(&mut self, id: u64, result: &str, service_ms: u64) -> Result<String> {
        let result = match result {
            "success" => RequestResult::Success,
            "failure" => RequestResult::Failure,
            "connection-lost" => RequestResult::ConnectionLost,
            "cancelled" => RequestResult::Cancelled,
            other => return Err(format!("unknown result {other}").into()),
        };
        Ok(self.apply(AdmissionEvent::Finished {
            id: RequestId(id),
            result,
            service_time: std::time::Duration::from_millis(service_ms),
        }))
    }

    /// Runs successes one round after the other, each round filling the limit.
    fn warm_up(&mut self, rounds: u64, service_ms: u64) -> Result<String> {
        let mut next = 1_000_000;
        for _ in 0..rounds {
            let ids: Vec<u64> = (next..next + u64::from(self.admission.limit())).collect();
            next += ids.len() as u64;
            for id in &ids {
                self.arrive(*id, 10_000);
            }
            self.now = self.now + std::time::Duration::from_millis(service_ms);
            for id in ids {
                self.finish(id, "success", service_ms)?;
            }
        }
        Ok(self.load())
    }

    fn arrive(&mut self, id: u64, within_ms: u64) -> String {
        self.arrive_nested(id, within_ms, None)
    }

    fn arrive_nested(&mut self, id: u64, within_ms: u64, nesting: Option<Nesting>) -> String {
        self.apply(AdmissionEvent::Arrived {
            id: RequestId(id),
            deadline: self.now + std::time::Duration::from_millis(within_ms),
            nesting,
        })
    }

    fn load(&self) -> String {
        let hint = self.admission.load_hint();
        format!(
            "running={} queued={} limit={}\n",
            hint.running, hint.queued, hint.limit
        )
    }
}

impl Runner for AdmissionRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "upstream" => {
                let incarnation = Incarnation(script::next(&mut args)?);
                let slots = script::key(&mut args, "slots")?.unwrap_or(10);
                self.apply(AdmissionEvent::UpstreamAnnounced { incarnation, slots })
            }
            "arrive" => {
                let within = script::key(&mut args, "within")?.unwrap_or(10_000);
                let trace: Option<u64> = script::key(&mut args, "trace")?;
                let depth: Option<u64> = script::key(&mut args, "depth")?;
                let nesting = trace.map(|trace| Nesting {
                    trace: TraceId(trace.into()),
                    depth: depth.and_then(|d| d.try_into().ok()).unwrap_or(0),
                });
                let mut output = String::new();
                while let Some(id) = args.next_pos() {
                    output += &self.arrive_nested(id.parse()?, within, nesting);
                }
                output
            }
            "cancel" => {
                let id = RequestId(script::next(&mut args)?);
                self.apply(AdmissionEvent::Cancelled { id })
            }
            "finish" => {
                let service_ms = script::key(&mut args, "took")?.unwrap_or(10);
                let result: String =
                    script::key(&mut args, "result")?.unwrap_or_else(|| "success".to_owned());
                let mut output = String::new();
                while let Some(id) = args.next_pos() {
                    output += &self.finish(id.parse()?, &result, service_ms)?;
                }
                output
            }
            "lost" => self.apply(AdmissionEvent::UpstreamLost),
            "drain" => self.apply(AdmissionEvent::UpstreamDraining),
            "leave" => self.apply(AdmissionEvent::DaemonLeaving),
            "advance" => {
                let passed: u64 = script::next(&mut args)?;
                self.now = self.now + std::time::Duration::from_millis(passed);
                String::new()
            }
            "tick" => self.apply(AdmissionEvent::Tick),
            "warm-up" => {
                let rounds = script::next(&mut args)?;
                let service_ms = script::key(&mut args, "took")?.unwrap_or(10);
                self.warm_up(rounds, service_ms)?
            }
            "load" => self.load(),
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

/// Guards against a cold upstream that gets more than two requests, and against a limit that
/// survives a restart of the upstream.
#[test]
fn cold_start() {
    script::run(&mut AdmissionRunner::new(), "admission_cold_start");
}

/// Guards against requests that wait beyond their deadline instead of going elsewhere.
#[test]
fn deadlines() {
    script::run(&mut AdmissionRunner::new(), "admission_deadlines");
}

/// Guards against new work for an upstream that drains or is gone.
#[test]
fn leaving() {
    script::run(&mut AdmissionRunner::new(), "admission_leaving");
}

/// Guards against a limit that stays up while the upstream fails, slows down or turns cold.
#[test]
fn trouble() {
    script::run(&mut AdmissionRunner::new(), "admission_trouble");
}

/// Guards against chains of nested calls that hold the places for which their own calls wait, and
/// against callers that get more places than the limit by sharing a trace.
#[test]
fn nested_calls() {
    script::run(&mut AdmissionRunner::new(), "admission_nested");
}
