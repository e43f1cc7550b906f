//! Pulls of configuration records from a peer.

use cornelvalve_api::{OperatorsClient, PeerRecords};
use cornelvalve_budget::{TrafficClass, Verdict as BudgetVerdict};
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::Offset;
use http::Response;
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::budget::BudgetMessage;
use crate::membership::PeerAddress;
use crate::timeline::ClockLink;

/// Records pulled from a peer at once.
const PULL_RECORDS: u32 = 256;

/// Estimated cost of a pull before its answer is known, in bytes.
const PULL_BYTES: u32 = 2048;

/// Asks a peer for the records from an offset on; `None` if it has none in force or did not
/// answer.
pub(super) async fn pull_from(
    peer: PeerAddress,
    after: Offset,
    budget: &Mailbox<BudgetMessage>,
    link: ClockLink,
) -> Option<PeerRecords> {
    let charged = budget.ask(|reply| BudgetMessage::Charge {
        class: TrafficClass::Configuration,
        bytes: PULL_BYTES,
        crosses_region: peer.crosses_region,
        reply,
    });
    if !matches!(charged.await, Ok(BudgetVerdict::Send)) {
        return None;
    }
    // What the peer did before it answered comes before what its records cause here.
    let observe = tower::ServiceBuilder::new().map_response(move |response: Response<Incoming>| {
        link.observe(response.headers());
        response
    });
    let client = HttpClientBuilder::default()
        .set_http_middleware(observe)
        .build(format!("http://{}", peer.operator_addr))
        .ok()?;
    match client.peer_records(after, PULL_RECORDS).await {
        Ok(records) => Some(records),
        Err(e) => {
            log::debug!("records were not pulled from {}: {e}", peer.operator_addr);
            None
        }
    }
}
