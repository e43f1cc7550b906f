//! Registry that maps service names to mailboxes.

use std::any::Any;
use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

use derive_more::Debug;

use crate::{Error, Mailbox, Result};

/// Name of a service, together with the type of the messages that the service accepts.
///
/// The message type is checked at run time: [`Registry::mailbox`] fails if the service accepts
/// messages of another type.
#[derive(Debug)]
#[debug("Name({text})")]
pub struct Name<M> {
    text: &'static str,
    // `fn(M)` makes the name `Send` and `Sync` for every `M`.
    marker: PhantomData<fn(M)>,
}

impl<M> Clone for Name<M> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<M> Copy for Name<M> {}

impl<M> Name<M> {
    /// Creates a name.
    #[must_use]
    pub const fn new(text: &'static str) -> Self {
        Self {
            text,
            marker: PhantomData,
        }
    }

    /// Returns the name as a string.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        self.text
    }
}

/// Mailboxes of all services of a process, by service name.
///
/// The mailboxes are stored as `dyn Any` because their message types differ.
#[derive(Clone, Debug)]
pub struct Registry {
    #[debug(skip)]
    mailboxes: Arc<HashMap<&'static str, Box<dyn Any + Send + Sync>>>,
}

impl Registry {
    pub(crate) fn new(mailboxes: HashMap<&'static str, Box<dyn Any + Send + Sync>>) -> Self {
        Self {
            mailboxes: Arc::new(mailboxes),
        }
    }

    /// Returns the mailbox of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if no service with this name and message type was added to the
    /// kernel.
    pub fn mailbox<M: Send + 'static>(&self, name: Name<M>) -> Result<Mailbox<M>> {
        self.mailboxes
            .get(name.as_str())
            .and_then(|mailbox| mailbox.downcast_ref::<Mailbox<M>>())
            .cloned()
            .ok_or(Error::Unknown(name.as_str()))
    }
}
