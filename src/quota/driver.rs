//! Task on the control thread that keeps [`QuotaHub`] in step with configuration and
//! members, and repeats what was not answered.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::hub::QuotaHub;
use super::members::{MemberAddress, OtherMembers};
use super::wire::DATAGRAM_MARK;
use crate::membership::driver::MembershipHandle;
use crate::membership::{MemberState, MembershipState};
use crate::metrics::NodeMetrics;
use crate::routes::RouteConfig;

/// Time between two checks for answers that are late.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two updates of the members while none changes.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two updates of the members: each costs time for every member.
const MIN_MEMBERS_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Serves quotas until the configuration's sender ends. It does nothing while no tenant
/// has a quota.
pub async fn follow_quotas(
    hub: Arc<QuotaHub>,
    membership: MembershipHandle,
    mut config: watch::Receiver<Option<Arc<RouteConfig>>>,
    metrics: Arc<NodeMetrics>,
) {
    let receiving_hub = Arc::clone(&hub);
    membership.route_datagrams(
        DATAGRAM_MARK,
        Rc::new(move |from, payload| receiving_hub.on_datagram(from, payload)),
    );
    loop {
        hub.set_config(config.borrow_and_update().as_deref());
        if !hub.is_active() {
            if config.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            changed = config.changed() => if changed.is_err() {
                return;
            },
            () = serve(&hub, &membership, &metrics) => {}
        }
    }
}

async fn serve(hub: &QuotaHub, membership: &MembershipHandle, metrics: &NodeMetrics) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut since_members = MEMBERS_INTERVAL;
    let mut change_count = 0;
    let mut metrics_left = Duration::ZERO;
    loop {
        ticks.tick().await;
        let state = membership.state().borrow();
        let is_changed = state.change_count() != change_count;
        if since_members >= MEMBERS_INTERVAL
            || (is_changed && since_members >= MIN_MEMBERS_INTERVAL)
        {
            change_count = state.change_count();
            hub.set_members(&other_members(&state));
            since_members = Duration::ZERO;
        }
        drop(state);
        if metrics_left.is_zero() {
            metrics.set_quota_usage(&hub.summary(), &hub.held_buckets());
            metrics_left = METRICS_INTERVAL;
        }
        hub.tick();
        since_members += TICK_INTERVAL;
        metrics_left = metrics_left.saturating_sub(TICK_INTERVAL);
    }
}

/// Members other than the own node, by what quotas count them for.
fn other_members(state: &MembershipState) -> OtherMembers {
    let own = &state.own_record().node;
    let mut others = OtherMembers::default();
    for record in state
        .members()
        .values()
        .filter(|record| record.node != *own)
    {
        let member = MemberAddress::new(&record.node, record.peer_address);
        match record.state() {
            MemberState::Alive => {
                others.candidates.push(member);
                others.live.insert(member.node);
            }
            MemberState::Leaving => {
                others.live.insert(member.node);
            }
            MemberState::Dead if record.is_leaving => {
                others.left.insert(member.node);
            }
            MemberState::Suspect | MemberState::Dead => {}
        }
    }
    others
}
