//! Metrics over statsd.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use cadence::{Gauged, StatsdClient, UdpMetricSink};

use crate::control::admin::collect_counters;
use crate::control::state::ControlState;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Prefix of the names.
const PREFIX: &str = "currantlift";

/// Sends the node's counters until the process ends.
pub async fn publish_metrics(control: Rc<ControlState>, receiver: SocketAddr) {
    let client = match connect(&control, receiver) {
        Ok(client) => client,
        Err(error) => {
            log::error!(target: "metrics", "no metrics: {error}");
            return;
        }
    };
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        for (name, value) in collect_counters(&control) {
            // A lost report is replaced by the next.
            let _ = client.gauge(&name, value);
        }
    }
}

fn connect(
    control: &ControlState,
    receiver: SocketAddr,
) -> Result<StatsdClient, cadence::MetricError> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(receiver, socket)?;
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("node", control.identity.node.as_str())
        .build();
    Ok(client)
}
