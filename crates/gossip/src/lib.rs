//! Membership over datagrams.
//!
//! [`Gossip`] owns the UDP socket and the state machine of `cornelvalve-membership`. The services of
//! both daemons hold one: they pass it events and act on what it returns, and it sends the messages.
//! What may be sent at all is decided behind the trait [`SendLimiter`].

use std::net::{SocketAddr, UdpSocket as StdSocket};

use cornelvalve_membership::{Action, Event, Membership, Message, TrafficClass};
use cornelvalve_model::Moment;
use cornelvalve_wire::datagram;
use futures_util::future::BoxFuture;
use smallvec::SmallVec;
use tokio::net::UdpSocket;

/// Headers of IP and UDP, which count toward the size of a datagram.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 2048;

/// Datagram that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Class of its message.
    pub class: TrafficClass,
    /// Its size in bytes, headers included.
    pub bytes: u32,
    /// Whether it leaves the region.
    pub crosses_region: bool,
}

/// Decides whether a datagram may be sent.
pub trait SendLimiter: Send + Sync {
    /// Tells whether a datagram may be sent now; otherwise it is dropped.
    fn allows(&self, outgoing: OutgoingDatagram) -> BoxFuture<'_, bool>;
}

/// Gate that lets everything pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl SendLimiter for Unlimited {
    fn allows(&self, _: OutgoingDatagram) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(true))
    }
}

/// What the state machine asks of its owner; [`Action::Send`] is never among it.
pub type RemainingActions = SmallVec<[Action; 4]>;

/// Membership with its socket.
pub struct Gossip {
    socket: UdpSocket,
    membership: Membership,
    gate: Box<dyn SendLimiter>,
    buffer: [u8; RECEIVE_BYTES],
}

impl Gossip {
    /// Creates the membership of one daemon on a bound socket, of which it uses a copy.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket cannot be copied.
    pub fn new(
        socket: &StdSocket,
        membership: Membership,
        gate: Box<dyn SendLimiter>,
    ) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            membership,
            gate,
            buffer: [0; RECEIVE_BYTES],
        })
    }

    /// Returns the state of the membership.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the state of the membership for questions whose answers change it, such as a choice of
    /// peers in turn.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Waits for the next message of another daemon. Cancelling this loses nothing.
    pub async fn receive(&mut self) -> Event {
        loop {
            let (length, from) = match self.socket.recv_from(&mut self.buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram met a closed port; the probes notice what it means.
                    log::debug!("receive failed: {e}");
                    continue;
                }
            };
            match datagram::decode(self.buffer.get(..length).unwrap_or_default()) {
                Ok(message) => return Event::Received { from, message },
                Err(e) => log::debug!("datagram from {from} was dropped: {e}"),
            }
        }
    }

    /// Handles an event: sends what is to be sent and returns the rest.
    pub async fn handle_event(&mut self, event: Event, now: Moment) -> RemainingActions {
        let mut requests = RemainingActions::new();
        for action in self.membership.handle_event(event, now) {
            match action {
                Action::Send {
                    to,
                    crosses_region,
                    class,
                    message,
                } => self.send(to, crosses_region, class, &message).await,
                other => requests.push(other),
            }
        }
        requests
    }

    async fn send(
        &self,
        to: SocketAddr,
        crosses_region: bool,
        class: TrafficClass,
        message: &Message,
    ) {
        let bytes = match datagram::encode(message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(event = "datagram-not-sent"; "{e}");
                return;
            }
        };
        let size = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
        let outgoing = OutgoingDatagram {
            class,
            bytes: u32::try_from(size).unwrap_or(u32::MAX),
            crosses_region,
        };
        if self.gate.allows(outgoing).await
            && let Err(e) = self.socket.send_to(&bytes, to).await
        {
            log::debug!("send to {to} failed: {e}");
        }
    }
}
