//! Guards against unintended changes of the command line, on which scripts depend.

use cornelvalve_ctl::{Exit, run};
use insta::assert_snapshot;

/// Returns the help text of a command.
async fn help(args: &[&str]) -> String {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let line = ["cornelctl"].iter().chain(args).chain(&["--help"]);
    let exit = run(line.copied(), &mut out, &mut err).await;
    assert_eq!((exit, err.len()), (Exit::Success, 0));
    String::from_utf8(out).expect("help is text")
}

#[tokio::test]
async fn overview_help_is_unchanged() {
    assert_snapshot!(help(&[]).await, @r#"
    Operates cornelvalve daemons

    Usage: cornelctl [OPTIONS] <COMMAND>

    Commands:
      service     Services
      domain      Failure domains
      region      Regions
      team        Teams
      rule        Residency rules
      status      Describes the daemon that answers
      members     Lists the members
      in-force    Lists members that have not applied a revision
      timeline    Merges the events of several daemons into one order
      leave       Empties a failure domain without the log store
      explain     Tells how a request would be routed now, without sending it
      trace       Shows the way of one request from the logs of several daemons
      completion  Writes a completion script for a shell
      help        Print this message or the help of the given subcommand(s)

    Options:
          --daemon <ADDR>      Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --output <FORMAT>    Form of results and errors [default: human] [possible values: human, json]
          --timeout <SECONDS>  Time for the whole call [default: 10]
      -h, --help               Print help
      -V, --version            Print version

    Exit codes:
      0  done
      1  the result could not be written
      2  usage: the command line or a file that it names is wrong
      3  unreachable: a daemon that was needed did not answer
      4  rejected: the change was read from the log and refused
      5  not in force: accepted, but not confirmed by all members in time
      6  unknown outcome: the change may or may not have taken effect
      7  the daemon answered with an error
    "#);
}

#[tokio::test]
async fn service_put_help_is_unchanged() {
    assert_snapshot!(help(&["service", "put"]).await, @r#"
    Creates or replaces a service

    Usage: cornelctl service put [OPTIONS] [FILE]

    Arguments:
      [FILE]  Service in JSON with comments

    Options:
          --daemon <ADDR>                Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --wait <STAGE>                 How far the change must get: published, accepted or in-force [default: accepted]
          --expects <REVISION>           Refuse unless the entry has this revision; 0 means that it must not exist
          --output <FORMAT>              Form of results and errors [default: human] [possible values: human, json]
          --change-id <UUID>             Repeat an earlier change whose outcome is unknown
          --timeout <SECONDS>            Time for the whole call [default: 10]
          --author <NAME>                Name for the record [default: cornelctl]
          --name <NAME>                  Name of the service
          --host <HOST>                  Host under which callers reach it; may be repeated
          --route <NAME=PREFIX[:CLASS]>  Route; the class is by-method, idempotent or at-most-once
          --timeout-ms <MS>              Deadline for requests that carry none [default: 10000]
      -h, --help                         Print help
    "#);
}

#[tokio::test]
async fn domain_help_is_unchanged() {
    assert_snapshot!(help(&["domain"]).await, @r#"
    Failure domains

    Usage: cornelctl domain [OPTIONS] <COMMAND>

    Commands:
      list    Lists the entries with their revisions
      put     Creates a failure domain in service
      out     Takes a failure domain out of service (needs the log store)
      in      Returns a failure domain to service
      remove  Removes a failure domain
      help    Print this message or the help of the given subcommand(s)

    Options:
          --daemon <ADDR>      Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --output <FORMAT>    Form of results and errors [default: human] [possible values: human, json]
          --timeout <SECONDS>  Time for the whole call [default: 10]
      -h, --help               Print help
    "#);
}

#[tokio::test]
async fn rule_put_help_is_unchanged() {
    assert_snapshot!(help(&["rule", "put"]).await, @r#"
    Creates or replaces a residency rule

    Usage: cornelctl rule put [OPTIONS] --region <REGION> <NAME>

    Arguments:
      <NAME>  Name of the entry

    Options:
          --daemon <ADDR>       Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --wait <STAGE>        How far the change must get: published, accepted or in-force [default: accepted]
          --expects <REVISION>  Refuse unless the entry has this revision; 0 means that it must not exist
          --output <FORMAT>     Form of results and errors [default: human] [possible values: human, json]
          --change-id <UUID>    Repeat an earlier change whose outcome is unknown
          --timeout <SECONDS>   Time for the whole call [default: 10]
          --author <NAME>       Name for the record [default: cornelctl]
          --team <TEAM>         Team that the rule is about; all if absent
          --service <SERVICE>   Service that the rule is about; all if absent
          --route <ROUTE>       Route of that service
          --region <REGION>     Home region; may be repeated
      -h, --help                Print help
    "#);
}

#[tokio::test]
async fn timeline_help_is_unchanged() {
    assert_snapshot!(help(&["timeline"]).await, @r#"
    Merges the events of several daemons into one order

    Usage: cornelctl timeline [OPTIONS]

    Options:
          --daemon <ADDR>      Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --members            Asks all members, not only the daemons that --daemon names
          --after <TIMESTAMP>  Shows events later than this one
          --output <FORMAT>    Form of results and errors [default: human] [possible values: human, json]
          --limit <EVENTS>     Largest number of events of each daemon [default: 100]
          --timeout <SECONDS>  Time for the whole call [default: 10]
      -h, --help               Print help
    "#);
}

#[tokio::test]
async fn leave_help_is_unchanged() {
    assert_snapshot!(help(&["leave"]).await, @r#"
    Empties a failure domain without the log store

    Usage: cornelctl leave [OPTIONS] --domain <DOMAIN>

    Options:
          --daemon <ADDR>      Operators' address of a daemon; repeat it to try the next one [default: 127.0.0.1:7104]
          --domain <DOMAIN>    Failure domain to empty
          --output <FORMAT>    Form of results and errors [default: human] [possible values: human, json]
          --timeout <SECONDS>  Time for the whole call [default: 10]
      -h, --help               Print help

    `leave` asks each daemon of the failure domain directly and works while the log store is down.
    It is not remembered: a daemon that starts in the failure domain afterwards takes work.
    `domain out` is recorded in the log, holds for daemons that start later, and needs the log store.
    "#);
}

/// Guards against an inconsistent definition of a command that no other test runs.
#[test]
fn definition_is_consistent() {
    cornelvalve_ctl::command().debug_assert();
}
