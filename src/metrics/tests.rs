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
    let _server = start_metrics_server(listener, Arc::new(recorded_metrics())).unwrap();
    let client = Client::new().await;
    let response = client.get(url).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let body = response.body().await.unwrap();
    assert!(body.ends_with(b"# EOF\n"));
}
