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

/// Commands of the scenario files, which refer to tickets and daemons by name and to calls by
/// number.
#[derive(Command)]
enum Step {
    /// Starts a daemon, or restarts it with the next incarnation.
    Start(
        String,
        #[arg(key = "max_live")] Option<usize>,
        #[arg(key = "max_bytes")] Option<usize>,
    ),
    /// Lets a daemon issue a ticket; `issue a t1` issues ticket `t1` at daemon `a`.
    Issue(String, String),
    /// Sends a call with a ticket and a body through any daemon to the one that issued the ticket.
    Send(
        u64,
        #[arg(key = "ticket")] String,
        #[arg(key = "body")] String,
        #[arg(key = "via")] String,
    ),
    /// Checks again that the request may run, just before its first byte is sent.
    Dispatch(String),
    /// Ends the request with an answer.
    Complete(String, String),
    /// Loses the connection to the upstream after the first byte was sent.
    Lose(String),
    /// Releases a dispatched request because the upstream refused the connection.
    Retract(String),
    /// Releases a request that was refused before its dispatch.
    NotRun(String),
    /// Cancels a call whose caller has gone.
    Cancel(String, u64),
    /// Drains a daemon.
    Drain(String),
    /// Advances the clock by milliseconds without ticks, as if the process were paused.
    Pause(u64),
    /// Ticks the table of a daemon.
    Tick(String),
}

/// State of a scenario.
struct Scenario {
    /// Ticket table of each daemon, by the name of its VM.
    tables: BTreeMap<String, TicketTable>,
    /// Number of daemon processes started so far.
    incarnations: u64,
    /// Text form of each ticket, by its name.
    tickets: BTreeMap<String, String>,
    now: Moment,
}

/// Lifetime of tickets in the scenarios.
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

    /// Parses the text form of a ticket and returns it with the table of the daemon that issued it.
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
        let decision = match arrival {
            ArrivalDecision::Run => "run".to_owned(),
            ArrivalDecision::Wait => "wait".to_owned(),
            ArrivalDecision::Replay(answer) => format!("replay {}", text(&answer)),
            ArrivalDecision::Refuse(refusal) => format!("refuse {refusal}"),
        };
        format!("call {id} by {via} to {}: {decision}", ticket.vm)
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
                return format!("live {}", self.table(vm).entry_count());
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

/// Guards against a request that runs twice when two daemons forward it at the same time.
#[test]
fn filed_twice_at_once() {
    run("filed-twice-at-once");
}

/// Guards against a second run when the caller repeats the request after it received or missed the
/// answer.
#[test]
fn repeat_after_completion() {
    run("repeat-after-completion");
}

/// Guards against a restarted daemon that runs a request which its previous process may have run,
/// or reports it as not run.
#[test]
fn holder_restarted() {
    run("holder-restarted");
}

/// Guards against a run after a pause that is longer than the lifetime of the ticket.
#[test]
fn holder_paused() {
    run("holder-paused");
}

/// Guards against a run with an unused ticket after its draining daemon has answered "not run".
#[test]
fn holder_drained() {
    run("holder-drained");
}

/// Guards against an eviction of a stored response that makes its ticket usable again.
#[test]
fn answer_evicted() {
    run("answer-evicted");
}

/// Guards against a second run when the connection failed after the first byte was sent.
#[test]
fn answer_lost() {
    run("answer-lost");
}

/// Guards against a ticket that is lost, or runs twice, after the upstream refused the connection.
#[test]
fn connect_refused() {
    run("connect-refused");
}

/// Guards against eviction of the entry of an unexpired ticket in favor of another ticket.
#[test]
fn table_full() {
    run("table-full");
}

/// Guards against the stored response of one request as the answer to another request.
#[test]
fn changed_body() {
    run("changed-body");
}
