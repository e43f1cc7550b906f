//! Measures the traffic that a daemon sends to peers and checks it against a rate limit.

use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use cornelvalve_budget::{Rate, TrafficClass};
use cornelvalve_membership::Message;
use cornelvalve_wire::datagram;

/// Time that the kernel may hold back a datagram under a flood, in seconds. The allowance hides no
/// excessive rate, because the excess grows with the length of the period.
const DELIVERY_LAG_SECONDS: f64 = 0.1;

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Size and class of a datagram or response, and the period in which the daemon sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedData {
    /// Moment after which it was sent: the last one at which the socket was known to be empty, or
    /// that of the request.
    sent_after: Instant,
    /// Moment before which it was sent: the one at which it was read.
    sent_before: Instant,
    bytes: u64,
    class: TrafficClass,
}

impl ReceivedData {
    /// Records a response that has just been read; its request was sent at `sent_after`.
    pub(crate) fn new(sent_after: Instant, bytes: u64, class: TrafficClass) -> Self {
        Self {
            sent_after,
            sent_before: Instant::now(),
            bytes,
            class,
        }
    }
}

/// Socket of a simulated peer that sends datagrams and records those it receives.
#[derive(Debug)]
pub(crate) struct TrafficMeter {
    socket: UdpSocket,
    last_empty: Instant,
    received: Vec<ReceivedData>,
}

impl TrafficMeter {
    /// Binds a loopback socket.
    pub(crate) fn bind() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("socket can be bound");
        // A socket of the async runtime may report that it is empty without a check.
        socket
            .set_nonblocking(true)
            .expect("socket can be made non-blocking");
        Self {
            socket,
            last_empty: Instant::now(),
            received: Vec::new(),
        }
    }

    /// Returns the address of the socket.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.socket.local_addr().expect("socket has an address")
    }

    /// Sends a message. It is lost if the socket's buffer is full, as on any network.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = datagram::encode(message).expect("message can be encoded");
        let _ = self.socket.send_to(&bytes, to);
    }

    /// Reads and records all datagrams that have arrived.
    pub(crate) fn read_pending(&mut self) {
        let mut buffer = [0; 4096];
        loop {
            let started = Instant::now();
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                self.last_empty = started;
                return;
            };
            let message = datagram::decode(&buffer[..length]).expect("datagram can be decoded");
            self.received.push(ReceivedData {
                sent_after: self.last_empty,
                sent_before: Instant::now(),
                bytes: length as u64 + HEADER_BYTES,
                class: class_of(&message),
            });
        }
    }

    /// Returns the datagrams read so far.
    pub(crate) fn received(&self) -> &[ReceivedData] {
        &self.received
    }
}

/// Returns the traffic class to whose budget a daemon charges a message.
fn class_of(message: &Message) -> TrafficClass {
    match message {
        Message::Ping { .. }
        | Message::Ack { .. }
        | Message::IndirectPing { .. }
        | Message::IndirectAck { .. } => TrafficClass::Probe,
        Message::Join { .. }
        | Message::Updates { .. }
        | Message::SyncRoot { .. }
        | Message::SyncBuckets { .. }
        | Message::SyncSummaries { .. }
        | Message::SyncRequest { .. } => TrafficClass::News,
        Message::RevisionNotice { .. } | Message::RevisionQuery | Message::RevisionReply { .. } => {
            TrafficClass::Configuration
        }
    }
}

/// Checks that the data sent in any period fits into the token bucket of a budget share, and that
/// in any ten seconds into ten times the share. Returns the sum in bytes.
///
/// `share` is in bytes per second. `class` limits the check to the data of one class.
///
/// A datagram was sent after the socket was last empty and before it was read, so the check holds
/// however late the test reads, except for the delay in the kernel. The daemon charges a datagram
/// to its budget before it sends it and may be delayed in between, so a period begins with its
/// first datagram and counts only those after it, which were charged later.
///
/// # Panics
///
/// Panics if more was sent.
pub(crate) fn assert_within_rate(
    received: &[ReceivedData],
    class: Option<TrafficClass>,
    share: u32,
) -> u64 {
    let rate = Rate::with_window_average(share);
    let mut selected: Vec<ReceivedData> = received.to_vec();
    selected.retain(|r| class.is_none_or(|class| r.class == class));
    selected.sort_by_key(|r| r.sent_before);
    for (start, first) in selected.iter().enumerate() {
        let mut bytes = 0;
        let mut after = first.sent_after;
        for last in &selected[start + 1..] {
            bytes += last.bytes;
            after = after.min(last.sent_after);
            let seconds = (last.sent_before - after).as_secs_f64() + DELIVERY_LAG_SECONDS;
            let allowed = f64::from(rate.burst_bytes) + f64::from(rate.byte_rate) * seconds;
            let label = class.map_or("link".to_owned(), |class| class.to_string());
            assert!(
                bytes as f64 <= allowed,
                "{label}: {bytes} bytes in {seconds} s"
            );
            if seconds <= 10.0 {
                assert!(
                    bytes <= 10 * u64::from(share),
                    "{label}: {bytes} bytes in 10 s"
                );
            }
        }
    }
    selected.iter().map(|r| r.bytes).sum()
}
