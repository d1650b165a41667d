//! Publishes the state of zone balancing: the load of the own zone to the gate, the
//! shares to metrics and the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use crate::gate::GateCommand;
use crate::ingress::{IngressState, lock};
use crate::zone_balancing::ServiceBalance;

/// Interval at which the gate gets the load of the own zone.
const ZONE_LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Such intervals between two records of the shares.
const INTERVALS_PER_RECORD: u32 = 10;
/// Change of a service's share from which it is logged again.
const LOGGED_CHANGE: f64 = 0.02;

/// Runs until the gate ends.
pub async fn publish_zone_loads(
    shared: Arc<IngressState>,
    gate_commands: UnboundedSender<GateCommand>,
) {
    let mut logged_shares = BTreeMap::new();
    let mut interval = 0;
    let mut has_load = false;
    loop {
        tokio::time::sleep(ZONE_LOAD_INTERVAL).await;
        let load = lock(&shared.router).own_zone_load(shared.now());
        if has_load || load.is_some() {
            has_load = load.is_some();
            if gate_commands.send(GateCommand::SetZoneLoad(load)).is_err() {
                return;
            }
        }
        interval += 1;
        if interval < INTERVALS_PER_RECORD {
            continue;
        }
        interval = 0;
        let balances = lock(&shared.router).zone_balances();
        shared.metrics.set_zone_balances(&balances);
        for balance in &balances {
            let logged = logged_shares.entry(balance.service.clone()).or_insert(0.0);
            if (balance.share - *logged).abs() >= LOGGED_CHANGE {
                *logged = balance.share;
                log_balance(balance);
            }
        }
    }
}

fn log_balance(balance: &ServiceBalance) {
    for zone in &balance.zones {
        log::info!(
            target: "zones",
            service:% = balance.service, zone:% = zone.zone,
            share = zone.share,
            home_load = balance.home_load,
            home_wait_ms = balance.home_wait.as_secs_f64() * 1e3,
            wait_ms = zone.wait.map(|wait| wait.as_secs_f64() * 1e3),
            round_trip_ms = zone.round_trip.map(|trip| trip.as_secs_f64() * 1e3),
            report_age_ms = zone.report_age.map(|age| age.as_millis() as u64);
            "cross-zone share changed"
        );
    }
}
