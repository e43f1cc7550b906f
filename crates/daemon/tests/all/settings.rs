//! Guards against settings errors that do not name file, line, key and remedy.

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

/// Returns the error message, one line for each of its parts.
fn message(text: &str) -> String {
    match settings::parse(Path::new("settings.jsonc"), text) {
        Ok(_) => panic!("settings are accepted"),
        Err(e) => e.to_string().replace("; ", ";\n"),
    }
}

/// Replaces a part of the example, which must be there.
fn changed(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    EXAMPLE.replacen(from, to, 1)
}

/// The example shows the defaults, so dropping its optional keys must not change the result.
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

/// Guards against defaults that exceed the stated cost of control traffic.
#[test]
fn default_budgets_keep_within_the_design() {
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

/// Guards against a key that is read but handed to another option.
#[test]
fn each_key_sets_its_option() {
    let text = changed("\"timeout_ms\": 2000", "\"timeout_ms\": 1");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.log_store.timeout, Duration::from_millis(1));
    let text = changed("\"drain_timeout_ms\": 30000", "\"drain_timeout_ms\": 2");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.drain_timeout, Duration::from_millis(2));
    let text = changed(
        "\"response_lifetime_ms\": 600000",
        "\"response_lifetime_ms\": 3",
    );
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.tickets.response_lifetime, Duration::from_millis(3));
    let text = changed("\"lease_max_ms\": 10000", "\"lease_max_ms\": 4");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.upstream.lease_max, Duration::from_millis(4));
    let text = changed("\"region_link\": 1875", "\"region_link\": 5");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.budgets.region_link, 5);
    let text = changed("\"level\": \"info\"", "\"level\": \"debug\"");
    let config = settings::parse(Path::new("x"), &text).expect("valid");
    assert_eq!(config.log_level, log::LevelFilter::Debug);
}

#[test]
fn wrong_type() {
    assert_snapshot!(message(&changed("\"queue\": 64", "\"queue\": \"many\"")), @r#"
    settings.jsonc:44: limits.queue: invalid type: string "many", expected a whole number;
    correct the value
    "#);
}

#[test]
fn unknown_key() {
    assert_snapshot!(message(&changed("\"queue\": 64", "\"queues\": 64")), @r#"
    settings.jsonc:44: limits.queues: unknown field `queues`, expected one of `body_buffer_bytes`, `header_bytes`, `queue`;
    remove the key or correct its spelling
    "#);
}

#[test]
fn unknown_key_at_the_top() {
    assert_snapshot!(message(&changed("\"seeds\"", "\"seed\"")), @r#"
    settings.jsonc:33: seed: unknown field `seed`, expected one of `vm`, `region`, `failure_domain`, `listen`, `log_store`, `seeds`, `drain_timeout_ms`, `limits`, `tickets`, `budgets`, `upstream`, `logging`;
    remove the key or correct its spelling
    "#);
}

#[test]
fn missing_key() {
    assert_snapshot!(message(&changed("\"addr\": \"10.0.0.2:7200\",", "")), @r#"
    settings.jsonc:25: log_store.addr: missing field `addr`;
    add the key
    "#);
}

#[test]
fn missing_key_at_the_top() {
    assert_snapshot!(message(&changed("\"vm\": \"est-a-1\",", "")), @r#"
    settings.jsonc:4: vm: missing field `vm`;
    add the key
    "#);
}

#[test]
fn bad_address() {
    assert_snapshot!(message(&changed("10.0.0.11:7102", "est-a-1:7102")), @r#"
    settings.jsonc:16: listen.peers: invalid socket address syntax;
    use an IP address with port, such as 10.0.0.1:7101
    "#);
}

#[test]
fn bad_address_in_a_list() {
    assert_snapshot!(message(&changed("10.0.0.13:7102", "10.0.0.13")), @r#"
    settings.jsonc:33: seeds[1]: invalid socket address syntax;
    use an IP address with port, such as 10.0.0.1:7101
    "#);
}

#[test]
fn bad_identifier() {
    assert_snapshot!(message(&changed("est-a-1", "Est A 1")), @r#"
    settings.jsonc:6: vm: identifier contains 'E';
    use lower-case letters, digits, '.', '_' and '-';
    correct the value
    "#);
}

#[test]
fn bad_level() {
    assert_snapshot!(message(&changed("\"info\"", "\"loud\"")), @r#"
    settings.jsonc:79: logging.level: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`;
    correct the value
    "#);
}

#[test]
fn duplicate_key() {
    let text = changed("\"queue\": 64,", "\"queue\": 64,\n    \"queue\": 65,");
    assert_snapshot!(message(&text), @r#"
    settings.jsonc:45: limits.queue: the key is set twice;
    remove one of the two
    "#);
}

#[test]
fn not_loopback() {
    assert_snapshot!(message(&changed("127.0.0.1:7103", "10.0.0.11:7103")), @r#"
    settings.jsonc:18: listen.upstream: is not a loopback address;
    use an address such as 127.0.0.1:7103
    "#);
}

#[test]
fn unspecified_peer_address() {
    assert_snapshot!(message(&changed("10.0.0.11:7102", "0.0.0.0:7102")), @r#"
    settings.jsonc:16: listen.peers: names no interface;
    use the IP address under which others reach this VM
    "#);
}

#[test]
fn same_address_twice() {
    assert_snapshot!(message(&changed("10.0.0.11:7105", "10.0.0.11:7101")), @r#"
    settings.jsonc:22: listen.metrics: is the address of another listener;
    give each listener its own port
    "#);
}

#[test]
fn zero_budget() {
    assert_snapshot!(message(&changed("\"probe\": 3000", "\"probe\": 0")), @r#"
    settings.jsonc:59: budgets.probe: is 0;
    use a number above 0, or leave it out for the default
    "#);
}

#[test]
fn number_too_large() {
    assert_snapshot!(message(&changed("\"probe\": 3000", "\"probe\": 5000000000")), @r#"
    settings.jsonc:59: budgets.probe: invalid value: integer `5000000000`, expected a whole number up to 4294967295;
    correct the value
    "#);
}

#[test]
fn bad_syntax() {
    assert_snapshot!(message(&changed("\"queue\": 64", "\"queue\" 64")), @r#"
    settings.jsonc:44: not JSON with comments: Expected colon after the string or word in object property;
    correct the syntax
    "#);
}

#[test]
fn missing_comma() {
    assert_snapshot!(message(&changed("\"timeout_ms\": 2000", "\"timeout_ms\" 2000")), @r#"
    settings.jsonc:29: not JSON with comments: Expected colon after the string or word in object property;
    correct the syntax
    "#);
}

#[test]
fn empty_file() {
    assert_snapshot!(message("// nothing\n"), @r#"
    settings.jsonc:1: the file holds no value;
    start from examples/cornelvalve.jsonc
    "#);
}

#[test]
fn missing_file() {
    let error = settings::check(Path::new("no-such-file.jsonc")).expect_err("no file");
    assert_eq!(error.file, Path::new("no-such-file.jsonc"));
    assert_eq!(error.remedy, "check the path and its permissions");
}

/// Guards against a configuration that a program builds without a required option.
#[test]
fn builder_demands_addresses() {
    let vm: VmName = "vm-1".parse().expect("valid");
    let builder = Config::builder(vm, "r".parse().expect("valid"), "d".parse().expect("valid"));
    let error = builder.build().expect_err("no address is set");
    assert_snapshot!(error, @"listen.callers is missing; set it to an IP address with port");
}
