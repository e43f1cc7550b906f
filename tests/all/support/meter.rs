//! Measures the traffic that a daemon sends to peers and checks it against a rate limit.

use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use cornelvalve_budget::{RateLimit, TrafficClass};
use cornelvalve_membership::Message;
use cornelvalve_wire::datagram;

/// Time that the kernel may hold back a datagram under a flood, in seconds. A daemon above its rate
/// still fails the check, because its excess grows with the period and this allowance does not.
const DELIVERY_LAG_SECONDS: f64 = 0.1;

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Size and class of a datagram or response, and the period in which the daemon sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedData {
    /// Lower bound of the send time: when the socket was last seen empty, or when the request was
    /// sent.
    sent_after: Instant,
    /// Upper bound of the send time: when the datagram or response was read.
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

/// Checks the data of every period against two limits: the token bucket for an average rate of
/// `share` bytes per second, and `10 * share` bytes in at most ten seconds. Returns the sum in
/// bytes. `class` limits the check to the data of one traffic class.
///
/// Only bounds of the send time of a datagram are known. The check takes each period as long as
/// they allow, so a late read never causes a failure. The first datagram of a period is not
/// counted, because the daemon charges a datagram to its budget before it sends it, and may have
/// charged this one before the period.
///
/// # Panics
///
/// Panics if a limit is exceeded.
pub(crate) fn assert_within_rate(
    received: &[ReceivedData],
    class: Option<TrafficClass>,
    share: u32,
) -> u64 {
    let rate = RateLimit::with_window_average(share);
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
            let allowed = f64::from(rate.burst_bytes) + f64::from(rate.bytes_per_second) * seconds;
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
