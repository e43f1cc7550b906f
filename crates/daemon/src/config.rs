//! Validated options of a daemon process.
//!
//! The services read [`Config`] and never a settings file, so that a program that embeds the
//! daemon does not need such a file. The options are unrelated to the configuration that operators
//! publish and that all daemons share, which the catalog service handles.
//!
//! Some options concern upstreams, the servers on the VM of the daemon. An upstream announces
//! itself to the daemon for a limited time, its lease, and with a number of slots, which is the
//! number of requests that it runs at a time when warm.

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
    /// Key of the option in the settings file, such as `listen.peers`.
    pub key: &'static str,
    /// What is wrong with the option.
    pub problem: &'static str,
    /// How to correct the option.
    pub remedy: &'static str,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for requests of callers, over HTTP/1.1 or HTTP/2.
    pub callers: SocketAddr,
    /// Address for other daemons: TCP for forwarded requests, UDP for membership.
    pub peers: SocketAddr,
    /// Address for announcements of local upstreams; a loopback address.
    pub upstream: SocketAddr,
    /// Address for calls of operators and for configuration pulls of other daemons.
    pub operators: SocketAddr,
    /// Address for metrics in the Prometheus text format.
    pub metrics: SocketAddr,
}

/// Connection settings of the log store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStoreConfig {
    /// Address of the HTTP interface of the log store.
    pub addr: SocketAddr,
    /// Time after which a call without response counts as failed.
    pub timeout: Duration,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body that is buffered so that the request can be retried, in bytes.
    pub body_buffer_bytes: usize,
    /// Largest size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Number of requests that may wait for admission before further ones are refused.
    pub queue: usize,
}

/// Limits on tickets, which identify at-most-once requests, and on stored responses to these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tickets {
    /// Time from the issue of a ticket to its expiry.
    pub lifetime: Duration,
    /// Largest number of tickets at a time.
    pub capacity: usize,
    /// Largest total size of stored responses, in bytes.
    pub response_bytes: usize,
    /// Time for which a response is stored.
    pub response_lifetime: Duration,
}

/// Budget of each class of control traffic, in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Probes and their replies.
    pub probe: u32,
    /// Updates of member records: membership updates and anti-entropy exchanges of the gossip
    /// protocol.
    pub news: u32,
    /// Records of the shared configuration, and messages that report or ask for applied revisions.
    pub configuration: u32,
    /// Polls of the load endpoint of the local upstream.
    pub load: u32,
    /// Control traffic of all classes over the region link, that is, to other regions.
    pub region_link: u32,
}

/// Limits on the upstreams on the VM of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Largest number of open connections to an upstream.
    pub connections: u16,
    /// Longest lease that an announcement may ask for.
    pub lease_max: Duration,
}

/// Options of a daemon process.
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
    /// Connection settings of the log store.
    pub log_store: LogStoreConfig,
    /// Peer addresses of other daemons that this one contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Longest time that a planned stop waits for running requests.
    pub drain_timeout: Duration,
    /// Limits on requests.
    pub limits: Limits,
    /// Limits on tickets and stored responses.
    pub tickets: Tickets,
    /// Budgets of control traffic.
    pub budgets: Budgets,
    /// Limits on the local upstreams.
    pub upstream: UpstreamLimits,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Config {
    /// Creates a builder for the daemon on a VM.
    ///
    /// The listen addresses and the address of the log store must be set; all other options have
    /// defaults.
    #[must_use]
    pub fn builder(vm: VmName, region: Region, failure_domain: FailureDomain) -> ConfigBuilder {
        ConfigBuilder::new(vm, region, failure_domain)
    }
}
