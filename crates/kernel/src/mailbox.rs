//! Bounded mailboxes of services, and channels for replies to messages.

use derive_more::Debug;
use tokio::sync::{mpsc, oneshot, watch};

use crate::timer::{Tick, TickSink};
use crate::{Error, Result};

/// Handle for sending messages to a service through the bounded queue called its mailbox.
///
/// The handle stays valid when the service is restarted: later messages go to the mailbox of the
/// new instance.
#[derive(Debug)]
#[debug("Mailbox({name})")]
pub struct Mailbox<M> {
    name: &'static str,
    current_sender: watch::Receiver<mpsc::Sender<M>>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            current_sender: self.current_sender.clone(),
        }
    }
}

impl<M: Send + 'static> Mailbox<M> {
    pub(crate) fn new(
        name: &'static str,
        current_sender: watch::Receiver<mpsc::Sender<M>>,
    ) -> Self {
        Self {
            name,
            current_sender,
        }
    }

    fn sender(&self) -> mpsc::Sender<M> {
        self.current_sender.borrow().clone()
    }

    /// Adds a message to the mailbox if the mailbox is not full.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] if the mailbox is full, and [`Error::Closed`] if the service is not
    /// running.
    pub fn try_send(&self, message: M) -> Result<()> {
        self.current_sender
            .borrow()
            .try_send(message)
            .map_err(|e| match e {
                mpsc::error::TrySendError::Full(_) => Error::Full(self.name),
                mpsc::error::TrySendError::Closed(_) => Error::Closed(self.name),
            })
    }

    /// Adds a message to the mailbox, waiting while the mailbox is full.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the service is not running, or ends while the call waits.
    pub async fn send(&self, message: M) -> Result<()> {
        let sender = self.sender();
        sender
            .send(message)
            .await
            .map_err(|_| Error::Closed(self.name))
    }

    /// Sends a request message and waits for the reply, which it returns.
    ///
    /// `to_message` creates the message from the sender of the reply. The call fails immediately
    /// if the mailbox is full, so that callers shed load instead of queueing it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] or [`Error::Closed`] if the request was not delivered, and
    /// [`Error::NoReply`] if the service dropped it without replying.
    pub async fn ask<R>(&self, to_message: impl FnOnce(ReplySender<R>) -> M) -> Result<R> {
        let (sender, receiver) = oneshot::channel();
        self.try_send(to_message(ReplySender { sender }))?;
        receiver.await.map_err(|_| Error::NoReply(self.name))
    }

    /// Creates a sink that converts each tick of the timer service to a message and adds it to this
    /// mailbox.
    ///
    /// A tick is dropped if the mailbox is full or the service is not running.
    #[must_use]
    pub fn tick_sink(&self, to_message: fn(Tick) -> M) -> Box<dyn TickSink> {
        Box::new(MailboxTickSink {
            mailbox: self.clone(),
            to_message,
        })
    }
}

/// Converts ticks to messages and adds them to a mailbox.
struct MailboxTickSink<M> {
    mailbox: Mailbox<M>,
    to_message: fn(Tick) -> M,
}

impl<M: Send + 'static> TickSink for MailboxTickSink<M> {
    fn deliver(&mut self, tick: Tick) {
        // Drops the tick if the mailbox is full. The next one follows a period later, but a pause
        // that only the dropped tick reported goes unnoticed.
        let _ = self.mailbox.try_send((self.to_message)(tick));
    }
}

/// Sending half of the reply to one request message.
///
/// If it is dropped without a reply, the requester gets [`Error::NoReply`].
#[derive(Debug)]
pub struct ReplySender<R> {
    sender: oneshot::Sender<R>,
}

impl<R> ReplySender<R> {
    /// Sends the reply. Does nothing if the requester no longer waits for it.
    pub fn send(self, value: R) {
        let _ = self.sender.send(value);
    }

    /// Returns whether the requester has stopped waiting for the reply.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the requester has stopped waiting for the reply.
    pub async fn wait_abandoned(&mut self) {
        self.sender.closed().await;
    }
}

/// Receiver of the messages in a service's mailbox.
#[derive(Debug)]
pub struct Inbox<M> {
    receiver: mpsc::Receiver<M>,
}

impl<M> Inbox<M> {
    pub(crate) fn new(receiver: mpsc::Receiver<M>) -> Self {
        Self { receiver }
    }

    /// Waits for the next message. Returns `None` once the mailbox is empty and no sender is left.
    pub async fn recv(&mut self) -> Option<M> {
        self.receiver.recv().await
    }
}
