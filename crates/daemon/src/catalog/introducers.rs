//! Discovery of other daemons through the log stream `introducers`, for daemons none of whose
//! configured seed addresses answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{Error, LogStore, Page, Result};
use cornelvalve_model::{Moment, Offset};
use cornelvalve_wire::log::{decode_introducer, encode_introducer};

use crate::membership::MembershipMessage;

/// Name of the stream with the peer addresses of daemons that others can contact first.
const INTRODUCER_STREAM: &str = "introducers";

/// Interval of checks.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Interval at which a reader of the log appends its address. The 24 readers, two in each of 12
/// failure domains, together append 2.4 records a minute.
const APPEND_PERIOD: Duration = Duration::from_secs(600);

/// Largest number of addresses that one check passes to the membership service; the most recent
/// ones are used.
const MAX_ADDRESSES: usize = 8;

/// An isolated daemon appends its address only if the stream lists fewer other addresses than this,
/// so that many daemons that start at the same time do not all append.
const MIN_LISTED_ADDRESSES: usize = 4;

/// Number of checks after which a daemon that is still isolated appends its address even if the
/// stream lists enough others.
const MAX_ISOLATED_CHECKS: u32 = 12;

/// Largest number of records in one read; each record holds only an address.
const PAGE_RECORDS: usize = 1024;

/// Options of one check.
#[derive(Clone, Copy, Debug)]
pub(super) struct CheckOptions {
    /// Whether to append the address of this daemon even if it is not isolated.
    append_due: bool,
    /// Whether an isolated daemon appends its address even though the stream already lists enough
    /// others.
    force_append: bool,
    /// Whether this daemon appended its address within the last [`APPEND_PERIOD`]. If so, it does
    /// not append it again, regardless of the other options.
    recently_appended: bool,
}

/// Result of a check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckResult {
    is_isolated: bool,
    has_appended: bool,
}

/// Decides when this daemon checks whether it is isolated and when it appends its address.
///
/// A daemon is isolated if it knows no other member that accepts requests.
#[derive(Debug)]
pub(super) struct CheckSchedule {
    next_check: Moment,
    next_append: Moment,
    last_append: Option<Moment>,
    isolated_checks: u32,
}

impl CheckSchedule {
    /// Creates the schedule of a daemon that has not appended its address yet.
    ///
    /// `random` is between 0 and 1 and differs between daemons, which spreads their appends over
    /// [`APPEND_PERIOD`].
    pub(super) fn new(random: f64, now: Moment) -> Self {
        Self {
            next_check: now,
            next_append: now + APPEND_PERIOD.mul_f64(random),
            last_append: None,
            isolated_checks: 0,
        }
    }

    /// Returns the options of the check that is due, or `None` if none is due.
    pub(super) fn poll(&mut self, is_reader: bool, now: Moment) -> Option<CheckOptions> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_PERIOD;
        Some(CheckOptions {
            append_due: is_reader && now >= self.next_append,
            force_append: self.isolated_checks >= MAX_ISOLATED_CHECKS,
            recently_appended: self
                .last_append
                .is_some_and(|at| now.since(at) < APPEND_PERIOD),
        })
    }

    /// Records the result of a check.
    pub(super) fn record(&mut self, result: CheckResult, now: Moment) {
        self.isolated_checks = if result.is_isolated {
            self.isolated_checks.saturating_add(1)
        } else {
            0
        };
        if result.has_appended {
            self.last_append = Some(now);
            self.next_append = now + APPEND_PERIOD;
        }
    }
}

/// Checks whether this daemon is isolated and, if it is, passes the addresses of other daemons in
/// the stream to the membership service.
///
/// Then appends the address of this daemon if `options` say so, or if this daemon is isolated and
/// the stream lists too few others.
pub(super) async fn check(
    store: Arc<dyn LogStore>,
    membership: Mailbox<MembershipMessage>,
    own: SocketAddr,
    options: CheckOptions,
) -> CheckResult {
    let asked = membership.ask(|reply| MembershipMessage::IsIsolated { reply });
    let is_isolated = asked.await.unwrap_or_default();
    let mut should_append = options.append_due;
    if is_isolated {
        match read_addresses(&*store, own).await {
            Ok(found) => {
                should_append |= found.len() < MIN_LISTED_ADDRESSES || options.force_append;
                // If the mailbox is full, the next check sends the addresses again.
                let _ = membership.try_send(MembershipMessage::AddSeeds(found));
            }
            Err(e) => log::debug!("reading the stream {INTRODUCER_STREAM} failed: {e}"),
        }
    }
    let has_appended =
        should_append && !options.recently_appended && append_address(&*store, own).await;
    CheckResult {
        is_isolated,
        has_appended,
    }
}

/// Appends the address of this daemon and returns whether the record might be in the stream, as it
/// might after a timeout.
async fn append_address(store: &dyn LogStore, own: SocketAddr) -> bool {
    let record = Bytes::from(encode_introducer(own));
    match store.append(INTRODUCER_STREAM, &[record]).await {
        Ok(_) => true,
        // An append that timed out counts as done, so that retries do not overload a slow log
        // store.
        Err(Error::OutcomeUnknown(_)) => true,
        Err(e) => {
            log::debug!(
                "appending the address of this daemon to the stream {INTRODUCER_STREAM} failed: {e}"
            );
            false
        }
    }
}

/// Reads the stream and returns the latest addresses of other daemons, latest first.
async fn read_addresses(store: &dyn LogStore, own: SocketAddr) -> Result<Vec<SocketAddr>> {
    let mut found: Vec<SocketAddr> = Vec::new();
    let mut from = Offset(0);
    loop {
        let page = match read_page(store, from).await {
            Err(Error::RecordsGone { first_retained }) if first_retained > from => {
                from = first_retained;
                continue;
            }
            page => page?,
        };
        if page.records.is_empty() {
            found.reverse();
            found.truncate(MAX_ADDRESSES);
            return Ok(found);
        }
        let added = page
            .records
            .iter()
            .filter_map(|r| decode_introducer(&r.data).ok());
        for addr in added.filter(|addr| *addr != own) {
            found.retain(|earlier| *earlier != addr);
            found.push(addr);
        }
        from = page.next;
    }
}

async fn read_page(store: &dyn LogStore, from: Offset) -> Result<Page> {
    store
        .read(INTRODUCER_STREAM, from, PAGE_RECORDS, Duration::ZERO)
        .await
}
