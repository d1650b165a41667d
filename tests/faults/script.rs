//! Faults of upstreams, and how to inject and clear them.
//!
//! Process faults are kills or signals, link faults are commands to the relay,
//! and the others are switched on in the stand-in backend server.

use std::time::Duration;

use ntex::time::sleep;
use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Duration of a fault, shorter than an order's time limit.
const FAULT_DURATION: Duration = Duration::from_millis(500);
/// Duration of a long fault, longer than an order's time limit.
const LONG_FAULT_DURATION: Duration = Duration::from_millis(1400);
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_millis(200);

/// Kind of fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The node is killed and started again.
    KillNode,
    /// The same, and its relay refuses connections meanwhile.
    KillNodeRefusing,
    /// The node's process is paused and resumed.
    FreezeNode,
    /// The backend server is killed and started again.
    KillBackend,
    /// The backend server's process is paused and resumed.
    FreezeBackend,
    /// Open connections to the node are closed.
    CutLinks,
    /// Open connections to the node carry nothing more, but stay open.
    SilenceLinks,
    /// Data on open connections to the node is held back and delivered late.
    HoldLinks,
    /// The backend server takes 20 times its service time.
    SlowBackend,
    /// The backend server fails requests immediately, without a run.
    FailBackend,
    /// The backend server closes connections in the middle of its responses.
    TruncateResponses,
    /// The backend server runs requests and never responds.
    WithholdResponses,
    /// The backend server runs requests and closes connections within the heads of its
    /// responses.
    TruncateHeads,
    /// The backend server fails requests before their bodies are in.
    AnswerEarly,
    /// The backend server fails requests and sends each response twice.
    RepeatFailures,
}

/// Index of an upstream, with its fault.
pub type UpstreamFault = (usize, Fault);

/// Injects faults together, waits, clears them, and leaves time to recover.
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
        | Fault::WithholdResponses
        | Fault::TruncateHeads
        | Fault::AnswerEarly
        | Fault::RepeatFailures => {
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
        Fault::TruncateHeads => json!({ "cut_head": true }),
        Fault::AnswerEarly => json!({ "answer_early": true }),
        Fault::RepeatFailures => json!({ "repeat_failure": true }),
        _ => json!({}),
    }
}

/// Ends a fault: starts a killed process again, resumes a paused one. Cut and
/// silent connections stay as they are.
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
        | Fault::WithholdResponses
        | Fault::TruncateHeads
        | Fault::AnswerEarly
        | Fault::RepeatFailures => {
            upstream.set_backend_faults(&client, &json!({})).await;
        }
    }
}
