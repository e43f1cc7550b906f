//! JSON bodies of the log service's protocol.

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
struct AppendAnswer {
    first: Offset,
}

#[derive(Deserialize)]
struct PageAnswer {
    first_retained: Offset,
    next: Offset,
    records: Vec<RecordAnswer>,
}

#[derive(Deserialize)]
struct RecordAnswer {
    offset: Offset,
    at_ms: WallTime,
    data: String,
}

#[derive(Deserialize)]
struct GoneAnswer {
    first_retained: Offset,
}

fn malformed(e: impl ToString) -> Error {
    Error::Protocol(e.to_string())
}

pub(crate) fn append_body(records: &[Bytes]) -> Result<Bytes> {
    let records = records.iter().map(|r| BASE64.encode(r)).collect();
    let body = serde_json::to_vec(&AppendBody { records }).map_err(malformed)?;
    Ok(body.into())
}

pub(crate) fn append_answer(body: &[u8]) -> Result<Offset> {
    let answer: AppendAnswer = serde_json::from_slice(body).map_err(malformed)?;
    Ok(answer.first)
}

pub(crate) fn gone_answer(body: &[u8]) -> Result<Offset> {
    let answer: GoneAnswer = serde_json::from_slice(body).map_err(malformed)?;
    Ok(answer.first_retained)
}

/// Decodes a page and checks that its records follow `from` without gap.
pub(crate) fn page_answer(body: &[u8], from: Offset) -> Result<Page> {
    let answer: PageAnswer = serde_json::from_slice(body).map_err(malformed)?;
    let mut expected = from;
    let mut records = Vec::with_capacity(answer.records.len());
    for record in answer.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(malformed(format!("offset {found} instead of {expected}")));
        }
        let data = BASE64.decode(record.data.as_bytes()).map_err(malformed)?;
        records.push(Record {
            offset: record.offset,
            at: record.at_ms,
            data: data.into(),
        });
        expected = expected.next();
    }
    if answer.next != expected {
        let next = answer.next;
        return Err(malformed(format!(
            "next offset {next} instead of {expected}"
        )));
    }
    Ok(Page {
        first_retained: answer.first_retained,
        next: answer.next,
        records,
    })
}
