//! What a gate admits is sent, and nothing else.

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

/// Longest wait for a datagram; a busy machine meets it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Counts the datagrams that it stops.
struct ClosedGate(Arc<AtomicUsize>);

impl SendLimiter for ClosedGate {
    fn allows(&self, outgoing: OutgoingDatagram) -> BoxFuture<'_, bool> {
        assert!(outgoing.bytes > 0);
        self.0.fetch_add(1, Ordering::SeqCst);
        Box::pin(std::future::ready(false))
    }
}

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket binds");
    socket.set_nonblocking(true).expect("socket is set up");
    let addr = socket.local_addr().expect("socket has an address");
    (socket, addr)
}

fn gossip(name: &str, gate: Box<dyn SendLimiter>) -> (Gossip, SocketAddr) {
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
    let gossip = Gossip::new(&socket, membership, gate).expect("socket is copied");
    (gossip, addr)
}

/// Lets a daemon contact another one.
async fn contact(gossip: &mut Gossip, addr: SocketAddr) {
    let now = Moment::from_millis(1000);
    gossip
        .handle_event(Event::AddSeeds(smallvec![addr]), now)
        .await;
    gossip.handle_event(Event::Tick, now).await;
}

// Guards against control traffic that is sent although its budget is used up.
#[tokio::test]
async fn a_closed_gate_lets_nothing_pass() {
    let stopped = Arc::new(AtomicUsize::new(0));
    let (mut first, _) = gossip("vm-1", Box::new(ClosedGate(Arc::clone(&stopped))));
    let (receiver, addr) = socket();
    contact(&mut first, addr).await;
    assert!(stopped.load(Ordering::SeqCst) > 0);
    // Datagrams on loopback arrive before the call that sends them returns.
    assert!(receiver.recv(&mut [0; 64]).is_err());
}

// Guards against messages that do not reach the state machine of the other side.
#[tokio::test]
async fn two_daemons_hear_each_other() {
    let (mut first, _) = gossip("vm-1", Box::new(Unlimited));
    let (mut second, addr) = gossip("vm-2", Box::new(Unlimited));
    contact(&mut first, addr).await;
    let now = Moment::from_millis(1000);
    let heard = async {
        while second.membership().members().count() < 2 {
            let event = second.receive().await;
            second.handle_event(event, now).await;
        }
    };
    tokio::time::timeout(PATIENCE, heard)
        .await
        .expect("the second daemon hears of the first");
}
