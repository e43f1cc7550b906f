//! Transfer of configuration records between daemons, charged to the traffic budget.
//!
//! The requesting daemon charges its request to its budget, and the responding daemon charges its
//! response.

use cornelvalve_api::{OperatorsClient, PeerRecords};
use cornelvalve_budget::{SendDecision, TrafficClass};
use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_model::Offset;
use http::Response;
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::budget::BudgetMessage;
use crate::membership::PullSource;
use crate::timeline::ClockPropagator;

/// Largest number of records in one pull.
const PULL_RECORDS: u32 = 256;

/// Largest size of a request in bytes: the HTTP headers, and a JSON-RPC call whose offset and limit
/// have the maximum number of digits.
const REQUEST_BYTES: u32 = 300;

/// Size of the HTTP headers and the JSON-RPC envelope of a response in bytes, rounded up.
const RESPONSE_HEADER_BYTES: usize = 220;

/// Bytes that each side of a TCP connection sends in segments without data: six segments of 40 to
/// 60 bytes that open, acknowledge and close the connection.
const CONNECTION_BYTES: u32 = 300;

/// Data bytes in a full TCP segment.
const SEGMENT_BYTES: u32 = 1448;

/// Bytes of the IP and TCP headers of a segment.
const SEGMENT_HEADER_BYTES: u32 = 52;

/// Returns the bytes that the sender of a payload puts on the wire if the transfer has its own
/// connection.
fn transfer_bytes(payload: u32) -> u32 {
    let segments = payload.div_ceil(SEGMENT_BYTES);
    let headers = segments.saturating_mul(SEGMENT_HEADER_BYTES);
    payload
        .saturating_add(headers)
        .saturating_add(CONNECTION_BYTES)
}

/// Requests records from a peer, starting with the one at offset `from`.
///
/// Returns `None` if the traffic budget does not allow the request, the peer did not answer, or it
/// has no records to offer.
pub(super) async fn pull_records(
    peer: PullSource,
    from: Offset,
    budget: &Mailbox<BudgetMessage>,
    propagator: ClockPropagator,
) -> Option<PeerRecords> {
    let charged = budget.ask(|reply| BudgetMessage::Charge {
        class: TrafficClass::Configuration,
        bytes: transfer_bytes(REQUEST_BYTES),
        crosses_region: peer.crosses_region,
        reply,
    });
    if !matches!(charged.await, Ok(SendDecision::Send)) {
        return None;
    }
    // Advances the clock past the timestamp of the peer, so that events that these records cause
    // here are ordered after the events of the peer.
    let extract = tower::ServiceBuilder::new().map_response(move |response: Response<Incoming>| {
        propagator.extract(response.headers());
        response
    });
    let client = HttpClientBuilder::default()
        .set_http_middleware(extract)
        .build(format!("http://{}", peer.operator_addr))
        .ok()?;
    match client.peer_records(from, PULL_RECORDS).await {
        Ok(records) => Some(records),
        Err(e) => {
            let addr = peer.operator_addr;
            log::debug!("pulling configuration records from {addr} failed: {e}");
            None
        }
    }
}

/// Replies with records that a peer requested, or with `None` if the traffic budget does not allow
/// the transfer.
pub(super) async fn send_records(
    records: Option<PeerRecords>,
    reply: ReplySender<Option<PeerRecords>>,
    budget: Mailbox<BudgetMessage>,
) {
    let allowed = match records {
        Some(records) if charge_response(&records, &budget).await => Some(records),
        _ => None,
    };
    reply.send(allowed);
}

/// Charges a response with these records to the budget and returns whether it may be sent.
async fn charge_response(records: &PeerRecords, budget: &Mailbox<BudgetMessage>) -> bool {
    let Ok(encoded) = serde_json::to_vec(records) else {
        return false;
    };
    let payload = u32::try_from(encoded.len() + RESPONSE_HEADER_BYTES).unwrap_or(u32::MAX);
    let charged = budget.ask(|reply| BudgetMessage::ChargeBulk {
        class: TrafficClass::Configuration,
        bytes: transfer_bytes(payload),
        // The call does not say in which region the requesting daemon is, so the response is not
        // charged to the budget of the region link. Only the request was.
        crosses_region: false,
        reply,
    });
    matches!(charged.await, Ok(SendDecision::Send))
}
