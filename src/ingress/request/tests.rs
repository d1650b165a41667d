//! Tests of the time limits of requests without routes.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;
use crate::fields::DEFAULT_DIALECT;
use crate::http1::BodyFraming;
use crate::table::ServiceEntry;

const SERVICE_TIMEOUT: Duration = Duration::from_millis(1_000);

fn resolve(requested_timeout_ms: Option<&str>) -> ResolvedRequest {
    let rule = ServiceRule {
        timeout_ms: SERVICE_TIMEOUT.as_millis() as u64,
        ..ServiceRule::default()
    };
    let entry = ServiceEntry {
        ticket: "1".parse().unwrap(),
        rule,
        upstreams: BTreeMap::new(),
    };
    let table = RoutingTable {
        services: [("tillpost".parse().unwrap(), entry)].into(),
        ..RoutingTable::default()
    };
    let field = |name: &str, value: &str| HeaderField {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    let timeout = requested_timeout_ms.map(|value| field("currantlift-timeout-ms", value));
    let service = field("currantlift-service", "tillpost");
    let head = RequestHead {
        method: "POST".to_string(),
        target: "/orders".to_string(),
        host: None,
        fields: [service].into_iter().chain(timeout).collect(),
        framing: BodyFraming::Length(0),
        is_keep_alive: true,
        is_http_1_0: false,
    };
    let mut resolver = RequestResolver {
        table: &table,
        dialect: &DEFAULT_DIALECT,
        traffic_splits: &mut SplitSelector::default(),
        rng: &mut StdRng::seed_from_u64(1),
    };
    resolver.resolve(head).unwrap()
}

/// Guards against refusing a call as late while its caller still waits: the service's
/// time limit counted as a target latency once the caller stated a longer one.
#[test]
fn caller_that_waits_longer_than_the_service_limit_is_not_late_at_that_limit() {
    for (stated_ms, timeout) in [
        (None, SERVICE_TIMEOUT),
        (Some("4000"), 4 * SERVICE_TIMEOUT),
        (Some("250"), SERVICE_TIMEOUT / 4),
    ] {
        let request = resolve(stated_ms);
        assert_eq!(
            (request.timeout, request.target_latency),
            (timeout, timeout),
            "{stated_ms:?}"
        );
    }
}
