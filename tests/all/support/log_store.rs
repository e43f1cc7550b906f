//! Client of the log stand-in, which takes the place of the log store. A log store holds ordered
//! streams of records; one of them holds the changes of the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_logstore::{HttpLogStore, LogStore, Record};
use cornelvalve_model::{LogEntry, Offset, Snapshot};
use cornelvalve_standins::LogFaults;
use cornelvalve_wire::log::{decode_entry, encode_entry};

use super::http::{request, send};

/// Name of the stream that holds the configuration.
pub(crate) const CONFIGURATION_STREAM: &str = "configuration";

/// Maximum number of records that a test reads from a stream.
const MAX_RECORDS: usize = 10_000;

/// Time limit of a call to the stand-in, long enough for a heavily loaded machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the log stand-in that reads and writes records without a daemon.
#[derive(Debug)]
pub(crate) struct LogStoreClient {
    addr: SocketAddr,
    store: HttpLogStore,
}

impl LogStoreClient {
    /// Creates a client of the stand-in at an address.
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let store = HttpLogStore::new(addr, CALL_TIMEOUT);
        Self { addr, store }
    }

    /// Replaces the injected faults of the stand-in.
    pub(crate) async fn set_faults(&self, faults: LogFaults) {
        let body = serde_json::to_vec(&faults).expect("faults can be encoded");
        let headers = [("content-type", "application/json")];
        let put = request("PUT", "log", "/faults", &headers, body);
        let response = send(self.addr, put).await.expect("stand-in responds");
        assert!(response.status.is_success(), "{response:?}");
    }

    /// Appends a record to the configuration stream; its bytes need not be valid. Returns its
    /// offset.
    pub(crate) async fn append(&self, record: impl Into<Bytes>) -> Offset {
        let appended = self
            .store
            .append(CONFIGURATION_STREAM, &[record.into()])
            .await;
        appended.expect("record is appended")
    }

    /// Appends a snapshot to the configuration stream and returns its offset.
    pub(crate) async fn append_snapshot(&self, snapshot: Snapshot) -> Offset {
        let record = encode_entry(&LogEntry::Snapshot(snapshot)).expect("snapshot is small");
        self.append(record).await
    }

    /// Returns the records of a stream that the stand-in retains.
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

    /// Returns the retained snapshots of the configuration with their offsets, oldest first.
    pub(crate) async fn snapshots(&self) -> Vec<(Offset, Snapshot)> {
        let records = self.records(CONFIGURATION_STREAM).await;
        let snapshot = |r: &Record| match decode_entry(&r.data) {
            Ok(LogEntry::Snapshot(snapshot)) => Some((r.offset, snapshot)),
            _ => None,
        };
        records.iter().filter_map(snapshot).collect()
    }
}
