//! Interface to the account of the memory and connections that all connections of a server share.

use std::fmt::Debug;
use std::sync::Arc;

use smallvec::{SmallVec, smallvec};

use crate::BoxFuture;

/// Memory that an account has reserved; dropping it gives the memory back.
pub trait Reservation: Debug + Send + Sync {
    /// Returns the number of reserved bytes.
    fn bytes(&self) -> usize;
}

/// Short list of reservations.
pub type ReservationList = SmallVec<[Box<dyn Reservation>; 2]>;

/// Reservations that are held together, until the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct Reservations(Option<Arc<ReservationList>>);

impl Reservations {
    /// Holds reservations together.
    #[must_use]
    pub fn new(reservations: ReservationList) -> Self {
        Self((!reservations.is_empty()).then(|| Arc::new(reservations)))
    }

    /// Returns reservations that hold these and `other` together.
    #[must_use]
    pub fn and(self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self,
            (Some(_), Some(_)) => {
                let both: Both = (self, other.clone());
                Self::new(smallvec![Box::new(both) as Box<dyn Reservation>])
            }
        }
    }

    /// Returns the number of reserved bytes.
    fn bytes(&self) -> usize {
        let reservations = self.0.iter().flat_map(|r| r.iter());
        reservations.map(|r| r.bytes()).sum()
    }
}

/// Reservations that are held together.
type Both = (Reservations, Reservations);

impl Reservation for Both {
    fn bytes(&self) -> usize {
        self.0.bytes() + self.1.bytes()
    }
}

/// Resource that the connections of a server share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Memory of requests, responses and their buffers.
    Memory,
    /// Open connections.
    Connections,
}

/// Account of what the connections of a server share.
pub trait MemoryAccount: Send + Sync {
    /// Reserves `bytes` for a message that already holds reservations of `held` bytes. Waits for a
    /// short time if there is no room; the reservation is `None` if there still is none.
    fn reserve(
        &self,
        held: usize,
        bytes: usize,
    ) -> BoxFuture<'static, Option<Box<dyn Reservation>>>;

    /// Returns the size in bytes of the largest message that the account ever has room for.
    fn largest_message(&self) -> usize;

    /// Waits until there is too little of a resource, so that connections on which the client makes
    /// no progress should close.
    fn shortage(&self, resource: Resource) -> BoxFuture<'static, ()>;
}

/// Account that has room for any number of messages of at most this many bytes.
#[derive(Clone, Copy, Debug)]
pub struct PerMessageLimit(pub usize);

impl PerMessageLimit {
    /// Account that has room for everything.
    pub const NONE: Self = Self(usize::MAX);
}

/// Reservation of a [`PerMessageLimit`]: its number of bytes.
#[derive(Debug)]
struct Uncounted(usize);

impl Reservation for Uncounted {
    fn bytes(&self) -> usize {
        self.0
    }
}

impl MemoryAccount for PerMessageLimit {
    fn reserve(
        &self,
        held: usize,
        bytes: usize,
    ) -> BoxFuture<'static, Option<Box<dyn Reservation>>> {
        let fits = held.saturating_add(bytes) <= self.0;
        let reservation = fits.then(|| Box::new(Uncounted(bytes)) as Box<dyn Reservation>);
        Box::pin(std::future::ready(reservation))
    }

    fn largest_message(&self) -> usize {
        self.0
    }

    fn shortage(&self, _: Resource) -> BoxFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}
