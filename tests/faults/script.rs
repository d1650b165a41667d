//! Faults and how they are put in and taken out again.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Time for which a fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(500);
/// Time for which a long fault lasts, longer than an order's time limit.
const LONG_FAULT_DURATION: Duration = Duration::from_millis(1400);
/// Time between two rounds.
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_millis(200);

/// One fault of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The node is killed and started again.
    KillNode,
    /// The same, and connections to it are refused meanwhile.
    KillNodeRefusing,
    /// The node is stopped and continued.
    FreezeNode,
    /// The backend server is killed and started again.
    KillBackend,
    /// The backend server is stopped and continued.
    FreezeBackend,
    /// Open links are closed.
    CutLinks,
    /// Open links go silent for good.
    SilenceLinks,
    /// What open links carry is kept back and delivered late.
    HoldLinks,
    /// The backend server is 20 times slower.
    SlowBackend,
    /// The backend server fails at once.
    FailBackend,
    /// The backend server cuts its answers.
    TruncateResponses,
    /// The backend server runs requests and never answers.
    WithholdResponses,
}

/// Fault at an upstream.
pub type UpstreamFault = (usize, Fault);

/// Puts several faults in at once, waits, and takes them out.
pub async fn run_fault_round(fleet: &mut Fleet, faults: &[UpstreamFault], is_long: bool) {
    for &(index, fault) in faults {
        inject_fault(fleet, index, fault).await;
    }
    let duration = if is_long {
        LONG_FAULT_DURATION
    } else {
        FAULT_DURATION
    };
    sleep(duration).await;
    for &(index, fault) in faults {
        clear_fault(fleet, index, fault).await;
    }
    sleep(PAUSE_BETWEEN_ROUNDS).await;
}

/// Puts a fault in.
pub async fn inject_fault(fleet: &mut Fleet, index: usize, fault: Fault) {
    let client = fleet.client.clone();
    let upstream = &mut fleet.upstreams[index];
    match fault {
        Fault::KillNode => upstream.node = None,
        Fault::KillNodeRefusing => {
            upstream.relay.send_command("refuse");
            upstream.node = None;
        }
        Fault::FreezeNode => upstream.signal_node("STOP"),
        Fault::KillBackend => upstream.backend = None,
        Fault::FreezeBackend => upstream.signal_backend("STOP"),
        Fault::CutLinks => upstream.relay.send_command("cut"),
        Fault::SilenceLinks => upstream.relay.send_command("silence"),
        Fault::HoldLinks => upstream.relay.send_command("hold"),
        Fault::SlowBackend
        | Fault::FailBackend
        | Fault::TruncateResponses
        | Fault::WithholdResponses => {
            upstream
                .set_backend_faults(&client, &backend_fault_settings(fault))
                .await;
        }
    }
}

fn backend_fault_settings(fault: Fault) -> Value {
    match fault {
        Fault::SlowBackend => json!({ "slowdown": 20.0 }),
        Fault::FailBackend => json!({ "fail_fast": true }),
        Fault::TruncateResponses => json!({ "cut": true }),
        Fault::WithholdResponses => json!({ "silent": true }),
        _ => json!({}),
    }
}

/// Takes a fault out.
pub async fn clear_fault(fleet: &mut Fleet, index: usize, fault: Fault) {
    let client = fleet.client.clone();
    let upstream = &mut fleet.upstreams[index];
    match fault {
        Fault::KillNode => upstream.start_node(),
        Fault::KillNodeRefusing => {
            upstream.start_node();
            upstream.relay.send_command("accept");
        }
        Fault::FreezeNode => upstream.signal_node("CONT"),
        Fault::KillBackend => upstream.start_backend(),
        Fault::FreezeBackend => upstream.signal_backend("CONT"),
        Fault::CutLinks | Fault::SilenceLinks => {}
        Fault::HoldLinks => upstream.relay.send_command("release"),
        Fault::SlowBackend
        | Fault::FailBackend
        | Fault::TruncateResponses
        | Fault::WithholdResponses => {
            upstream.set_backend_faults(&client, &json!({})).await;
        }
    }
}
