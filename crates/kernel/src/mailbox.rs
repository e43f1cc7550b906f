//! Bounded mailboxes and replies.

use derive_more::Debug;
use tokio::sync::{mpsc, oneshot, watch};

use crate::timer::{Tick, TickSink};
use crate::{Error, Result};

/// Sending half of a service's mailbox.
///
/// It follows restarts: after one, messages reach the new instance of the service.
#[derive(Debug)]
#[debug("Mailbox({name})")]
pub struct Mailbox<M> {
    name: &'static str,
    current: watch::Receiver<mpsc::Sender<M>>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            current: self.current.clone(),
        }
    }
}

impl<M: Send + 'static> Mailbox<M> {
    pub(crate) fn new(name: &'static str, current: watch::Receiver<mpsc::Sender<M>>) -> Self {
        Self { name, current }
    }

    fn sender(&self) -> mpsc::Sender<M> {
        self.current.borrow().clone()
    }

    /// Delivers a message if there is room.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] if the mailbox is full and [`Error::Closed`] if the service does
    /// not run.
    pub fn try_send(&self, message: M) -> Result<()> {
        self.current
            .borrow()
            .try_send(message)
            .map_err(|e| match e {
                mpsc::error::TrySendError::Full(_) => Error::Full(self.name),
                mpsc::error::TrySendError::Closed(_) => Error::Closed(self.name),
            })
    }

    /// Delivers a message, waiting for room.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the service does not run.
    pub async fn send(&self, message: M) -> Result<()> {
        let sender = self.sender();
        sender
            .send(message)
            .await
            .map_err(|_| Error::Closed(self.name))
    }

    /// Sends a request and waits for its reply.
    ///
    /// A full mailbox fails at once, so that a request path sheds load instead of queueing it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] or [`Error::Closed`] if the request was not delivered, and
    /// [`Error::NoReply`] if the service dropped it.
    pub async fn ask<R>(&self, request: impl FnOnce(ReplySender<R>) -> M) -> Result<R> {
        let (sender, receiver) = oneshot::channel();
        self.try_send(request(ReplySender { sender }))?;
        receiver.await.map_err(|_| Error::NoReply(self.name))
    }

    /// Creates a sink that turns ticks of the timer service into messages.
    ///
    /// A tick that finds the mailbox full is dropped; the next one follows a period later.
    #[must_use]
    pub fn tick_sink(&self, wrap: fn(Tick) -> M) -> Box<dyn TickSink> {
        Box::new(MailboxSink {
            mailbox: self.clone(),
            wrap,
        })
    }
}

struct MailboxSink<M> {
    mailbox: Mailbox<M>,
    wrap: fn(Tick) -> M,
}

impl<M: Send + 'static> TickSink for MailboxSink<M> {
    fn deliver(&mut self, tick: Tick) {
        // Dropping is safe: a tick carries no state and the next one follows a period later.
        let _ = self.mailbox.try_send((self.wrap)(tick));
    }
}

/// Obligation to answer one request.
#[derive(Debug)]
pub struct ReplySender<R> {
    sender: oneshot::Sender<R>,
}

impl<R> ReplySender<R> {
    /// Answers the request; does nothing if the asker has gone.
    pub fn send(self, value: R) {
        let _ = self.sender.send(value);
    }

    /// Tells whether the asker has stopped waiting.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the asker has stopped waiting.
    pub async fn abandoned(&mut self) {
        self.sender.closed().await;
    }
}

/// Receiving half of a service's mailbox.
#[derive(Debug)]
pub struct Inbox<M> {
    receiver: mpsc::Receiver<M>,
}

impl<M> Inbox<M> {
    pub(crate) fn new(receiver: mpsc::Receiver<M>) -> Self {
        Self { receiver }
    }

    /// Waits for the next message; returns `None` once no sender is left.
    pub async fn recv(&mut self) -> Option<M> {
        self.receiver.recv().await
    }
}
