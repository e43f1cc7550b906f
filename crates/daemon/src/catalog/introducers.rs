//! First contact through the log stream `introducers`, for daemons without live seeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{Error, LogStore, Page, Result};
use cornelvalve_model::{Moment, Offset};
use cornelvalve_wire::log::{decode_introducer, encode_introducer};

use crate::membership::MembershipMessage;

/// Name of the stream with the peer addresses of readers.
const STREAM: &str = "introducers";

/// Time between two looks at whether this daemon is alone.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Time between two records of one reader. The 24 readers at 12 failure domains append 2.4 a
/// minute.
const APPEND_PERIOD: Duration = Duration::from_secs(600);

/// Addresses tried at once, the latest ones.
const MAX_ADDRESSES: usize = 8;

/// Addresses of others in the stream from which a lone daemon need not add its own, so that many
/// daemons that start together do not all append.
const ENOUGH_ADDRESSES: usize = 4;

/// Checks after which a daemon that is still alone adds its address all the same.
const MAX_LONE_CHECKS: u32 = 12;

/// Records read at once.
const PAGE_RECORDS: usize = 1024;

/// What one check is to do.
#[derive(Clone, Copy, Debug)]
pub(super) struct Check {
    /// Whether to append although others are known.
    appends: bool,
    /// Whether to append if this daemon is alone and enough others are listed.
    insists: bool,
    /// Whether to append at all.
    rests: bool,
}

/// Result of a check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Checked {
    is_alone: bool,
    appended: bool,
}

/// Decides when the stream is read and written.
#[derive(Debug)]
pub(super) struct Introducers {
    next_check: Moment,
    next_append: Moment,
    appended: Option<Moment>,
    lone_checks: u32,
}

impl Introducers {
    /// Creates the schedule; `random` lies between 0 and 1 and differs between daemons.
    pub(super) fn new(random: f64, now: Moment) -> Self {
        Self {
            next_check: now,
            next_append: now + APPEND_PERIOD.mul_f64(random),
            appended: None,
            lone_checks: 0,
        }
    }

    /// Returns the check that is due.
    pub(super) fn poll(&mut self, is_reader: bool, now: Moment) -> Option<Check> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_PERIOD;
        Some(Check {
            appends: is_reader && now >= self.next_append,
            insists: self.lone_checks >= MAX_LONE_CHECKS,
            rests: self
                .appended
                .is_some_and(|at| now.since(at) < APPEND_PERIOD),
        })
    }

    /// Takes the result of a check.
    pub(super) fn checked(&mut self, checked: Checked, now: Moment) {
        self.lone_checks = if checked.is_alone {
            self.lone_checks.saturating_add(1)
        } else {
            0
        };
        if checked.appended {
            self.appended = Some(now);
            self.next_append = now + APPEND_PERIOD;
        }
    }
}

/// Looks for members if this daemon is alone, and adds its address if it is due.
pub(super) async fn check(
    store: Arc<dyn LogStore>,
    membership: Mailbox<MembershipMessage>,
    own: SocketAddr,
    check: Check,
) -> Checked {
    let asked = membership.ask(|reply| MembershipMessage::IsAlone { reply });
    let is_alone = asked.await.unwrap_or_default();
    let mut appends = check.appends;
    if is_alone {
        match addresses(&*store, own).await {
            Ok(found) => {
                appends |= found.len() < ENOUGH_ADDRESSES || check.insists;
                // The next check repeats a message that a full mailbox refused.
                let _ = membership.try_send(MembershipMessage::Seeds(found));
            }
            Err(e) => log::debug!("stream {STREAM} was not read: {e}"),
        }
    }
    let appended = appends && !check.rests && append(&*store, own).await;
    Checked { is_alone, appended }
}

async fn append(store: &dyn LogStore, own: SocketAddr) -> bool {
    let record = Bytes::from(encode_introducer(own));
    match store.append(STREAM, &[record]).await {
        Ok(_) => true,
        // An append without answer counts, so that a faulty log is not flooded.
        Err(Error::OutcomeUnknown(_)) => true,
        Err(e) => {
            log::debug!("own address was not added to stream {STREAM}: {e}");
            false
        }
    }
}

/// Reads the latest addresses of others, latest first.
async fn addresses(store: &dyn LogStore, own: SocketAddr) -> Result<Vec<SocketAddr>> {
    let mut found: Vec<SocketAddr> = Vec::new();
    let mut from = Offset(0);
    loop {
        let page = match read(store, from).await {
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

async fn read(store: &dyn LogStore, from: Offset) -> Result<Page> {
    store.read(STREAM, from, PAGE_RECORDS, Duration::ZERO).await
}
