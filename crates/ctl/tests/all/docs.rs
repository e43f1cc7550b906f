//! Guards against differences between the operators' page and the client.

use cornelvalve_ctl::{Exit, command};

const PAGE: &str = include_str!("../../../../docs/operators.md");

/// Guards against an example that the client does not accept.
#[test]
fn examples_are_accepted() {
    let examples: Vec<&str> = PAGE
        .lines()
        .filter(|l| l.starts_with("cornelctl "))
        .collect();
    // Fails if the filter no longer matches the examples of the page.
    assert!(examples.len() > 20, "found {} examples", examples.len());
    for example in examples {
        let words = example.split_whitespace();
        if let Err(e) = command().try_get_matches_from(words) {
            panic!("{example}: {e}");
        }
    }
}

/// Guards against a command that the page does not show.
#[test]
fn every_command_has_an_example() {
    for group in command().get_subcommands() {
        let example = format!("\ncornelctl {}", group.get_name());
        assert!(
            PAGE.contains(&example),
            "{} has no example",
            group.get_name()
        );
    }
}

/// Guards against an exit code that the page lacks or explains under another name.
#[test]
fn exit_codes_are_listed() {
    let exits = [
        Exit::Success,
        Exit::Failure,
        Exit::Usage,
        Exit::Unreachable,
        Exit::Rejected,
        Exit::NotInForce,
        Exit::UnknownOutcome,
        Exit::DaemonError,
    ];
    for exit in exits {
        let row = format!("| {} | {exit} |", exit.code());
        assert!(PAGE.contains(&row), "no row {row}");
    }
}
