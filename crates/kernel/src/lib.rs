//! Micro-kernel: services with mailboxes that find each other by name.
//!
//! The kernel knows nothing about load balancing. It creates one bounded mailbox for each
//! service, starts the services in the order in which they were added, restarts or stops on
//! failure, and stops them in reverse order. Everything else is a service: a task that owns its
//! state and its sockets and talks to others by messages only.
//!
//! All mailboxes exist before the first service starts, and the registry does not change
//! afterwards. A lookup therefore needs no lock, and a service may hold the mailbox of one that
//! starts later.

mod clock;
mod completion;
mod error;
mod kernel;
mod mailbox;
mod registry;
mod supervisor;
mod timer;

pub use clock::{Clock, SystemClock};
pub use completion::CompletionSender;
pub use error::{Error, Result};
pub use kernel::{Kernel, KernelBuilder, StopReason};
pub use mailbox::{Inbox, Mailbox, ReplySender};
pub use registry::{Name, Registry};
pub use supervisor::{Context, OnFailure, ServiceOptions, ServiceResult, StopSignal};
pub use timer::{TIMER, Tick, TickSink, TimerMessage};
