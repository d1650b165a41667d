//! Tests of the encoded metrics and of their HTTP server.

use std::net::TcpListener;
use std::sync::Arc;

use ntex::client::Client;

use super::*;

fn recorded_metrics() -> NodeMetrics {
    let metrics = NodeMetrics::default();
    metrics.record_call("slotbook", "none", "answered", Duration::from_millis(70));
    metrics.record_call(
        "slotbook",
        "overloaded",
        "not-run",
        Duration::from_millis(1),
    );
    metrics.count_admission("start");
    metrics.record_run("answered", Some(Duration::from_millis(60)));
    metrics.set_config_version(18);
    metrics
}

#[test]
fn encoded_text_has_call_counts_and_latencies_by_service() {
    let text = recorded_metrics().encode_text();
    for line in [
        r#"currantlift_calls_total{service="slotbook",kind="none",outcome="answered"} 1"#,
        r#"currantlift_calls_total{service="slotbook",kind="overloaded",outcome="not-run"} 1"#,
        r#"currantlift_call_seconds_bucket{le="0.08",service="slotbook"} 2"#,
        r#"currantlift_admissions_total{decision="start"} 1"#,
        r#"currantlift_run_seconds_count 1"#,
        r#"currantlift_config_version 18"#,
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    assert!(text.ends_with("# EOF\n"));
}

#[ntex::test]
async fn server_responds_with_encoded_metrics() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/metrics", listener.local_addr().unwrap());
    let _server = start_metrics_server(listener, Arc::new(recorded_metrics()), 16).unwrap();
    let client = Client::new().await;
    let response = client.get(url).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let body = response.body().await.unwrap();
    assert!(body.ends_with(b"# EOF\n"));
}

/// A zone that is gone must not keep its last share in the metrics.
#[test]
fn share_of_a_zone_is_encoded_until_the_zone_is_gone() {
    let zone = crate::zone_balancing::ZoneBalance {
        zone: "b".parse().unwrap(),
        share: 0.25,
        wait: Some(Duration::from_millis(5)),
        report_age: Some(Duration::ZERO),
        round_trip: None,
    };
    let mut balance = ServiceBalance {
        service: "slotbook".parse().unwrap(),
        share: 0.25,
        home_load: 0.9,
        home_wait: Duration::from_millis(20),
        zones: vec![zone],
    };
    let metrics = NodeMetrics::default();
    metrics.set_zone_balances(std::slice::from_ref(&balance));
    metrics.count_cross_zone_bytes("slotbook", 700);
    let share = r#"currantlift_cross_zone_share{service="slotbook",zone="b"} 0.25"#;
    let text = metrics.encode_text();
    for line in [
        share,
        r#"currantlift_zone_wait_seconds{service="slotbook",zone="own"} 0.02"#,
        r#"currantlift_zone_wait_seconds{service="slotbook",zone="b"} 0.005"#,
        r#"currantlift_cross_zone_body_bytes_total{service="slotbook"} 700"#,
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    balance.zones.clear();
    metrics.set_zone_balances(&[balance]);
    assert!(!metrics.encode_text().contains("cross_zone_share{"));
}
