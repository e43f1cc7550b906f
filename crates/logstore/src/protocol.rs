//! JSON request and response bodies of the log service.

use bytes::Bytes;
use cornelvalve_model::{Offset, WallTime};
use data_encoding::BASE64;
use serde::{Deserialize, Serialize};

use crate::{Error, Page, Record, Result};

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendResponse {
    first: Offset,
}

#[derive(Deserialize)]
struct PageResponse {
    first_retained: Offset,
    next: Offset,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    at_ms: WallTime,
    data: String,
}

#[derive(Deserialize)]
struct GoneResponse {
    first_retained: Offset,
}

fn protocol_error(e: impl ToString) -> Error {
    Error::Protocol(e.to_string())
}

/// Encodes the request body of an append.
pub(crate) fn encode_append(records: &[Bytes]) -> Result<Bytes> {
    let records = records.iter().map(|r| BASE64.encode(r)).collect();
    let body = serde_json::to_vec(&AppendBody { records }).map_err(protocol_error)?;
    Ok(body.into())
}

/// Decodes the response to an append and returns the offset of its first record.
pub(crate) fn decode_append(body: &[u8]) -> Result<Offset> {
    let response: AppendResponse = serde_json::from_slice(body).map_err(protocol_error)?;
    Ok(response.first)
}

/// Decodes the response to a read of removed records and returns the first retained offset.
pub(crate) fn decode_gone(body: &[u8]) -> Result<Offset> {
    let response: GoneResponse = serde_json::from_slice(body).map_err(protocol_error)?;
    Ok(response.first_retained)
}

/// Decodes the response to a read and checks that its records start at `from` and have no gaps.
pub(crate) fn decode_page(body: &[u8], from: Offset) -> Result<Page> {
    let response: PageResponse = serde_json::from_slice(body).map_err(protocol_error)?;
    let mut expected = from;
    let mut records = Vec::with_capacity(response.records.len());
    for record in response.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(protocol_error(format!(
                "offset {found} instead of {expected}"
            )));
        }
        let data = BASE64
            .decode(record.data.as_bytes())
            .map_err(protocol_error)?;
        records.push(Record {
            offset: record.offset,
            at: record.at_ms,
            data: data.into(),
        });
        expected = expected.next();
    }
    if response.next != expected {
        let next = response.next;
        return Err(protocol_error(format!(
            "next offset {next} instead of {expected}"
        )));
    }
    Ok(Page {
        first_retained: response.first_retained,
        next: response.next,
        records,
    })
}
