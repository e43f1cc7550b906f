//! Checked configuration of a daemon process.
//!
//! The services read [`Config`] and never a settings file, so that a program that embeds the
//! daemon needs none.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, VmName};
use derive_more::{Display, Error};

mod builder;

pub use builder::ConfigBuilder;

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, ConfigError>;

/// Reports an option that is missing or has an unusable value.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{key} {problem}; {remedy}")]
pub struct ConfigError {
    /// Key of the option as it stands in the settings, such as `listen.peers`.
    pub key: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
    /// What to do about it.
    pub remedy: &'static str,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers, HTTP/1.1 and HTTP/2.
    pub callers: SocketAddr,
    /// Other daemons: TCP for forwarded requests, UDP for membership.
    pub peers: SocketAddr,
    /// Announcements of upstreams; a loopback address.
    pub upstream: SocketAddr,
    /// Operators' calls and configuration pulls.
    pub operators: SocketAddr,
    /// Metrics in Prometheus text.
    pub metrics: SocketAddr,
}

/// How the log store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStoreConfig {
    /// Address of its HTTP interface.
    pub addr: SocketAddr,
    /// Time after which a call without response counts as failed.
    pub timeout: Duration,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest body that is buffered so that the request can be tried again.
    pub body_buffer_bytes: usize,
    /// Longest request head.
    pub header_bytes: usize,
    /// Requests that wait for admission before further ones are refused.
    pub queue: usize,
}

/// Limits on tickets of at-most-once requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tickets {
    /// Time after issue at which a ticket expires.
    pub lifetime: Duration,
    /// Tickets that are held at once.
    pub capacity: usize,
    /// Bytes of stored responses.
    pub response_bytes: usize,
    /// Time for which a response is stored.
    pub response_lifetime: Duration,
}

/// Budget of each class of control traffic, in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Probes and their replies.
    pub probe: u32,
    /// Membership updates and anti-entropy.
    pub news: u32,
    /// Configuration records and notices.
    pub configuration: u32,
    /// Polls of the load endpoint of the local upstream.
    pub load: u32,
    /// All control traffic of this daemon to other regions.
    pub region_link: u32,
}

/// Limits on the upstream beside the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Connections that are open to it at once.
    pub connections: u16,
    /// Longest lease that an announcement may ask for.
    pub lease_max: Duration,
}

/// Configuration of a daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// VM on which the daemon runs.
    pub vm: VmName,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Addresses on which the daemon listens.
    pub listen: Listen,
    /// Log store.
    pub log_store: LogStoreConfig,
    /// Peer addresses of daemons that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Longest time that a planned stop waits for running requests.
    pub drain_timeout: Duration,
    /// Limits on requests.
    pub limits: Limits,
    /// Limits on tickets.
    pub tickets: Tickets,
    /// Budgets of control traffic.
    pub budgets: Budgets,
    /// Limits on the upstream.
    pub upstream: UpstreamLimits,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Config {
    /// Creates a builder for a VM; addresses and the log store must be set, all else has
    /// defaults.
    #[must_use]
    pub fn builder(vm: VmName, region: Region, failure_domain: FailureDomain) -> ConfigBuilder {
        ConfigBuilder::new(vm, region, failure_domain)
    }
}
