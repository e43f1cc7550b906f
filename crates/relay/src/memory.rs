//! Memory service: divides the daemon's memory among requests and responses.
//!
//! Large bodies, frames of other daemons, responses and pipelined requests claim memory from it before
//! their bytes are read, and give it back when they are dropped. What is smaller than that is bounded
//! by the number of connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{BoxFuture, MemoryAccount, Reservation, Resource};
use cornelvalve_kernel::{CompletionSender, Context, Mailbox, ReplySender, ServiceResult};
use cornelvalve_model::Moment;
use cornelvalve_policy::{ClaimDecision, ClaimId, MemoryBudget, MemoryClaim, MemoryUse};
use derive_more::Debug;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::messages::{MemoryMessage, StatsMessage};
use crate::names::{MEMORY, STATS};

/// Least time between two log lines about refused claims.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Memory that a message holds.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    bytes: usize,
    /// Reports the end when it is dropped.
    #[debug(skip)]
    _end: CompletionSender<Release>,
}

impl Reservation for MemoryReservation {
    fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Memory that is given back.
#[derive(Clone, Copy, Debug)]
struct Release {
    purpose: MemoryUse,
    bytes: usize,
}

/// Account of the connections for one use of memory.
#[derive(Clone, Debug)]
struct MemoryHandle {
    mailbox: Mailbox<MemoryMessage>,
    purpose: MemoryUse,
    /// Size in bytes of the largest message for which there ever is room.
    largest: usize,
    /// Whether a claim waits.
    short: watch::Receiver<bool>,
    /// Whether there are too many connections.
    crowded: watch::Receiver<bool>,
}

/// Creates the accounts with which the connections of a service take memory.
#[derive(Clone, Debug)]
pub(crate) struct MemoryAccounts {
    /// Memory in bytes that messages share.
    total: usize,
    /// Whether a claim waits.
    short: watch::Receiver<bool>,
}

impl MemoryAccounts {
    /// Creates the accounts of a daemon whose messages share `total` bytes. `short` tells whether a
    /// claim waits.
    pub(crate) fn new(total: usize, short: watch::Receiver<bool>) -> Self {
        Self { total, short }
    }

    /// Returns the account for a use of memory by the service with this context.
    ///
    /// # Errors
    ///
    /// Returns the kernel's error if the memory service has no mailbox.
    pub(crate) fn account<M>(
        &self,
        context: &Context<M>,
        purpose: MemoryUse,
    ) -> cornelvalve_kernel::Result<Arc<dyn MemoryAccount>> {
        let crowded = watch::channel(false).1;
        Ok(Arc::new(self.handle(context, purpose, crowded)?))
    }

    /// Returns the account for requests from outside. `crowded` tells whether there are too many
    /// connections of the same listener.
    ///
    /// # Errors
    ///
    /// Returns the kernel's error if the memory service has no mailbox.
    pub(crate) fn caller_account<M>(
        &self,
        context: &Context<M>,
        crowded: watch::Receiver<bool>,
    ) -> cornelvalve_kernel::Result<Arc<dyn MemoryAccount>> {
        Ok(Arc::new(self.handle(
            context,
            MemoryUse::Caller,
            crowded,
        )?))
    }

    fn handle<M>(
        &self,
        context: &Context<M>,
        purpose: MemoryUse,
        crowded: watch::Receiver<bool>,
    ) -> cornelvalve_kernel::Result<MemoryHandle> {
        let mailbox = context.registry.mailbox(MEMORY)?;
        let short = self.short.clone();
        Ok(MemoryHandle {
            mailbox,
            purpose,
            largest: MemoryBudget::new(self.total).largest_message(purpose),
            short,
            crowded,
        })
    }
}

impl MemoryAccount for MemoryHandle {
    fn reserve(
        &self,
        held: usize,
        bytes: usize,
    ) -> BoxFuture<'static, Option<Box<dyn Reservation>>> {
        let mailbox = self.mailbox.clone();
        let claim = MemoryClaim {
            purpose: self.purpose,
            held,
            bytes,
        };
        Box::pin(async move {
            let answer = mailbox.ask(|reply| MemoryMessage::Claim { claim, reply });
            match answer.await {
                Ok(reservation) => reservation.map(|r| Box::new(r) as Box<dyn Reservation>),
                Err(e) => {
                    log::warn!(event = "memory-unavailable"; "memory was not granted: {e}");
                    None
                }
            }
        })
    }

    fn largest_message(&self) -> usize {
        self.largest
    }

    fn shortage(&self, resource: Resource) -> BoxFuture<'static, ()> {
        let state = match resource {
            Resource::Memory => &self.short,
            Resource::Connections => &self.crowded,
        };
        Box::pin(wait_until_true(state.clone()))
    }
}

/// Waits until a state is true.
async fn wait_until_true(mut state: watch::Receiver<bool>) {
    if state.wait_for(|s| *s).await.is_err() {
        // Without a sender, the state does not change any more.
        std::future::pending().await
    }
}

/// Runs the memory service until it is asked to stop. `short` tells the connections whether a claim
/// waits.
pub(crate) async fn run_memory(
    mut context: Context<MemoryMessage>,
    total: usize,
    short: Arc<watch::Sender<bool>>,
) -> ServiceResult {
    let (releases, mut released) = mpsc::unbounded_channel();
    let mut service = MemoryService {
        budget: MemoryBudget::new(total),
        waiting: HashMap::new(),
        releases,
        stats: context.registry.mailbox(STATS)?,
        refused: 0,
        logged: None,
    };
    loop {
        let now = context.clock.now();
        let expiry = service.budget.next_expiry().map(|e| e.since(now));
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(MemoryMessage::Claim { claim, reply }) => {
                    service.claim(claim, reply, context.clock.now());
                }
                None => return Ok(()),
            },
            Some(release) = released.recv() => {
                service.budget.release(release.purpose, release.bytes);
            }
            () = sleep(expiry.unwrap_or_default()), if expiry.is_some() => {}
        }
        service.end_waits(context.clock.now());
        let is_short = service.budget.is_short();
        short.send_if_modified(|s| std::mem::replace(s, is_short) != is_short);
    }
}

/// State of the memory service.
struct MemoryService {
    budget: MemoryBudget,
    waiting: HashMap<ClaimId, (MemoryClaim, ReplySender<Option<MemoryReservation>>)>,
    releases: mpsc::UnboundedSender<Release>,
    stats: Mailbox<StatsMessage>,
    /// Number of refused claims since the last log line about them.
    refused: u64,
    /// Moment of that line.
    logged: Option<Moment>,
}

impl MemoryService {
    /// Decides on a claim.
    fn claim(
        &mut self,
        claim: MemoryClaim,
        reply: ReplySender<Option<MemoryReservation>>,
        now: Moment,
    ) {
        match self.budget.claim(claim, now) {
            ClaimDecision::Granted => reply.send(Some(self.reservation(&claim))),
            ClaimDecision::Waiting(id) => {
                self.waiting.insert(id, (claim, reply));
            }
            ClaimDecision::Refused => self.refuse(&claim, reply, now),
        }
    }

    /// Ends the wait of claims.
    fn end_waits(&mut self, now: Moment) {
        for end in self.budget.poll(now) {
            let Some((claim, reply)) = self.waiting.remove(&end.id) else {
                continue;
            };
            if end.granted {
                // If the connection has closed, this drops the reservation and gives it back.
                reply.send(Some(self.reservation(&claim)));
            } else {
                self.refuse(&claim, reply, now);
            }
        }
    }

    /// Returns the reservation of a claim that was granted.
    fn reservation(&self, claim: &MemoryClaim) -> MemoryReservation {
        let release = Release {
            purpose: claim.purpose,
            bytes: claim.bytes,
        };
        MemoryReservation {
            bytes: claim.bytes,
            _end: CompletionSender::new(self.releases.clone(), release),
        }
    }

    /// Refuses a claim, counts it and logs it if the last such line is old enough.
    fn refuse(
        &mut self,
        claim: &MemoryClaim,
        reply: ReplySender<Option<MemoryReservation>>,
        now: Moment,
    ) {
        reply.send(None);
        self.refused += 1;
        if let Err(e) = self
            .stats
            .try_send(StatsMessage::MemoryRefused(claim.purpose))
        {
            log::debug!("refused claim was not counted: {e}");
        }
        if self.logged.is_some_and(|l| now.since(l) < LOG_INTERVAL) {
            return;
        }
        log::warn!(event = "memory-refused", purpose:% = claim.purpose, held = claim.held, bytes = claim.bytes, used = self.budget.used(), count = self.refused; "no memory for a message; its connection is refused");
        self.refused = 0;
        self.logged = Some(now);
    }
}
