//! Pulls of configuration records from a peer.

use std::net::SocketAddr;

use cornelvalve_api::{OperatorsClient, PeerRecords};
use cornelvalve_budget::{TrafficClass, Verdict as BudgetVerdict};
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::Offset;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::budget::BudgetMessage;

/// Records pulled from a peer at once.
const PULL_RECORDS: u32 = 256;

/// Estimated cost of a pull before its answer is known, in bytes.
const PULL_BYTES: u32 = 2048;

/// Asks a peer for the records from an offset on; `None` if it has none in force or did not
/// answer.
pub(super) async fn pull_from(
    operator_addr: SocketAddr,
    after: Offset,
    budget: &Mailbox<BudgetMessage>,
) -> Option<PeerRecords> {
    let charged = budget.ask(|reply| BudgetMessage::Charge {
        class: TrafficClass::Configuration,
        bytes: PULL_BYTES,
        crosses_region: false,
        reply,
    });
    if !matches!(charged.await, Ok(BudgetVerdict::Send)) {
        return None;
    }
    let client = HttpClientBuilder::default()
        .build(format!("http://{operator_addr}"))
        .ok()?;
    match client.peer_records(after, PULL_RECORDS).await {
        Ok(records) => Some(records),
        Err(e) => {
            log::debug!("records were not pulled from {operator_addr}: {e}");
            None
        }
    }
}
