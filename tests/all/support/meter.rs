//! Socket of a peer stand-in that measures what a daemon sends to it.

use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use cornelvalve_budget::{RateLimit, TrafficClass};
use cornelvalve_membership::Message;
use cornelvalve_wire::datagram;

/// Time that the kernel may hold a datagram back under a flood. It counts little: the excess of a
/// wrong rate grows with the period.
const DELIVERY_LAG_SECONDS: f64 = 0.1;

/// Headers of IP and UDP.
const OVERHEAD_BYTES: u64 = 28;

/// Datagram as it was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    /// Moment at which the socket was known to be empty before; the datagram was sent later.
    after: Instant,
    /// Moment at which it was read; the datagram was sent earlier.
    before: Instant,
    bytes: u64,
    class: TrafficClass,
}

impl Received {
    /// Records a response that was read now to a request made at `after`.
    pub(crate) fn new(after: Instant, bytes: u64, class: TrafficClass) -> Self {
        Self {
            after,
            before: Instant::now(),
            bytes,
            class,
        }
    }
}

/// Sends datagrams and keeps a record of those received.
#[derive(Debug)]
pub(crate) struct Meter {
    socket: UdpSocket,
    empty: Instant,
    received: Vec<Received>,
}

impl Meter {
    /// Binds a loopback socket.
    pub(crate) fn bind() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("socket can be bound");
        // Not a socket of the runtime, which may report an empty socket without looking at it.
        socket.set_nonblocking(true).expect("socket can be set");
        Self {
            socket,
            empty: Instant::now(),
            received: Vec::new(),
        }
    }

    /// Returns the address of the socket.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.socket.local_addr().expect("socket has an address")
    }

    /// Sends a message; a full buffer loses it, as on any network.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = datagram::encode(message).expect("message can be encoded");
        let _ = self.socket.send_to(&bytes, to);
    }

    /// Reads what has arrived.
    pub(crate) fn drain(&mut self) {
        let mut buffer = [0; 4096];
        loop {
            let started = Instant::now();
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                self.empty = started;
                return;
            };
            let message = datagram::decode(&buffer[..length]).expect("datagram of the daemon");
            self.received.push(Received {
                after: self.empty,
                before: Instant::now(),
                bytes: length as u64 + OVERHEAD_BYTES,
                class: class_of(&message),
            });
        }
    }

    /// Returns the record so far.
    pub(crate) fn received(&self) -> &[Received] {
        &self.received
    }
}

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

/// Checks that no period holds more bytes than the token bucket of a share in bytes a second allows,
/// and no ten seconds more than ten times the share; returns the bytes in all. `class` selects
/// datagrams.
///
/// A datagram read at one moment was sent after the socket was last empty, so the bound holds
/// however late the test reads, but for the lag of the kernel. The daemon charges a datagram before
/// it sends it and may be held up in between, so a period begins with the first datagram and counts
/// those after it, which were charged later.
pub(crate) fn check_rate(received: &[Received], class: Option<TrafficClass>, share: u32) -> u64 {
    let rate = RateLimit::with_window_average(share);
    let mut chosen: Vec<Received> = received.to_vec();
    chosen.retain(|r| class.is_none_or(|class| r.class == class));
    chosen.sort_by_key(|r| r.before);
    for (start, first) in chosen.iter().enumerate() {
        let mut bytes = 0;
        let mut after = first.after;
        for last in &chosen[start + 1..] {
            bytes += last.bytes;
            after = after.min(last.after);
            let seconds = (last.before - after).as_secs_f64() + DELIVERY_LAG_SECONDS;
            let allowed = f64::from(rate.burst_bytes) + f64::from(rate.bytes_per_second) * seconds;
            let what = class.map_or("link".to_owned(), |class| class.to_string());
            assert!(
                bytes as f64 <= allowed,
                "{what}: {bytes} bytes in {seconds} s"
            );
            if seconds <= 10.0 {
                assert!(
                    bytes <= 10 * u64::from(share),
                    "{what}: {bytes} bytes in 10 s"
                );
            }
        }
    }
    chosen.iter().map(|r| r.bytes).sum()
}
