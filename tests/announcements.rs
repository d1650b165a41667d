//! Odd heartbeats at real node processes with a simulated store.
//!
//! The test guards against a heartbeat of another writer, with a number too large or a port
//! out of range, after which the heartbeats of the backend server itself count as late.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]
#![allow(dead_code, reason = "processes are shared with other tests")]

#[path = "evacuation/fleet.rs"]
mod fleet;
#[path = "support/process.rs"]
mod process;

use std::time::Duration;

use ntex::http::StatusCode;
use serde_json::{Value, json};

use fleet::Fleet;

/// Time after which a backend server without accepted heartbeats counts as gone, and more.
const EXPIRY_TIME: Duration = Duration::from_secs(10);
const PLACES: [(&str, &str); 2] = [("north", "zone-a"), ("north", "zone-a")];

fn odd_fields() -> Vec<Value> {
    let status = |sequence: Value| json!({ "state": "ready", "sequence": sequence });
    vec![
        json!({ "born": u64::MAX }),
        json!({ "born": 99_999_999_999_999_u64 }),
        json!({ "born": -1 }),
        json!({ "born": 1e300 }),
        json!({ "status": status(json!(u64::MAX)) }),
        json!({ "status": status(json!(1e300)) }),
        json!({ "address": "127.0.0.1:0" }),
        json!({ "address": "127.0.0.1:99999" }),
    ]
}

#[ntex::test]
async fn odd_heartbeat_is_rejected_and_the_backend_server_stays_in_use() {
    let fleet = Fleet::start(&PLACES, &[]).await;
    for odd in odd_fields() {
        for id in [None, Some("another")] {
            let status = fleet.send_odd_heartbeat(0, id, &odd).await;
            assert_eq!(status, StatusCode::BAD_REQUEST, "{id:?} {odd}");
        }
    }
    let load = fleet.start_load(&["/any/x", "/once/x"]);
    ntex::time::sleep(EXPIRY_TIME).await;
    for index in 0..PLACES.len() {
        let ready = fleet.ready_upstreams(index).await;
        assert_eq!(ready, PLACES.len(), "at node {index}");
    }
    let answers = load.answers.borrow();
    let failed = answers
        .iter()
        .filter(|answer| answer.status != Some(StatusCode::OK));
    assert_eq!((failed.count(), answers.is_empty()), (0, false));
}
