//! Micro-kernel that runs the services of a process and lets them find each other by name.
//!
//! In this crate, a service is an internal task of the process that owns its state and its sockets
//! and communicates with other services only by messages. It has nothing to do with a
//! [`cornelvalve_model::Service`], to which callers send requests.
//!
//! The kernel creates one bounded mailbox for each service and starts the services in the order in
//! which they were added. If a service fails, the kernel restarts it or reports the failure, so
//! that the process can be stopped. On shutdown it stops the services in reverse order. The kernel
//! contains no load-balancing logic.
//!
//! All mailboxes are created before the first service starts, and the registry does not change
//! afterwards. Looking up a mailbox therefore needs no lock, and a service can look up the mailbox
//! of a service that starts later.

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
