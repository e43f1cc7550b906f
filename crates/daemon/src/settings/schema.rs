//! Schema of the settings file, and its conversion to a [`Config`].
//!
//! Optional keys that are left out have the defaults of [`ConfigBuilder`].

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, VmName};
use serde::Deserialize;

use crate::config::{Config, ConfigBuilder, Result};

/// Contents of a settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Settings {
    vm: VmName,
    region: Region,
    failure_domain: FailureDomain,
    listen: Listen,
    log_store: LogStore,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    drain_timeout_ms: Option<u64>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    tickets: Tickets,
    #[serde(default)]
    budgets: Budgets,
    #[serde(default)]
    upstream: Upstream,
    #[serde(default)]
    logging: Logging,
}

/// Addresses on which the daemon listens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Listen {
    callers: SocketAddr,
    peers: SocketAddr,
    upstream: SocketAddr,
    operators: SocketAddr,
    metrics: SocketAddr,
}

/// Connection settings of the log store.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LogStore {
    addr: SocketAddr,
    timeout_ms: Option<u64>,
}

/// Limits on requests.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    body_buffer_bytes: Option<usize>,
    header_bytes: Option<usize>,
    queue: Option<usize>,
}

/// Limits on tickets of at-most-once requests and on stored responses.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Tickets {
    lifetime_ms: Option<u64>,
    capacity: Option<usize>,
    response_bytes: Option<usize>,
    response_lifetime_ms: Option<u64>,
}

/// Budget of each class of control traffic, in bytes per second.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Budgets {
    probe: Option<u32>,
    news: Option<u32>,
    configuration: Option<u32>,
    load: Option<u32>,
    region_link: Option<u32>,
}

/// Limits on the local upstreams.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Upstream {
    connections: Option<u16>,
    lease_max_ms: Option<u64>,
}

/// Settings of the logger.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Logging {
    level: Option<Level>,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Level {
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

impl Settings {
    /// Converts the settings to the options of the daemon.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`](crate::config::ConfigError) if a value cannot be used.
    pub(super) fn into_config(self) -> Result<Config> {
        let builder = Config::builder(self.vm, self.region, self.failure_domain)
            .listen_callers(self.listen.callers)
            .listen_peers(self.listen.peers)
            .listen_upstream(self.listen.upstream)
            .listen_operators(self.listen.operators)
            .listen_metrics(self.listen.metrics)
            .log_store_addr(self.log_store.addr)
            .seeds(self.seeds);
        let builder = set_millis(
            builder,
            self.log_store.timeout_ms,
            ConfigBuilder::log_store_timeout,
        );
        let builder = set_millis(builder, self.drain_timeout_ms, ConfigBuilder::drain_timeout);
        let builder = self.limits.apply(builder);
        let builder = self.tickets.apply(builder);
        let builder = self.budgets.apply(builder);
        let builder = self.upstream.apply(builder);
        let level = self.logging.level.map(log::LevelFilter::from);
        set(builder, level, ConfigBuilder::log_level).build()
    }
}

impl Limits {
    fn apply(self, builder: ConfigBuilder) -> ConfigBuilder {
        let builder = set(
            builder,
            self.body_buffer_bytes,
            ConfigBuilder::body_buffer_bytes,
        );
        let builder = set(builder, self.header_bytes, ConfigBuilder::header_bytes);
        set(builder, self.queue, ConfigBuilder::queue)
    }
}

impl Tickets {
    fn apply(self, builder: ConfigBuilder) -> ConfigBuilder {
        let builder = set_millis(builder, self.lifetime_ms, ConfigBuilder::ticket_lifetime);
        let builder = set(builder, self.capacity, ConfigBuilder::ticket_capacity);
        let builder = set(
            builder,
            self.response_bytes,
            ConfigBuilder::ticket_response_bytes,
        );
        set_millis(
            builder,
            self.response_lifetime_ms,
            ConfigBuilder::ticket_response_lifetime,
        )
    }
}

impl Budgets {
    fn apply(self, builder: ConfigBuilder) -> ConfigBuilder {
        let builder = set(builder, self.probe, ConfigBuilder::budget_probe);
        let builder = set(builder, self.news, ConfigBuilder::budget_news);
        let builder = set(
            builder,
            self.configuration,
            ConfigBuilder::budget_configuration,
        );
        let builder = set(builder, self.load, ConfigBuilder::budget_load);
        set(builder, self.region_link, ConfigBuilder::budget_region_link)
    }
}

impl Upstream {
    fn apply(self, builder: ConfigBuilder) -> ConfigBuilder {
        let builder = set(
            builder,
            self.connections,
            ConfigBuilder::upstream_connections,
        );
        set_millis(
            builder,
            self.lease_max_ms,
            ConfigBuilder::upstream_lease_max,
        )
    }
}

/// Calls a setter of the builder if the key is present.
fn set<T>(
    builder: ConfigBuilder,
    value: Option<T>,
    setter: fn(ConfigBuilder, T) -> ConfigBuilder,
) -> ConfigBuilder {
    match value {
        Some(value) => setter(builder, value),
        None => builder,
    }
}

/// Calls a setter of the builder for a duration in milliseconds if the key is present.
fn set_millis(
    builder: ConfigBuilder,
    millis: Option<u64>,
    setter: fn(ConfigBuilder, Duration) -> ConfigBuilder,
) -> ConfigBuilder {
    set(builder, millis.map(Duration::from_millis), setter)
}
