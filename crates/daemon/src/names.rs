//! Names under which the services of a daemon are registered, in start order.
//!
//! A service may wait for replies only from services above it in this list, which rules out
//! deadlocks. Notifications without a reply may be sent in either direction.

use cornelvalve_kernel::Name;

use crate::announcer::AnnouncerMessage;
use crate::budget::BudgetMessage;
use crate::catalog::CatalogMessage;
use crate::entry::EntryMessage;
use crate::guard::GuardMessage;
use crate::membership::MembershipMessage;
use crate::operators::OperatorsMessage;
use crate::peers::PeersMessage;
use crate::pool::PoolMessage;
use crate::publisher::PublisherMessage;
use crate::router::RouterMessage;
use crate::scrape::ScrapeMessage;

/// Limits and measures control traffic: what daemons send to each other besides requests.
pub(crate) const BUDGET: Name<BudgetMessage> = Name::new("budget");
/// Detects failed daemons and replicates member records.
pub(crate) const MEMBERSHIP: Name<MembershipMessage> = Name::new("membership");
/// Reads the configuration log and publishes the accepted configuration.
pub(crate) const CATALOG: Name<CatalogMessage> = Name::new("catalog");
/// Accepts announcements from upstreams on the same VM.
pub(crate) const ANNOUNCER: Name<AnnouncerMessage> = Name::new("announcer");
/// Keeps idle connections for reuse.
pub(crate) const POOL: Name<PoolMessage> = Name::new("pool");
/// Admits requests to the local upstreams.
pub(crate) const GUARD: Name<GuardMessage> = Name::new("guard");
/// Routes requests and chooses an upstream for each attempt.
pub(crate) const ROUTER: Name<RouterMessage> = Name::new("router");
/// Appends configuration changes to the configuration log.
pub(crate) const PUBLISHER: Name<PublisherMessage> = Name::new("publisher");
/// Serves the operators' JSON-RPC interface.
pub(crate) const OPERATORS: Name<OperatorsMessage> = Name::new("operators");
/// Accepts requests that other daemons forward.
pub(crate) const PEERS: Name<PeersMessage> = Name::new("peers");
/// Accepts callers' requests.
pub(crate) const ENTRY: Name<EntryMessage> = Name::new("entry");
/// Serves metrics.
pub(crate) const SCRAPE: Name<ScrapeMessage> = Name::new("scrape");
