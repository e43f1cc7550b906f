//! Builder that holds the default values and validates the options.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, VmName};

use super::{
    Budgets, Config, ConfigError, Limits, Listen, LogStoreConfig, Result, Tickets, UpstreamLimits,
};

const DEFAULT_LOG_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_LIMITS: Limits = Limits {
    body_buffer_bytes: 64 * 1024,
    header_bytes: 16 * 1024,
    queue: 64,
};
const DEFAULT_TICKETS: Tickets = Tickets {
    lifetime: Duration::from_secs(600),
    capacity: 10_000,
    response_bytes: 8 * 1024 * 1024,
    response_lifetime: Duration::from_secs(600),
};
const DEFAULT_BUDGETS: Budgets = Budgets {
    probe: 3_000,
    news: 5_000,
    configuration: 5_000,
    load: 1_000,
    // Up to 20 daemons of a region share 37,500 bytes per second, 1% of a 30 Mbit/s link.
    region_link: 1_875,
};
const DEFAULT_UPSTREAM: UpstreamLimits = UpstreamLimits {
    connections: 250,
    lease_max: Duration::from_secs(10),
};

/// Smallest allowed limit on the request line and headers; common clients may exceed a smaller one.
const MIN_HEADER_BYTES: usize = 1024;

/// Collects the options of a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    vm: VmName,
    region: Region,
    failure_domain: FailureDomain,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    upstream_listen: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    log_addr: Option<SocketAddr>,
    log_timeout: Duration,
    seeds: Vec<SocketAddr>,
    drain_timeout: Duration,
    limits: Limits,
    tickets: Tickets,
    budgets: Budgets,
    upstream: UpstreamLimits,
    log_level: log::LevelFilter,
}

impl ConfigBuilder {
    pub(super) fn new(vm: VmName, region: Region, failure_domain: FailureDomain) -> Self {
        Self {
            vm,
            region,
            failure_domain,
            callers: None,
            peers: None,
            upstream_listen: None,
            operators: None,
            metrics: None,
            log_addr: None,
            log_timeout: DEFAULT_LOG_TIMEOUT,
            seeds: Vec::new(),
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
            limits: DEFAULT_LIMITS,
            tickets: DEFAULT_TICKETS,
            budgets: DEFAULT_BUDGETS,
            upstream: DEFAULT_UPSTREAM,
            log_level: log::LevelFilter::Info,
        }
    }

    /// Sets the address for callers; required.
    ///
    /// Callers must be able to reach it, because refusals name it to callers in other regions.
    #[must_use]
    pub fn listen_callers(mut self, addr: SocketAddr) -> Self {
        self.callers = Some(addr);
        self
    }

    /// Sets the address for other daemons, which must be able to reach it; required.
    #[must_use]
    pub fn listen_peers(mut self, addr: SocketAddr) -> Self {
        self.peers = Some(addr);
        self
    }

    /// Sets the address for announcements of local upstreams; required.
    ///
    /// It must be a loopback address, because announcements are not authenticated.
    #[must_use]
    pub fn listen_upstream(mut self, addr: SocketAddr) -> Self {
        self.upstream_listen = Some(addr);
        self
    }

    /// Sets the address for calls of operators and for configuration pulls; required.
    ///
    /// Other daemons must be able to reach it.
    #[must_use]
    pub fn listen_operators(mut self, addr: SocketAddr) -> Self {
        self.operators = Some(addr);
        self
    }

    /// Sets the address for metrics; required.
    #[must_use]
    pub fn listen_metrics(mut self, addr: SocketAddr) -> Self {
        self.metrics = Some(addr);
        self
    }

    /// Sets the address of the log store; required.
    #[must_use]
    pub fn log_store_addr(mut self, addr: SocketAddr) -> Self {
        self.log_addr = Some(addr);
        self
    }

    /// Sets the time after which a call to the log store counts as failed.
    ///
    /// The default is 2 s. With a shorter timeout, the outcome of more appends is reported as
    /// unknown while the log store is slow; a longer one delays the report of an outage.
    #[must_use]
    pub fn log_store_timeout(mut self, timeout: Duration) -> Self {
        self.log_timeout = timeout;
        self
    }

    /// Sets the peer addresses of other daemons to contact first; the default is none.
    ///
    /// Without seeds the daemon depends on the log store to find other daemons.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the longest time that a planned stop waits for running requests.
    ///
    /// The default is 30 s. Requests that run longer are interrupted; a longer timeout delays the
    /// replacement of the VM.
    #[must_use]
    pub fn drain_timeout(mut self, timeout: Duration) -> Self {
        self.drain_timeout = timeout;
        self
    }

    /// Sets the largest body that is buffered so that the request can be retried, in bytes.
    ///
    /// The default is 64 KiB; each running request may hold this much memory. Requests with a
    /// larger body are streamed and not retried.
    #[must_use]
    pub fn body_buffer_bytes(mut self, bytes: usize) -> Self {
        self.limits.body_buffer_bytes = bytes;
        self
    }

    /// Sets the largest size of the request line and headers in bytes; at least 1 KiB.
    ///
    /// The default is 16 KiB; each connection may hold this much memory.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        self.limits.header_bytes = bytes;
        self
    }

    /// Sets how many requests may wait for admission.
    ///
    /// The default is 64. Regardless of this option, at most four requests wait for each slot of
    /// the upstream. A longer queue absorbs longer bursts and increases the latency of the requests
    /// in it.
    #[must_use]
    pub fn queue(mut self, requests: usize) -> Self {
        self.limits.queue = requests;
        self
    }

    /// Sets the time after which a ticket expires.
    ///
    /// The default is 10 minutes. With a longer lifetime, more tickets are held in memory.
    #[must_use]
    pub fn ticket_lifetime(mut self, lifetime: Duration) -> Self {
        self.tickets.lifetime = lifetime;
        self
    }

    /// Sets the largest number of tickets that are valid at a time.
    ///
    /// The default is 10,000. More tickets need more memory; at the limit, no further tickets are
    /// issued.
    #[must_use]
    pub fn ticket_capacity(mut self, tickets: usize) -> Self {
        self.tickets.capacity = tickets;
        self
    }

    /// Sets the largest total size of stored responses to at-most-once requests, in bytes.
    ///
    /// The default is 8 MiB, an eighth of the 64 MB that a daemon may use. If a response has been
    /// evicted, a repeat of its request gets the outcome `unknown` instead.
    #[must_use]
    pub fn ticket_response_bytes(mut self, bytes: usize) -> Self {
        self.tickets.response_bytes = bytes;
        self
    }

    /// Sets the time for which a response to an at-most-once request is stored.
    ///
    /// The default is 10 minutes. With a longer time, responses are more likely to be evicted
    /// because of their total size.
    #[must_use]
    pub fn ticket_response_lifetime(mut self, lifetime: Duration) -> Self {
        self.tickets.response_lifetime = lifetime;
        self
    }

    /// Sets the budget for probes, in bytes per second.
    ///
    /// The default is 3,000. A smaller budget delays the detection of failed members.
    #[must_use]
    pub fn budget_probe(mut self, bytes_per_s: u32) -> Self {
        self.budgets.probe = bytes_per_s;
        self
    }

    /// Sets the budget for membership updates, in bytes per second.
    ///
    /// The default is 5,000. A smaller budget delays the dissemination of upstream states.
    #[must_use]
    pub fn budget_news(mut self, bytes_per_s: u32) -> Self {
        self.budgets.news = bytes_per_s;
        self
    }

    /// Sets the budget for configuration records, in bytes per second.
    ///
    /// The default is 5,000. With a smaller budget, configuration changes come into force later.
    #[must_use]
    pub fn budget_configuration(mut self, bytes_per_s: u32) -> Self {
        self.budgets.configuration = bytes_per_s;
        self
    }

    /// Sets the budget for polls of the upstream's load endpoint, in bytes per second.
    ///
    /// The default is 1,000. With a smaller budget, load reports are older when they are used.
    #[must_use]
    pub fn budget_load(mut self, bytes_per_s: u32) -> Self {
        self.budgets.load = bytes_per_s;
        self
    }

    /// Sets the budget for control traffic to other regions, in bytes per second.
    ///
    /// The default is 1,875. Traffic between regions is billed by volume; a smaller budget delays
    /// membership updates and configuration changes between regions.
    #[must_use]
    pub fn budget_region_link(mut self, bytes_per_s: u32) -> Self {
        self.budgets.region_link = bytes_per_s;
        self
    }

    /// Sets the largest number of requests that run at an upstream at a time, each over its own
    /// connection.
    ///
    /// The default is 250, the common connection limit of the deployed upstreams.
    #[must_use]
    pub fn upstream_connections(mut self, connections: u16) -> Self {
        self.upstream.connections = connections;
        self
    }

    /// Sets the longest lease that an announcement may ask for.
    ///
    /// The default is 10 s. A longer lease delays the detection of an upstream that stopped
    /// without an announcement; with a shorter one, upstreams renew their lease more often.
    #[must_use]
    pub fn upstream_lease_max(mut self, lease: Duration) -> Self {
        self.upstream.lease_max = lease;
        self
    }

    /// Sets the least severe level that is logged; the default is `info`.
    ///
    /// `debug` and `trace` log individual requests, which increases their latency.
    #[must_use]
    pub fn log_level(mut self, level: log::LevelFilter) -> Self {
        self.log_level = level;
        self
    }

    /// Validates the options and returns them as a [`Config`].
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first option that is missing or has an unusable value.
    pub fn build(self) -> Result<Config> {
        self.check_listen()?;
        self.check_limits()?;
        self.check_budgets()?;
        Ok(Config {
            listen: Listen {
                callers: required(self.callers, "listen.callers")?,
                peers: required(self.peers, "listen.peers")?,
                upstream: required(self.upstream_listen, "listen.upstream")?,
                operators: required(self.operators, "listen.operators")?,
                metrics: required(self.metrics, "listen.metrics")?,
            },
            log_store: LogStoreConfig {
                addr: required(self.log_addr, "log_store.addr")?,
                timeout: self.log_timeout,
            },
            vm: self.vm,
            region: self.region,
            failure_domain: self.failure_domain,
            seeds: self.seeds,
            drain_timeout: self.drain_timeout,
            limits: self.limits,
            tickets: self.tickets,
            budgets: self.budgets,
            upstream: self.upstream,
            log_level: self.log_level,
        })
    }

    fn check_listen(&self) -> Result<()> {
        let listeners = [
            ("listen.callers", self.callers),
            ("listen.peers", self.peers),
            ("listen.upstream", self.upstream_listen),
            ("listen.operators", self.operators),
            ("listen.metrics", self.metrics),
        ];
        for (index, (key, addr)) in listeners.iter().enumerate() {
            let used = |(_, other): &(_, Option<SocketAddr>)| other == addr && has_port(*other);
            if listeners[..index].iter().any(used) {
                return Err(ConfigError {
                    key,
                    problem: "is the address of another listener",
                    remedy: "give each listener its own port",
                });
            }
        }
        for (key, addr) in [
            ("listen.callers", self.callers),
            ("listen.peers", self.peers),
            ("listen.operators", self.operators),
        ] {
            if addr.is_some_and(|a| a.ip().is_unspecified()) {
                return Err(ConfigError {
                    key,
                    problem: "names no interface",
                    remedy: "use the IP address under which others reach this VM",
                });
            }
        }
        if self.upstream_listen.is_some_and(|a| !a.ip().is_loopback()) {
            return Err(ConfigError {
                key: "listen.upstream",
                problem: "is not a loopback address",
                remedy: "use an address such as 127.0.0.1:7103",
            });
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<()> {
        if self.limits.header_bytes < MIN_HEADER_BYTES {
            return Err(ConfigError {
                key: "limits.header_bytes",
                problem: "is below 1024",
                remedy: "use 1024 or more",
            });
        }
        let positive = [
            ("log_store.timeout_ms", self.log_timeout.is_zero()),
            ("tickets.lifetime_ms", self.tickets.lifetime.is_zero()),
            ("tickets.capacity", self.tickets.capacity == 0),
            ("upstream.connections", self.upstream.connections == 0),
            ("upstream.lease_max_ms", self.upstream.lease_max.is_zero()),
        ];
        require_positive(&positive)
    }

    fn check_budgets(&self) -> Result<()> {
        require_positive(&[
            ("budgets.probe", self.budgets.probe == 0),
            ("budgets.news", self.budgets.news == 0),
            ("budgets.configuration", self.budgets.configuration == 0),
            ("budgets.load", self.budgets.load == 0),
            ("budgets.region_link", self.budgets.region_link == 0),
        ])
    }
}

/// Returns whether the address has a fixed port; for port 0 the operating system picks a free one.
fn has_port(addr: Option<SocketAddr>) -> bool {
    addr.is_some_and(|a| a.port() != 0)
}

/// Returns the value of a required address, or an error that names its key.
fn required<T>(value: Option<T>, key: &'static str) -> Result<T> {
    value.ok_or(ConfigError {
        key,
        problem: "is missing",
        remedy: "set it to an IP address with port",
    })
}

/// Returns an error for the first key in the list whose value is zero.
fn require_positive(checks: &[(&'static str, bool)]) -> Result<()> {
    match checks.iter().find(|(_, is_zero)| *is_zero) {
        Some((key, _)) => Err(ConfigError {
            key,
            problem: "is 0",
            remedy: "use a number above 0, or leave it out for the default",
        }),
        None => Ok(()),
    }
}
