//! Tests that datagrams are sent if the limiter allows them, and only then.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cornelvalve_gossip::{Gossip, OutgoingDatagram, SendLimiter, Unlimited};
use cornelvalve_membership::{Event, Membership, MembershipSettings};
use cornelvalve_model::{
    FailureDomain, Incarnation, Member, MemberKey, MemberState, Moment, Region, VmName,
};
use futures_util::future::BoxFuture;
use smallvec::{SmallVec, smallvec};

/// Time limit for the exchange of datagrams, long enough for a heavily loaded test machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Rejects every datagram and counts them.
struct RejectAll(Arc<AtomicUsize>);

impl SendLimiter for RejectAll {
    fn allows(&self, outgoing: OutgoingDatagram) -> BoxFuture<'_, bool> {
        assert!(outgoing.bytes > 0);
        self.0.fetch_add(1, Ordering::SeqCst);
        Box::pin(std::future::ready(false))
    }
}

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
    socket
        .set_nonblocking(true)
        .expect("the socket becomes non-blocking");
    let addr = socket.local_addr().expect("the socket has an address");
    (socket, addr)
}

fn gossip(name: &str, limiter: Box<dyn SendLimiter>) -> (Gossip, SocketAddr) {
    let (socket, addr) = socket();
    let own = Member {
        vm: VmName::new(name).expect("name is valid"),
        key: MemberKey {
            incarnation: Incarnation(1),
            version: 0,
        },
        region: Region::new("east").expect("name is valid"),
        domain: FailureDomain::new("east-a").expect("name is valid"),
        peer_addr: addr,
        caller_addr: addr,
        operator_addr: addr,
        state: MemberState::Alive,
        upstreams: SmallVec::new(),
    };
    let membership = Membership::new(MembershipSettings::default(), own, 1);
    let gossip = Gossip::new(&socket, membership, limiter).expect("the socket is duplicated");
    (gossip, addr)
}

/// Makes a daemon send its first message to another daemon at `addr`.
async fn contact(gossip: &mut Gossip, addr: SocketAddr) {
    let now = Moment::from_millis(1000);
    gossip
        .handle_event(Event::AddSeeds(smallvec![addr]), now)
        .await;
    gossip.handle_event(Event::Tick, now).await;
}

/// Guards against sending datagrams that the limiter rejected, for example because the budget of
/// control traffic is used up.
#[tokio::test]
async fn rejected_datagrams_are_not_sent() {
    let rejected = Arc::new(AtomicUsize::new(0));
    let (mut sender, _) = gossip("vm-1", Box::new(RejectAll(Arc::clone(&rejected))));
    let (receiver, addr) = socket();
    contact(&mut sender, addr).await;
    assert!(rejected.load(Ordering::SeqCst) > 0);
    // No wait is needed: on loopback, a datagram arrives before the call that sends it returns.
    assert!(receiver.recv(&mut [0; 64]).is_err());
}

/// Guards against messages that do not reach the state machine of the receiving daemon.
#[tokio::test]
async fn receiver_learns_of_sender() {
    let (mut first, _) = gossip("vm-1", Box::new(Unlimited));
    let (mut second, addr) = gossip("vm-2", Box::new(Unlimited));
    contact(&mut first, addr).await;
    let now = Moment::from_millis(1000);
    let exchange = async {
        while second.membership().members().count() < 2 {
            let event = second.receive().await;
            second.handle_event(event, now).await;
        }
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .expect("the second daemon adds the first to its members");
}
