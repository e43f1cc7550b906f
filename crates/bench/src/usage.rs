//! Reads the resource usage of the machine and of the daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::client::exchange;
use crate::daemon::DaemonHandle;
use crate::{ControlReport, Machine};

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), a constant of the Linux user-space
/// interface.
const TICKS_PER_S: f64 = 100.0;

/// Number of fields between the program name and the user time in `/proc/PID/stat`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Returns the number of cores, the memory and the load of the machine.
pub(crate) fn read_machine() -> Machine {
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let loadavg = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    Machine {
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory_mib: parse_number_field(&meminfo, "MemTotal:").unwrap_or(0) / 1024,
        load_before: loadavg
            .split(' ')
            .next()
            .and_then(|l| l.parse().ok())
            .unwrap_or(0.0),
    }
}

/// Returns the number in the line of a `/proc` file that starts with `key`.
fn parse_number_field(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the CPU time that a process has used.
fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(FIELDS_BEFORE_UTIME);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_S))
}

/// Returns the resident memory of a process in KiB.
fn rss_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    parse_number_field(&status, "VmRSS:")
}

/// Returns the number of voluntary context switches of all threads of a process.
fn voluntary_switches(pid: u32) -> Option<u64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let of_thread = |task: std::fs::DirEntry| {
        let status = std::fs::read_to_string(task.path().join("status")).ok()?;
        parse_number_field(&status, "voluntary_ctxt_switches:")
    };
    Some(tasks.flatten().filter_map(of_thread).sum())
}

/// Counters of a daemon at one point in time.
pub(crate) struct UsageSnapshot {
    at: Instant,
    /// CPU time of the process.
    cpu: Option<Duration>,
    /// Voluntary context switches of all threads of the process.
    switches: Option<u64>,
    /// Control bytes sent, by traffic class.
    sent: BTreeMap<String, f64>,
    /// Control bytes dropped, by traffic class.
    dropped: BTreeMap<String, f64>,
}

/// Reads the counters of a daemon. Counters that cannot be read are left out.
pub(crate) async fn take_snapshot(daemon: &dyn DaemonHandle) -> UsageSnapshot {
    let text = fetch_metrics(daemon.addrs().metrics)
        .await
        .unwrap_or_default();
    UsageSnapshot {
        at: Instant::now(),
        cpu: daemon.pid().and_then(cpu_time),
        switches: daemon.pid().and_then(voluntary_switches),
        sent: samples_by_class(&text, "cornelvalve_control_sent_bytes_total"),
        dropped: samples_by_class(&text, "cornelvalve_control_dropped_bytes_total"),
    }
}

/// Returns the metrics of a daemon in the Prometheus text format.
async fn fetch_metrics(addr: SocketAddr) -> Option<String> {
    let request = Request::get("/metrics")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (response, _) = exchange(addr, None, request).await.ok()?;
    String::from_utf8(response.body.to_vec()).ok()
}

/// Returns the values of a counter by their `class` label.
fn samples_by_class(text: &str, counter: &str) -> BTreeMap<String, f64> {
    let lines = text.lines().filter_map(|line| {
        let labelled = line.strip_prefix(counter)?.strip_prefix("{class=\"")?;
        let (class, value) = labelled.split_once("\"} ")?;
        Some((class.to_owned(), value.parse().ok()?))
    });
    lines.collect()
}

/// Returns the control traffic and resource usage of a daemon between two snapshots.
pub(crate) fn control_report(
    vm: usize,
    daemon: &dyn DaemonHandle,
    before: &UsageSnapshot,
    after: &UsageSnapshot,
) -> ControlReport {
    let seconds = (after.at - before.at).as_secs_f64();
    let per_second = |before: &BTreeMap<String, f64>, after: &BTreeMap<String, f64>| {
        let rates = after.iter().map(|(class, bytes)| {
            let earlier = before.get(class).copied().unwrap_or(0.0);
            (class.clone(), (bytes - earlier) / seconds)
        });
        rates.collect()
    };
    let cpu = after.cpu.zip(before.cpu);
    ControlReport {
        vm,
        sent_rate: per_second(&before.sent, &after.sent),
        dropped_rate: per_second(&before.dropped, &after.dropped),
        cpu_share: cpu.map(|(after, before)| (after - before).as_secs_f64() / seconds),
        switch_rate: after
            .switches
            .zip(before.switches)
            .map(|(after, before)| after.saturating_sub(before) as f64 / seconds),
        rss_kib: daemon.pid().and_then(rss_kib),
    }
}
