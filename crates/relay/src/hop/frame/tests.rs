//! Tests of frames whose bodies are not copied.

use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{Body, Payload, Reservations};
use cornelvalve_model::ServiceName;
use smallvec::SmallVec;

use super::{Frame, LENGTH_BYTES, MIN_SHARED_BYTES, decode, encode};
use crate::desired::Version;
use crate::hop::{
    HopCall, HopHeaders, HopLoad, HopOutcome, HopReply, HopRequest, HopResponse, Message,
};
use crate::messages::DEFAULT_RETRY_AFTER;

/// Sizes of bodies around the limits of the encoding.
const SIZES: [usize; 6] = [
    0,
    1,
    MIN_SHARED_BYTES - 1,
    MIN_SHARED_BYTES,
    70_000,
    1_000_000,
];

/// Returns a body of this size in segments of an odd size.
fn body(size: usize) -> Body {
    let bytes: Vec<u8> = (0..size).map(|n| (n % 251) as u8).collect();
    let segments: SmallVec<[Bytes; 1]> = bytes.chunks(10_007).map(Bytes::copy_from_slice).collect();
    Body::from_segments(segments, Reservations::default())
}

fn call(body: Body, header: usize) -> HopCall {
    let mut headers = http::HeaderMap::new();
    let value = "v".repeat(header);
    headers.insert("x-long", value.parse().expect("value is valid"));
    HopCall::Run(Box::new(HopRequest {
        attempt_id: Some("attempt".into()),
        service: ServiceName::new("one").expect("name is valid"),
        caller: ServiceName::new("two").expect("name is valid"),
        route: "route".into(),
        version: Version(7),
        is_retry: true,
        home_regions: SmallVec::new(),
        priority: 1,
        objective_left: Duration::from_millis(300),
        time_left: Duration::from_millis(1200),
        expected_elsewhere: None,
        method: "POST".into(),
        target: "/x".into(),
        headers: HopHeaders::from_map(&headers),
        body,
    }))
}

fn reply(body: Body) -> HopReply {
    HopReply::Done {
        outcome: HopOutcome::Answered(HopResponse {
            status: 200,
            failed: false,
            headers: HopHeaders::default(),
            body,
            baseline: DEFAULT_RETRY_AFTER,
        }),
        load: Some(HopLoad::default()),
    }
}

/// Returns the bytes of a frame after its length, which is checked.
fn message_bytes(frame: &Frame) -> Vec<u8> {
    let mut bytes = frame.head.to_vec();
    bytes.extend(frame.body.to_vec());
    bytes.extend_from_slice(&frame.tail);
    let rest = bytes.split_off(LENGTH_BYTES);
    let length = u32::try_from(rest.len()).expect("frame is short");
    assert_eq!(bytes, length.to_be_bytes());
    rest
}

/// Decodes a message that arrived in segments of this size.
fn decode_segmented<T: Message>(bytes: &[u8], segment: usize) -> T {
    let segments = bytes.chunks(segment).map(Bytes::copy_from_slice);
    let frame = Body::from_segments(segments.collect(), Reservations::default());
    decode(&frame).expect("message is decoded")
}

// Guards against a frame that daemons of earlier releases cannot read: they decode the message,
// body included, as one postcard value.
#[test]
fn a_frame_holds_the_message_as_one_value() {
    for size in SIZES {
        let expected = postcard::to_allocvec(&call(body(size), 3)).expect("message is encoded");
        let frame = encode(call(body(size), 3)).expect("message is encoded");
        assert_eq!(message_bytes(&frame), expected, "call, {size} bytes");
        let expected = postcard::to_allocvec(&reply(body(size))).expect("message is encoded");
        let frame = encode(reply(body(size))).expect("message is encoded");
        assert_eq!(message_bytes(&frame), expected, "reply, {size} bytes");
    }
}

// Guards against a body that is lost, cut or mixed with other fields where the segments of a
// received frame end.
#[test]
fn a_message_in_segments_is_decoded_whole() {
    for size in SIZES {
        for segment in [1, 7, 4096, 65_536, usize::MAX / 2] {
            let bytes = message_bytes(&encode(call(body(size), 50)).expect("message is encoded"));
            let mut decoded: HopCall = decode_segmented(&bytes, segment);
            assert_eq!(postcard::to_allocvec(&decoded).expect("encodes"), bytes);
            let received = decoded.body_mut().expect("call has a body");
            assert_eq!(received.to_vec(), body(size).to_vec());
            let bytes = message_bytes(&encode(reply(body(size))).expect("message is encoded"));
            let decoded: HopReply = decode_segmented(&bytes, segment);
            assert_eq!(postcard::to_allocvec(&decoded).expect("encodes"), bytes);
        }
    }
}

// Guards against a header that is taken for the body because it is as large as one.
#[test]
fn a_large_header_is_not_taken_for_the_body() {
    for size in [0, 5, 100_000] {
        let bytes = message_bytes(&encode(call(body(size), 40_000)).expect("message is encoded"));
        let decoded: HopCall = decode_segmented(&bytes, 65_536);
        assert_eq!(postcard::to_allocvec(&decoded).expect("encodes"), bytes);
    }
}

// Guards against a copy of a large body: the decoded one consists of the received segments.
#[test]
fn a_large_body_is_not_copied() {
    let bytes = message_bytes(&encode(call(body(1_000_000), 3)).expect("message is encoded"));
    let mut decoded: HopCall = decode_segmented(&bytes, 65_536);
    let received = decoded.body_mut().expect("call has a body");
    assert_eq!(received.segments().len(), bytes.len().div_ceil(65_536));
}
