//! Configuration records between daemons, and their cost.
//!
//! Each side charges what it sends: the puller its request, the other daemon its reply.

use cornelvalve_api::{OperatorsClient, PeerRecords};
use cornelvalve_budget::{SendDecision, TrafficClass};
use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_model::Offset;
use http::Response;
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::budget::BudgetMessage;
use crate::membership::PeerAddress;
use crate::timeline::ClockPropagator;

/// Records pulled from a peer at once.
const PULL_RECORDS: u32 = 256;

/// Largest request in bytes: head and JSON-RPC call with the longest numbers.
const REQUEST_BYTES: u32 = 300;

/// Bytes of the head of a reply and of its JSON-RPC envelope, rounded up.
const REPLY_HEAD_BYTES: usize = 220;

/// Bytes that either side of a connection sends beside segments with data: six segments of 40 to
/// 60 bytes to open, acknowledge and close.
const CONNECTION_BYTES: u32 = 300;

/// Data in a TCP segment, and the headers of IP and TCP before it.
const SEGMENT_BYTES: u32 = 1448;
const SEGMENT_HEADERS: u32 = 52;

/// Returns what a transfer over a connection of its own costs its sender.
fn cost(payload: u32) -> u32 {
    let segments = payload.div_ceil(SEGMENT_BYTES);
    let headers = segments.saturating_mul(SEGMENT_HEADERS);
    payload
        .saturating_add(headers)
        .saturating_add(CONNECTION_BYTES)
}

/// Asks a peer for the records from an offset on; `None` if it has none in force or did not
/// answer.
pub(super) async fn pull_from(
    peer: PeerAddress,
    after: Offset,
    budget: &Mailbox<BudgetMessage>,
    link: ClockPropagator,
) -> Option<PeerRecords> {
    let charged = budget.ask(|reply| BudgetMessage::Charge {
        class: TrafficClass::Configuration,
        bytes: cost(REQUEST_BYTES),
        crosses_region: peer.crosses_region,
        reply,
    });
    if !matches!(charged.await, Ok(SendDecision::Send)) {
        return None;
    }
    // What the peer did before it answered comes before what its records cause here.
    let observe = tower::ServiceBuilder::new().map_response(move |response: Response<Incoming>| {
        link.extract(response.headers());
        response
    });
    let client = HttpClientBuilder::default()
        .set_http_middleware(observe)
        .build(format!("http://{}", peer.operator_addr))
        .ok()?;
    match client.peer_records(after, PULL_RECORDS).await {
        Ok(records) => Some(records),
        Err(e) => {
            let addr = peer.operator_addr;
            log::debug!("records were not pulled from {addr}: {e}");
            None
        }
    }
}

/// Hands records to a peer that asked for them, or nothing if the budget does not allow it.
pub(super) async fn hand_over(
    records: Option<PeerRecords>,
    reply: ReplySender<Option<PeerRecords>>,
    budget: Mailbox<BudgetMessage>,
) {
    let granted = match records {
        Some(records) if is_granted(&records, &budget).await => Some(records),
        _ => None,
    };
    reply.send(granted);
}

async fn is_granted(records: &PeerRecords, budget: &Mailbox<BudgetMessage>) -> bool {
    let Ok(encoded) = serde_json::to_vec(records) else {
        return false;
    };
    let payload = u32::try_from(encoded.len() + REPLY_HEAD_BYTES).unwrap_or(u32::MAX);
    let charged = budget.ask(|reply| BudgetMessage::ChargeBulk {
        class: TrafficClass::Configuration,
        bytes: cost(payload),
        // The call does not tell where the peer stands; the request was charged to the link.
        crosses_region: false,
        reply,
    });
    matches!(charged.await, Ok(SendDecision::Send))
}
