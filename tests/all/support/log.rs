//! The log stand-in as the tests see it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_logstore::{HttpLogStore, LogStore, Record};
use cornelvalve_model::{LogEntry, Offset, Snapshot};
use cornelvalve_standins::LogFaults;
use cornelvalve_wire::log::{decode_entry, encode_entry};

use super::http::{request, send};

/// Stream that carries the configuration.
pub(crate) const CONFIGURATION: &str = "configuration";

/// Most records that a test reads.
const MAX_RECORDS: usize = 10_000;

/// Time that a call to the stand-in may take on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Direct access to the log stand-in.
#[derive(Debug)]
pub(crate) struct LogAccess {
    addr: SocketAddr,
    store: HttpLogStore,
}

impl LogAccess {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let store = HttpLogStore::new(addr, CALL_TIMEOUT);
        Self { addr, store }
    }

    /// Replaces the faults of the stand-in.
    pub(crate) async fn set_faults(&self, faults: LogFaults) {
        let body = serde_json::to_vec(&faults).expect("faults can be encoded");
        let headers = [("content-type", "application/json")];
        let put = request("PUT", "log", "/faults", &headers, body);
        let answer = send(self.addr, put).await.expect("stand-in answers");
        assert!(answer.status.is_success(), "{answer:?}");
    }

    /// Appends bytes to the configuration as they are.
    pub(crate) async fn append(&self, record: impl Into<Bytes>) -> Offset {
        let appended = self.store.append(CONFIGURATION, &[record.into()]).await;
        appended.expect("record is appended")
    }

    /// Appends a snapshot.
    pub(crate) async fn append_snapshot(&self, snapshot: Snapshot) -> Offset {
        let record = encode_entry(&LogEntry::Snapshot(snapshot)).expect("snapshot is small");
        self.append(record).await
    }

    /// Returns the retained records of a stream.
    pub(crate) async fn records(&self, stream: &str) -> Vec<Record> {
        let mut from = Offset(0);
        loop {
            let read = self.store.read(stream, from, MAX_RECORDS, Duration::ZERO);
            match read.await {
                Ok(page) => return page.records,
                Err(cornelvalve_logstore::Error::RecordsGone { first_retained }) => {
                    from = first_retained;
                }
                Err(e) => panic!("stand-in cannot be read: {e}"),
            }
        }
    }

    /// Returns the retained snapshots with their offsets, oldest first.
    pub(crate) async fn snapshots(&self) -> Vec<(Offset, Snapshot)> {
        let records = self.records(CONFIGURATION).await;
        let snapshot = |r: &Record| match decode_entry(&r.data) {
            Ok(LogEntry::Snapshot(snapshot)) => Some((r.offset, snapshot)),
            _ => None,
        };
        records.iter().filter_map(snapshot).collect()
    }
}
