//! Names of the services of a daemon, in the order in which they start.
//!
//! A service waits for replies only from services above it in this list, so no two wait for each
//! other. Notifications without a reply may go either way.

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

/// Accounts for control traffic.
pub(crate) const BUDGET: Name<BudgetMessage> = Name::new("budget");
/// Detects failures and spreads member records.
pub(crate) const MEMBERSHIP: Name<MembershipMessage> = Name::new("membership");
/// Holds the accepted configuration.
pub(crate) const CATALOG: Name<CatalogMessage> = Name::new("catalog");
/// Takes announcements of local upstreams.
pub(crate) const ANNOUNCER: Name<AnnouncerMessage> = Name::new("announcer");
/// Keeps idle connections.
pub(crate) const POOL: Name<PoolMessage> = Name::new("pool");
/// Admits requests to the local upstreams.
pub(crate) const GUARD: Name<GuardMessage> = Name::new("guard");
/// Routes requests and chooses upstreams.
pub(crate) const ROUTER: Name<RouterMessage> = Name::new("router");
/// Appends configuration changes to the log.
pub(crate) const PUBLISHER: Name<PublisherMessage> = Name::new("publisher");
/// Answers operators' calls.
pub(crate) const OPERATORS: Name<OperatorsMessage> = Name::new("operators");
/// Takes forwarded requests.
pub(crate) const PEERS: Name<PeersMessage> = Name::new("peers");
/// Takes callers' requests.
pub(crate) const ENTRY: Name<EntryMessage> = Name::new("entry");
/// Serves metrics.
pub(crate) const SCRAPE: Name<ScrapeMessage> = Name::new("scrape");
