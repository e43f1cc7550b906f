//! Builder that checks the options once.

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
    // Up to 20 daemons share 1% of 30 Mbit/s, which is 37,500 bytes a second.
    region_link: 1_875,
};
const DEFAULT_UPSTREAM: UpstreamLimits = UpstreamLimits {
    connections: 250,
    lease_max: Duration::from_secs(10),
};

/// Smallest head limit under which common clients still work.
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

    /// Sets the address for callers; required, and must be one that they can reach, because
    /// refusals name it to callers of other regions.
    #[must_use]
    pub fn listen_callers(mut self, addr: SocketAddr) -> Self {
        self.callers = Some(addr);
        self
    }

    /// Sets the address for other daemons; required, and must be one that they can reach.
    #[must_use]
    pub fn listen_peers(mut self, addr: SocketAddr) -> Self {
        self.peers = Some(addr);
        self
    }

    /// Sets the address for announcements; required, and must be a loopback address because
    /// announcements are not authenticated.
    #[must_use]
    pub fn listen_upstream(mut self, addr: SocketAddr) -> Self {
        self.upstream_listen = Some(addr);
        self
    }

    /// Sets the address for operators and configuration pulls; required, and must be one that
    /// other daemons can reach.
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
    /// The default is 2 s. A shorter time reports more appends as unknown while the log store is
    /// slow; a longer one delays the report of an outage.
    #[must_use]
    pub fn log_store_timeout(mut self, timeout: Duration) -> Self {
        self.log_timeout = timeout;
        self
    }

    /// Sets the peer addresses that are asked first; the default is none.
    ///
    /// Without a seed the daemon depends on the log store to find others.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the longest time that a planned stop waits for running requests.
    ///
    /// The default is 30 s. A shorter time interrupts requests that run longer; a longer one
    /// delays replacements of the VM.
    #[must_use]
    pub fn drain_timeout(mut self, timeout: Duration) -> Self {
        self.drain_timeout = timeout;
        self
    }

    /// Sets the longest body that is buffered for another try.
    ///
    /// The default is 64 KiB; each running request may hold this much memory. Longer bodies are
    /// streamed and not tried again.
    #[must_use]
    pub fn body_buffer_bytes(mut self, bytes: usize) -> Self {
        self.limits.body_buffer_bytes = bytes;
        self
    }

    /// Sets the longest request head; at least 1 KiB.
    ///
    /// The default is 16 KiB; each connection may hold this much memory.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        self.limits.header_bytes = bytes;
        self
    }

    /// Sets how many requests wait for admission, and never more than four for each slot.
    ///
    /// The default is 64. A longer queue absorbs longer bursts and lengthens the latency of the
    /// requests in it.
    #[must_use]
    pub fn queue(mut self, requests: usize) -> Self {
        self.limits.queue = requests;
        self
    }

    /// Sets the time after which a ticket expires.
    ///
    /// The default is 10 minutes. A longer time keeps more tickets in memory.
    #[must_use]
    pub fn ticket_lifetime(mut self, lifetime: Duration) -> Self {
        self.tickets.lifetime = lifetime;
        self
    }

    /// Sets how many tickets are held at once.
    ///
    /// The default is 10,000. More tickets cost more memory; when all are in use, no further
    /// ones are issued.
    #[must_use]
    pub fn ticket_capacity(mut self, tickets: usize) -> Self {
        self.tickets.capacity = tickets;
        self
    }

    /// Sets the bytes of stored responses to at-most-once requests.
    ///
    /// The default is 8 MiB, an eighth of the 64 MB that a daemon may use. After eviction, a
    /// repeat of the request gets the outcome `unknown` instead of the response.
    #[must_use]
    pub fn ticket_response_bytes(mut self, bytes: usize) -> Self {
        self.tickets.response_bytes = bytes;
        self
    }

    /// Sets the time for which a response to an at-most-once request is stored.
    ///
    /// The default is 10 minutes. A longer time makes eviction by size more likely.
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
    /// The default is 5,000. A smaller budget delays changes coming into force.
    #[must_use]
    pub fn budget_configuration(mut self, bytes_per_s: u32) -> Self {
        self.budgets.configuration = bytes_per_s;
        self
    }

    /// Sets the budget for polls of the upstream's load endpoint, in bytes per second.
    ///
    /// The default is 1,000. A smaller budget makes load reports older.
    #[must_use]
    pub fn budget_load(mut self, bytes_per_s: u32) -> Self {
        self.budgets.load = bytes_per_s;
        self
    }

    /// Sets the budget for control traffic to other regions, in bytes per second.
    ///
    /// The default is 2,000. The link is billed by volume; a smaller budget delays news and
    /// configuration between regions.
    #[must_use]
    pub fn budget_region_link(mut self, bytes_per_s: u32) -> Self {
        self.budgets.region_link = bytes_per_s;
        self
    }

    /// Sets how many requests run at the upstream at once at most, each over a connection of its
    /// own.
    ///
    /// The default is 250, what the users' upstreams accept.
    #[must_use]
    pub fn upstream_connections(mut self, connections: u16) -> Self {
        self.upstream.connections = connections;
        self
    }

    /// Sets the longest lease that an announcement may ask for.
    ///
    /// The default is 10 s. A longer lease delays the detection of an upstream that stopped
    /// without notice; a shorter one makes upstreams renew more often.
    #[must_use]
    pub fn upstream_lease_max(mut self, lease: Duration) -> Self {
        self.upstream.lease_max = lease;
        self
    }

    /// Sets the least severe level that is logged; the default is `info`.
    ///
    /// `debug` and `trace` write lines for single requests and cost latency.
    #[must_use]
    pub fn log_level(mut self, level: log::LevelFilter) -> Self {
        self.log_level = level;
        self
    }

    /// Checks the options and creates the configuration.
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

/// Tells whether the address has a fixed port; the system picks a free one for port 0.
fn has_port(addr: Option<SocketAddr>) -> bool {
    addr.is_some_and(|a| a.port() != 0)
}

fn required<T>(value: Option<T>, key: &'static str) -> Result<T> {
    value.ok_or(ConfigError {
        key,
        problem: "is missing",
        remedy: "set it to an IP address with port",
    })
}

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
