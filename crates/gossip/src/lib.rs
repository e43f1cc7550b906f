//! Runs the membership protocol over UDP.
//!
//! [`Gossip`] owns the UDP socket and the membership state machine of `cornelvalve-membership`. The
//! owner of a [`Gossip`] calls [`Gossip::handle_event`] with each event. [`Gossip`] sends the
//! resulting messages to other daemons itself and returns the remaining actions to the owner. A
//! [`SendLimiter`] can drop datagrams, for example to keep control traffic within its bandwidth
//! budget.

use std::net::{SocketAddr, UdpSocket as StdSocket};

use cornelvalve_membership::{Action, Event, Membership, Message, TrafficClass};
use cornelvalve_model::Moment;
use cornelvalve_wire::datagram;
use futures_util::future::BoxFuture;
use smallvec::SmallVec;
use tokio::net::UdpSocket;

/// Size of the IPv4 header (20) and the UDP header (8) in bytes. They are included in the size
/// that is reported to the limiter.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Size of the receive buffer in bytes; larger than [`datagram::MAX_DATAGRAM_BYTES`], so that every
/// valid datagram fits.
const RECEIVE_BYTES: usize = 2048;

/// Properties of a datagram that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Traffic class of the message in the datagram, which has its own bandwidth budget.
    pub class: TrafficClass,
    /// Size in bytes, including the IP and UDP headers.
    pub bytes: u32,
    /// Whether the receiver is in another region.
    pub crosses_region: bool,
}

/// Decides which datagrams may be sent.
pub trait SendLimiter: Send + Sync {
    /// Returns whether the datagram may be sent now. A datagram that may not is dropped.
    ///
    /// The method is asynchronous so that a limiter can ask another service.
    fn allows(&self, outgoing: OutgoingDatagram) -> BoxFuture<'_, bool>;
}

/// Limiter that allows every datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl SendLimiter for Unlimited {
    fn allows(&self, _: OutgoingDatagram) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(true))
    }
}

/// Actions that [`Gossip`] leaves to its owner: all of a state machine's actions except
/// [`Action::Send`].
pub type RemainingActions = SmallVec<[Action; 4]>;

/// Membership state machine together with the UDP socket over which it communicates.
pub struct Gossip {
    socket: UdpSocket,
    membership: Membership,
    limiter: Box<dyn SendLimiter>,
    buffer: [u8; RECEIVE_BYTES],
}

impl Gossip {
    /// Creates a [`Gossip`] that runs `membership` over a duplicate of `socket`, which must be
    /// bound and non-blocking.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the socket cannot be duplicated or registered with the Tokio
    /// runtime.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside of a Tokio runtime.
    pub fn new(
        socket: &StdSocket,
        membership: Membership,
        limiter: Box<dyn SendLimiter>,
    ) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            membership,
            limiter,
            buffer: [0; RECEIVE_BYTES],
        })
    }

    /// Returns the membership state machine.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership state machine for calls that advance its state, such as choosing
    /// peers in rotation.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Waits for the next datagram that decodes to a membership message. Others are logged and
    /// dropped.
    ///
    /// This method is cancel safe: no message is lost if the future is dropped.
    pub async fn receive(&mut self) -> Event {
        loop {
            let (length, from) = match self.socket.recv_from(&mut self.buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // Usually an earlier datagram was sent to a closed port. This can be ignored,
                    // because membership probes detect whether the daemon there is down.
                    log::debug!("failed to receive a membership datagram: {e}");
                    continue;
                }
            };
            match datagram::decode(self.buffer.get(..length).unwrap_or_default()) {
                Ok(message) => return Event::Received { from, message },
                Err(e) => log::debug!("invalid membership datagram from {from} was dropped: {e}"),
            }
        }
    }

    /// Passes an event to the state machine, sends the resulting messages and returns the remaining
    /// actions.
    pub async fn handle_event(&mut self, event: Event, now: Moment) -> RemainingActions {
        let mut remaining = RemainingActions::new();
        for action in self.membership.handle_event(event, now) {
            match action {
                Action::Send {
                    to,
                    crosses_region,
                    class,
                    message,
                } => self.send(to, crosses_region, class, &message).await,
                other => remaining.push(other),
            }
        }
        remaining
    }

    /// Sends a message if the limiter allows it. A message that cannot be sent is dropped, as the
    /// protocol tolerates lost datagrams.
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
                log::warn!(
                    event = "datagram-not-sent";
                    "membership message to {to} was dropped: {e}"
                );
                return;
            }
        };
        let size = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
        let outgoing = OutgoingDatagram {
            class,
            bytes: u32::try_from(size).unwrap_or(u32::MAX),
            crosses_region,
        };
        if self.limiter.allows(outgoing).await
            && let Err(e) = self.socket.send_to(&bytes, to).await
        {
            log::debug!("failed to send a membership datagram to {to}: {e}");
        }
    }
}
