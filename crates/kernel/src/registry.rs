//! Registry from service name to mailbox.

use std::any::Any;
use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

use derive_more::Debug;

use crate::{Error, Mailbox, Result};

/// Name of a service together with the type of its messages.
///
/// Because the name carries the type, a lookup returns a typed mailbox.
#[derive(Debug)]
#[debug("Name({text})")]
pub struct Name<M> {
    text: &'static str,
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

    /// Returns the name as text.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        self.text
    }
}

/// Mailboxes of all services of a process, by name.
#[derive(Clone, Debug)]
pub struct Registry {
    #[debug(skip)]
    entries: Arc<HashMap<&'static str, Box<dyn Any + Send + Sync>>>,
}

impl Registry {
    pub(crate) fn new(entries: HashMap<&'static str, Box<dyn Any + Send + Sync>>) -> Self {
        Self {
            entries: Arc::new(entries),
        }
    }

    /// Looks up the mailbox of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if no service of that name and message type was added to the
    /// kernel.
    pub fn mailbox<M: Send + 'static>(&self, name: Name<M>) -> Result<Mailbox<M>> {
        self.entries
            .get(name.as_str())
            .and_then(|entry| entry.downcast_ref::<Mailbox<M>>())
            .cloned()
            .ok_or(Error::Unknown(name.as_str()))
    }
}
