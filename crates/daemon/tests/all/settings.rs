//! Tests of the settings file: the defaults, and errors for invalid files.
//!
//! The tests with a snapshot guard against error messages that do not name the file, the line, the
//! key and the remedy.

use std::path::Path;
use std::time::Duration;

use cornelvalve_budget::{
    REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, TOTAL_BYTES_PER_SECOND,
};
use cornelvalve_daemon::config::{Budgets, Config};
use cornelvalve_daemon::settings;
use cornelvalve_model::VmName;
use insta::assert_snapshot;

const EXAMPLE: &str = include_str!("../../../../examples/cornelvalve.jsonc");

/// Returns the error message for a settings file, with a line break before the remedy.
fn error_message(text: &str) -> String {
    match settings::parse(Path::new("settings.jsonc"), text) {
        Ok(_) => panic!("invalid settings are accepted"),
        Err(e) => e.to_string().replace("; ", ";\n"),
    }
}

/// Returns the example settings file with the first occurrence of a text replaced.
fn example_with(from: &str, to: &str) -> String {
    assert!(
        EXAMPLE.contains(from),
        "the example file does not contain {from}"
    );
    EXAMPLE.replacen(from, to, 1)
}

/// Guards against an example file whose optional keys differ from the defaults.
#[test]
fn example_shows_the_defaults() {
    let example = settings::parse(Path::new("example"), EXAMPLE).expect("example is valid");
    let listen = example.listen;
    let defaults = Config::builder(
        example.vm.clone(),
        example.region.clone(),
        example.failure_domain.clone(),
    )
    .listen_callers(listen.callers)
    .listen_peers(listen.peers)
    .listen_upstream(listen.upstream)
    .listen_operators(listen.operators)
    .listen_metrics(listen.metrics)
    .log_store_addr(example.log_store.addr)
    .seeds(example.seeds.clone())
    .build();
    assert_eq!(defaults, Ok(example));
}

/// Guards against default budgets that exceed the limits on control traffic.
#[test]
fn default_budgets_are_within_the_limits() {
    let config = settings::parse(Path::new("example"), EXAMPLE).expect("example is valid");
    let Budgets {
        probe,
        news,
        configuration,
        load,
        region_link,
    } = config.budgets;
    assert!(probe + news + configuration + load <= TOTAL_BYTES_PER_SECOND);
    assert!(region_link * REGION_LINK_DAEMONS <= REGION_LINK_BYTES_PER_SECOND);
}

/// Guards against a key that has no effect or sets another option. Covers one key of each section
/// that has optional keys, except `limits`.
#[test]
fn each_key_sets_its_option() {
    let text = example_with("\"timeout_ms\": 2000", "\"timeout_ms\": 1");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.log_store.timeout, Duration::from_millis(1));
    let text = example_with("\"drain_timeout_ms\": 30000", "\"drain_timeout_ms\": 2");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.drain_timeout, Duration::from_millis(2));
    let text = example_with(
        "\"response_lifetime_ms\": 600000",
        "\"response_lifetime_ms\": 3",
    );
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.tickets.response_lifetime, Duration::from_millis(3));
    let text = example_with("\"lease_max_ms\": 10000", "\"lease_max_ms\": 4");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.upstream.lease_max, Duration::from_millis(4));
    let text = example_with("\"region_link\": 1875", "\"region_link\": 5");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.budgets.region_link, 5);
    let text = example_with("\"level\": \"info\"", "\"level\": \"debug\"");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.log_level, log::LevelFilter::Debug);
}

/// Guards against an error that names a Rust type instead of the accepted values.
#[test]
fn wrong_type() {
    assert_snapshot!(error_message(&example_with("\"queue\": 64", "\"queue\": \"many\"")), @r#"
    settings.jsonc:44: limits.queue: invalid type: string "many", expected a whole number;
    correct the value
    "#);
}

/// Guards against a misspelled key that is silently ignored.
#[test]
fn unknown_key() {
    assert_snapshot!(error_message(&example_with("\"queue\": 64", "\"queues\": 64")), @r#"
    settings.jsonc:44: limits.queues: unknown field `queues`, expected one of `body_buffer_bytes`, `header_bytes`, `queue`;
    remove the key or correct its spelling
    "#);
}

/// Guards against a misspelled top-level key that is silently ignored.
#[test]
fn unknown_key_at_top_level() {
    assert_snapshot!(error_message(&example_with("\"seeds\"", "\"seed\"")), @r#"
    settings.jsonc:33: seed: unknown field `seed`, expected one of `vm`, `region`, `failure_domain`, `listen`, `log_store`, `seeds`, `drain_timeout_ms`, `limits`, `tickets`, `budgets`, `upstream`, `logging`;
    remove the key or correct its spelling
    "#);
}

/// Guards against an error that names only the section in which a key is missing.
#[test]
fn missing_key() {
    assert_snapshot!(error_message(&example_with("\"addr\": \"10.0.0.2:7200\",", "")), @r#"
    settings.jsonc:25: log_store.addr: missing field `addr`;
    add the key
    "#);
}

/// Guards against an error that does not name the missing top-level key.
#[test]
fn missing_key_at_top_level() {
    assert_snapshot!(error_message(&example_with("\"vm\": \"est-a-1\",", "")), @r#"
    settings.jsonc:4: vm: missing field `vm`;
    add the key
    "#);
}

/// Guards against a host name where an IP address is required.
#[test]
fn bad_address() {
    assert_snapshot!(error_message(&example_with("10.0.0.11:7102", "est-a-1:7102")), @r#"
    settings.jsonc:16: listen.peers: invalid socket address syntax;
    use an IP address with port, such as 10.0.0.1:7101
    "#);
}

/// Guards against an error that does not name the position in a list.
#[test]
fn bad_address_in_a_list() {
    assert_snapshot!(error_message(&example_with("10.0.0.13:7102", "10.0.0.13")), @r#"
    settings.jsonc:33: seeds[1]: invalid socket address syntax;
    use an IP address with port, such as 10.0.0.1:7101
    "#);
}

/// Guards against names with characters that are not allowed in identifiers.
#[test]
fn bad_identifier() {
    assert_snapshot!(error_message(&example_with("est-a-1", "Est A 1")), @r#"
    settings.jsonc:6: vm: identifier contains 'E';
    use lower-case letters, digits, '.', '_' and '-';
    correct the value
    "#);
}

/// Guards against an error that does not list the accepted log levels.
#[test]
fn bad_level() {
    assert_snapshot!(error_message(&example_with("\"info\"", "\"loud\"")), @r#"
    settings.jsonc:79: logging.level: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`;
    correct the value
    "#);
}

/// Guards against a key that is set twice and of which only one value takes effect.
#[test]
fn duplicate_key() {
    let text = example_with("\"queue\": 64,", "\"queue\": 64,\n    \"queue\": 65,");
    assert_snapshot!(error_message(&text), @r#"
    settings.jsonc:45: limits.queue: the key is set twice;
    remove one of the two
    "#);
}

/// Guards against a listener that accepts unauthenticated announcements from the network.
#[test]
fn not_loopback() {
    assert_snapshot!(error_message(&example_with("127.0.0.1:7103", "10.0.0.11:7103")), @r#"
    settings.jsonc:18: listen.upstream: is not a loopback address;
    use an address such as 127.0.0.1:7103
    "#);
}

/// Guards against a daemon that tells others an address at which they cannot reach it.
#[test]
fn unspecified_peer_address() {
    assert_snapshot!(error_message(&example_with("10.0.0.11:7102", "0.0.0.0:7102")), @r#"
    settings.jsonc:16: listen.peers: names no interface;
    use the IP address under which others reach this VM
    "#);
}

/// Guards against two listeners with the same address, of which one could not be bound.
#[test]
fn same_address_twice() {
    assert_snapshot!(error_message(&example_with("10.0.0.11:7105", "10.0.0.11:7101")), @r#"
    settings.jsonc:22: listen.metrics: is the address of another listener;
    give each listener its own port
    "#);
}

/// Guards against a budget of 0, with which a class of control traffic is never sent.
#[test]
fn zero_budget() {
    assert_snapshot!(error_message(&example_with("\"probe\": 3000", "\"probe\": 0")), @r#"
    settings.jsonc:59: budgets.probe: is 0;
    use a number above 0, or leave it out for the default
    "#);
}

/// Guards against an error for a number that does not fit that names a Rust type.
#[test]
fn number_too_large() {
    assert_snapshot!(error_message(&example_with("\"probe\": 3000", "\"probe\": 5000000000")), @r#"
    settings.jsonc:59: budgets.probe: invalid value: integer `5000000000`, expected a whole number up to 4294967295;
    correct the value
    "#);
}

/// Guards against an error for invalid syntax without the line; here a colon is missing.
#[test]
fn bad_syntax() {
    assert_snapshot!(error_message(&example_with("\"queue\": 64", "\"queue\" 64")), @r#"
    settings.jsonc:44: not JSON with comments: Expected colon after the string or word in object property;
    correct the syntax
    "#);
}

/// Guards against syntax that is looser than JSON with comments, in which the colon between a key
/// and its value is optional.
#[test]
fn missing_colon() {
    assert_snapshot!(error_message(&example_with("\"timeout_ms\": 2000", "\"timeout_ms\" 2000")), @r#"
    settings.jsonc:29: not JSON with comments: Expected colon after the string or word in object property;
    correct the syntax
    "#);
}

/// Guards against a file with only comments that is accepted or causes a panic.
#[test]
fn empty_file() {
    assert_snapshot!(error_message("// nothing\n"), @r#"
    settings.jsonc:1: the file contains no value;
    start from examples/cornelvalve.jsonc
    "#);
}

/// Guards against an error for a missing file that does not name the file and a remedy.
#[test]
fn missing_file() {
    let error = settings::check(Path::new("no-such-file.jsonc")).expect_err("no file");
    assert_eq!(error.file, Path::new("no-such-file.jsonc"));
    assert_eq!(error.remedy, "check the path and its permissions");
}

/// Guards against a builder that accepts a configuration without a required address.
#[test]
fn builder_requires_addresses() {
    let vm: VmName = "vm-1".parse().expect("valid");
    let builder = Config::builder(vm, "r".parse().expect("valid"), "d".parse().expect("valid"));
    let error = builder.build().expect_err("no address is set");
    assert_snapshot!(error, @"listen.callers is missing; set it to an IP address with port");
}
