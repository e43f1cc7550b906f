//! Tests of the bound on the open connections of a pool.

use std::fmt::Debug;

use super::*;

/// Connection that stays reusable.
#[derive(Debug)]
struct FakeConnection;

impl Pooled for FakeConnection {
    fn is_reusable(&self) -> bool {
        true
    }
}

const NOW: Moment = Moment(0);

/// Creates a pool and the receiver that is told of closed connections.
fn pool(max_open: usize) -> (Pool<FakeConnection>, mpsc::UnboundedReceiver<()>) {
    let (sender, closed) = mpsc::unbounded_channel();
    let pool = Pool {
        idle: HashMap::new(),
        open: 0,
        max_open,
        closed: sender,
    };
    (pool, closed)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Opens a connection, which the pool must allow.
fn open(pool: &mut Pool<FakeConnection>, port: u16) -> Lease<FakeConnection> {
    match pool.checkout(addr(port), NOW) {
        Checkout::Open(slot) => Lease::new(FakeConnection, slot),
        other => panic!("unexpected {other:?}"),
    }
}

// Guards against requests that use up the descriptors of the process with connections to other
// daemons, and against places that are lost when a connection fails.
#[test]
fn a_pool_opens_no_more_connections_than_it_may() {
    let (mut pool, mut closed) = pool(2);
    let first = open(&mut pool, 1);
    let _second = open(&mut pool, 2);
    assert!(matches!(pool.checkout(addr(3), NOW), Checkout::Full));
    drop(first);
    closed.try_recv().expect("the pool is told");
    pool.open -= 1;
    open(&mut pool, 3);
}

// Guards against idle connections to one daemon that keep others out of reach.
#[test]
fn an_idle_connection_makes_way_for_another_address() {
    let (mut pool, _closed) = pool(2);
    let (first, second) = (open(&mut pool, 1), open(&mut pool, 2));
    pool.add(addr(1), first, NOW + Duration::from_secs(2));
    pool.add(addr(2), second, NOW + Duration::from_secs(1));
    let _third = open(&mut pool, 3);
    // The connection that expires first was closed.
    assert!(matches!(pool.checkout(addr(1), NOW), Checkout::Idle(_)));
    assert!(matches!(pool.checkout(addr(2), NOW), Checkout::Full));
}
