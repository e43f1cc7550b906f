//! Runs the scenario files under `tests/scenarios/ticket`.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Incarnation, Moment, ServiceName, VmName};
use cornelvalve_policy::{
    ArrivalDecision, ArrivalId, CancelOutcome, StoredResponse, Ticket, TicketSettings, TicketTable,
    Waiter,
};
use goldenscript::{Command, Context, Runner};

/// Commands of the scenarios; calls, tickets and daemons are named.
#[derive(Command)]
enum Step {
    /// Starts a daemon, or starts it again with the next incarnation.
    Start(
        String,
        #[arg(key = "max_live")] Option<usize>,
        #[arg(key = "max_bytes")] Option<usize>,
    ),
    /// Issues one ticket: `issue a t1`.
    Issue(String, String),
    /// Sends a call with a ticket and a body through a daemon.
    Send(
        u64,
        #[arg(key = "ticket")] String,
        #[arg(key = "body")] String,
        #[arg(key = "via")] String,
    ),
    /// Re-checks the right to run before the first byte.
    Dispatch(String),
    /// Ends the run with an answer.
    Complete(String, String),
    /// Loses the connection to the upstream after the first byte.
    Lose(String),
    /// Takes back a dispatched request because the upstream refused the connection.
    Retract(String),
    /// Refuses admission.
    NotRun(String),
    /// The caller of a call goes away.
    Cancel(String, u64),
    /// Drains a daemon.
    Drain(String),
    /// Advances the clock by milliseconds; the tables see no tick, as during a pause.
    Pause(u64),
    /// Ticks the table of a daemon.
    Tick(String),
}

struct Scenario {
    tables: BTreeMap<String, TicketTable>,
    incarnations: u64,
    tickets: BTreeMap<String, String>,
    now: Moment,
}

const TTL: Duration = Duration::from_secs(60);

impl Scenario {
    fn new() -> Self {
        Self {
            tables: BTreeMap::new(),
            incarnations: 0,
            tickets: BTreeMap::new(),
            now: Moment::from_millis(1_000),
        }
    }

    fn start(&mut self, vm: &str, max_live: Option<usize>, max_bytes: Option<usize>) {
        self.incarnations += 1;
        let settings = TicketSettings {
            ttl: TTL,
            max_entries: max_live.unwrap_or(8),
            response_bytes: max_bytes.unwrap_or(64),
            response_ttl: Duration::from_secs(30),
        };
        let name = VmName::new(vm).expect("valid name");
        let table = TicketTable::new(settings, name, Incarnation(self.incarnations));
        self.tables.insert(vm.to_owned(), table);
    }

    fn issue(&mut self, vm: &str, name: &str) -> String {
        let service = ServiceName::new("remise").expect("valid name");
        let now = self.now;
        match self.table(vm).issue(&service, 1, now) {
            Ok(tickets) => {
                self.tickets.insert(name.to_owned(), tickets[0].to_string());
                format!("{name} issued by {vm}")
            }
            Err(refusal) => refusal.to_string(),
        }
    }

    fn table(&mut self, vm: &str) -> &mut TicketTable {
        self.tables.get_mut(vm).expect("started daemon")
    }

    /// Parses the text as an entry does and finds the daemon that issued it.
    fn resolve(&mut self, name: &str) -> (Ticket, &mut TicketTable) {
        let ticket = Ticket::parse(&self.tickets[name]).expect("issued ticket");
        let table = self
            .tables
            .get_mut(ticket.vm.as_str())
            .expect("started daemon");
        (ticket, table)
    }

    fn send(&mut self, id: u64, name: &str, body: &str, via: &str) -> String {
        let now = self.now;
        let fingerprint = Fingerprint::of(&[body.as_bytes()]);
        let (ticket, table) = self.resolve(name);
        let arrival = table.arrive(&ticket, fingerprint, ArrivalId(id), now);
        let verdict = match arrival {
            ArrivalDecision::Run => "run".to_owned(),
            ArrivalDecision::Wait => "wait".to_owned(),
            ArrivalDecision::Replay(answer) => format!("replay {}", text(&answer)),
            ArrivalDecision::Refuse(refusal) => format!("refuse {refusal}"),
        };
        format!("call {id} by {via} to {}: {verdict}", ticket.vm)
    }

    fn dispatch(&mut self, name: &str) -> String {
        let now = self.now;
        let (ticket, table) = self.resolve(name);
        match table.try_dispatch(&ticket, now) {
            Ok(()) => "dispatched".to_owned(),
            Err(refusal) => format!("refuse {refusal}"),
        }
    }

    fn cancel(&mut self, name: &str, id: u64) -> String {
        let (ticket, table) = self.resolve(name);
        match table.cancelled(&ticket, ArrivalId(id)) {
            CancelOutcome::Awaited => "still awaited".to_owned(),
            CancelOutcome::Abandoned => "abandoned".to_owned(),
        }
    }

    fn apply(&mut self, step: &Step) -> String {
        let now = self.now;
        match step {
            Step::Start(vm, max_live, max_bytes) => self.start(vm, *max_live, *max_bytes),
            Step::Issue(vm, name) => return self.issue(vm, name),
            Step::Send(id, name, body, via) => return self.send(*id, name, body, via),
            Step::Dispatch(name) => return self.dispatch(name),
            Step::Complete(name, answer) => {
                let stored = StoredResponse::from(answer.clone().into_bytes());
                let (ticket, table) = self.resolve(name);
                return waiters(&table.completed(&ticket, stored, now));
            }
            Step::Lose(name) => {
                let (ticket, table) = self.resolve(name);
                return waiters(&table.mark_unknown(&ticket, now));
            }
            Step::Retract(name) => {
                let (ticket, table) = self.resolve(name);
                return waiters(&table.release_unsent(&ticket));
            }
            Step::NotRun(name) => {
                let (ticket, table) = self.resolve(name);
                return waiters(&table.release_pending(&ticket));
            }
            Step::Cancel(name, id) => return self.cancel(name, *id),
            Step::Drain(vm) => self.table(vm).drain(),
            Step::Pause(millis) => self.now = now + Duration::from_millis(*millis),
            Step::Tick(vm) => {
                self.table(vm).tick(now);
                return format!("live {}", self.table(vm).live());
            }
        }
        String::new()
    }
}

fn text(answer: &StoredResponse) -> String {
    String::from_utf8_lossy(answer.as_bytes()).into_owned()
}

fn waiters(waiters: &[Waiter]) -> String {
    let ids: Vec<String> = waiters.iter().map(|w| w.id.to_string()).collect();
    format!("waiters to answer: [{}]", ids.join(", "))
}

impl Runner for Scenario {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut output = self.apply(step);
        if !output.is_empty() {
            writeln!(output)?;
        }
        Ok(output)
    }
}

fn run(name: &str) {
    let path = format!("tests/scenarios/ticket/{name}");
    goldenscript::run(&mut Scenario::new(), path).expect("readable scenario");
}

/// Guards against a remittance that runs twice when two daemons forward it at once.
#[test]
fn filed_twice_at_once() {
    run("filed-twice-at-once");
}

/// Guards against a second run when the caller repeats after it got or missed the answer.
#[test]
fn repeat_after_completion() {
    run("repeat-after-completion");
}

/// Guards against a new process that runs, or calls not run, what the former may have run.
#[test]
fn holder_restarted() {
    run("holder-restarted");
}

/// Guards against a run after a pause longer than the time to live.
#[test]
fn holder_paused() {
    run("holder-paused");
}

/// Guards against a run of an unused ticket after a draining holder said "not run".
#[test]
fn holder_drained() {
    run("holder-drained");
}

/// Guards against eviction of an answer that makes its ticket usable again.
#[test]
fn answer_evicted() {
    run("answer-evicted");
}

/// Guards against a second run when the connection failed after the first byte.
#[test]
fn answer_lost() {
    run("answer-lost");
}

/// Guards against a ticket that is lost, or runs twice, after the upstream refused the connection.
#[test]
fn connect_refused() {
    run("connect-refused");
}

/// Guards against eviction of a live entry to make room for another.
#[test]
fn table_full() {
    run("table-full");
}

/// Guards against the answer of one report given to the buyer of another.
#[test]
fn changed_body() {
    run("changed-body");
}
