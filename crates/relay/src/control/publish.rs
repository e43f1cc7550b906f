//! Publishes the configuration and its revision to the other services and daemons.

use std::sync::Arc;

use cornelvalve_model::Moment;

use super::ControlService;
use crate::desired::changes::DesiredUpdate;
use crate::hop::ControlUpdate;
use crate::messages::{
    ControlSource, DiscoveryMessage, GuardMessage, MembersMessage, NoticesMessage, RouterMessage,
    StatsMessage,
};

impl ControlService {
    /// Counts a read of the store or of a peer in the metrics.
    pub(super) fn count_read(&self, source: ControlSource, ok: bool) {
        let message = StatsMessage::ControlRead { source, ok };
        if let Err(e) = self.stats.try_send(message) {
            log::debug!("read of the configuration is missing in the metrics: {e}");
        }
    }

    /// Informs the router and the stats service whether a later configuration exists, if that has
    /// changed.
    pub(super) async fn publish_behind(&mut self) {
        let behind = self.plan.is_behind();
        if behind == self.published_behind {
            return;
        }
        self.published_behind = behind;
        let results = [
            self.router.send(RouterMessage::Behind(behind)).await,
            self.stats.send(StatsMessage::Behind(behind)).await,
        ];
        for error in results.into_iter().filter_map(Result::err) {
            log::error!(event = "publish-failed"; "a service was not told whether a later configuration exists: {error}; it requests the configuration when it restarts");
        }
    }

    /// Sends the latest change to a few daemons, which need no connection to get it then.
    pub(super) fn send_notice(&self, new_state: bool, now: Moment) {
        let desired = if new_state {
            self.history.latest_change()
        } else {
            Some(DesiredUpdate::Unchanged)
        };
        let known = self.view.desired.is_none() || self.history.current_id().is_some();
        let Some(desired) = desired.filter(|_| known) else {
            return;
        };
        let update = ControlUpdate {
            desired,
            ..self.unchanged(now)
        };
        let message = NoticesMessage::Control(Box::new(update));
        if let Err(e) = self.notices.try_send(message) {
            log::debug!("change was not sent to other daemons: {e}; they fetch it");
        }
    }

    /// Tells the discovery service of the new era of the store, which may lack the record of this
    /// daemon.
    pub(super) fn announce_era(&self) {
        let era = self.view.position.era;
        log::info!(event = "store-era-entered", era = era.0, offset = self.view.position.offset.0, version = self.version(), domains_out = self.view.domains_out.len(), kept = self.domains.keeps_domains(); "configuration includes the store's records of a new era");
        if let Err(e) = self.discovery.try_send(DiscoveryMessage::StoreEra(era)) {
            log::warn!(event = "publish-failed"; "discovery was not told of the new era of the store: {e}; other daemons may not find this one there");
        }
    }

    /// Sends the current configuration to the services that depend on it.
    pub(super) async fn publish(&mut self) {
        let view = || Arc::clone(&self.view);
        // The guard first: it makes the final decision whether a request runs.
        let results = [
            self.guard.send(GuardMessage::Control(view())).await,
            self.router.send(RouterMessage::Control(view())).await,
            self.stats.send(StatsMessage::Control(view())).await,
        ];
        for error in results.into_iter().filter_map(Result::err) {
            log::error!(event = "publish-failed"; "publishing the configuration failed: {error}; a service requests the configuration when it restarts");
        }
        self.report_revision().await;
    }

    /// Reports the revision of the configuration to the other daemons.
    pub(super) async fn report_revision(&mut self) {
        self.reported = self.revision();
        let message = MembersMessage::ConfigurationApplied(self.reported);
        if let Err(e) = self.members.send(message).await {
            log::error!(event = "publish-failed"; "revision of the configuration was not reported: {e}; it is reported again after the next change");
        }
    }
}
