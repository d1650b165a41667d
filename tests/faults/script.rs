//! Faults and how they are put in and taken out again.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Time for which a fault lasts.
const FAULT_TIME: Duration = Duration::from_millis(500);
/// Time for which a long fault lasts, longer than an order's time limit.
const LONG_FAULT_TIME: Duration = Duration::from_millis(1400);
/// Time between two rounds.
const CALM_TIME: Duration = Duration::from_millis(200);

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
    Slow,
    /// The backend server fails at once.
    FailFast,
    /// The backend server cuts its answers.
    CutAnswers,
    /// The backend server runs requests and never answers.
    NeverAnswer,
}

/// Fault at an upstream.
pub type Placed = (usize, Fault);

/// Puts several faults in at once, waits, and takes them out.
pub async fn run_round(fleet: &mut Fleet, faults: &[Placed], is_long: bool) {
    for &(index, fault) in faults {
        put_in(fleet, index, fault).await;
    }
    let time = if is_long { LONG_FAULT_TIME } else { FAULT_TIME };
    sleep(time).await;
    for &(index, fault) in faults {
        take_out(fleet, index, fault).await;
    }
    sleep(CALM_TIME).await;
}

/// Puts a fault in.
pub async fn put_in(fleet: &mut Fleet, index: usize, fault: Fault) {
    let client = fleet.client.clone();
    let upstream = &mut fleet.upstreams[index];
    match fault {
        Fault::KillNode => upstream.node = None,
        Fault::KillNodeRefusing => {
            upstream.relay.steer("refuse");
            upstream.node = None;
        }
        Fault::FreezeNode => upstream.signal_node("STOP"),
        Fault::KillBackend => upstream.backend = None,
        Fault::FreezeBackend => upstream.signal_backend("STOP"),
        Fault::CutLinks => upstream.relay.steer("cut"),
        Fault::SilenceLinks => upstream.relay.steer("silence"),
        Fault::HoldLinks => upstream.relay.steer("hold"),
        Fault::Slow | Fault::FailFast | Fault::CutAnswers | Fault::NeverAnswer => {
            upstream.set_faults(&client, &backend_faults(fault)).await;
        }
    }
}

fn backend_faults(fault: Fault) -> Value {
    match fault {
        Fault::Slow => json!({ "slowdown": 20.0 }),
        Fault::FailFast => json!({ "fail_fast": true }),
        Fault::CutAnswers => json!({ "cut": true }),
        Fault::NeverAnswer => json!({ "silent": true }),
        _ => json!({}),
    }
}

/// Takes a fault out.
pub async fn take_out(fleet: &mut Fleet, index: usize, fault: Fault) {
    let client = fleet.client.clone();
    let upstream = &mut fleet.upstreams[index];
    match fault {
        Fault::KillNode => upstream.start_node(),
        Fault::KillNodeRefusing => {
            upstream.start_node();
            upstream.relay.steer("accept");
        }
        Fault::FreezeNode => upstream.signal_node("CONT"),
        Fault::KillBackend => upstream.start_backend(),
        Fault::FreezeBackend => upstream.signal_backend("CONT"),
        Fault::CutLinks | Fault::SilenceLinks => {}
        Fault::HoldLinks => upstream.relay.steer("release"),
        Fault::Slow | Fault::FailFast | Fault::CutAnswers | Fault::NeverAnswer => {
            upstream.set_faults(&client, &json!({})).await;
        }
    }
}
