//! Reports the node's counters to a statsd server over UDP.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use cadence::{Gauged, StatsdClient, UdpMetricSink};

use crate::control::admin::collect_counters;
use crate::control::state::ControlState;

/// Pause between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Prefix of all metric names.
const METRIC_PREFIX: &str = "currantlift";

/// Sends the node's counters as gauges until the process exits.
pub async fn publish_statsd_gauges(control: Rc<ControlState>, statsd_address: SocketAddr) {
    let client = match create_client(&control, statsd_address) {
        Ok(client) => client,
        Err(error) => {
            log::error!(target: "metrics", "can't set up the statsd client, no metrics are sent: {error}");
            return;
        }
    };
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        for (name, value) in collect_counters(&control) {
            // A lost gauge is superseded by the next report.
            let _ = client.gauge(&name, value);
        }
    }
}

fn create_client(
    control: &ControlState,
    statsd_address: SocketAddr,
) -> Result<StatsdClient, cadence::MetricError> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(statsd_address, socket)?;
    let client = StatsdClient::builder(METRIC_PREFIX, sink)
        .with_tag("node", control.identity.node.as_str())
        .build();
    Ok(client)
}
