use std::net::TcpListener;

use ntex::http::Method;
use tokio::sync::mpsc;

use super::{
    AdminApiState, AdminCall, AdminClient, AdminReply, AdminRequest, AdminResponse, FieldError,
    HealthView, RefusalReason, TicketOutcome, start_admin_server,
};
use crate::options::SecretToken;

const TOKEN: &str = "s3cret-token";
const ANNOUNCEMENT: &str = r#"{"service":"slotbook","address":"127.0.0.1:8000","slots":6,
    "connections":260,"state":"ready"}"#;

/// Stands in for control: sends fixed replies and forwards the received requests.
async fn serve_scripted_replies(
    mut calls: mpsc::Receiver<AdminCall>,
    received_requests: mpsc::UnboundedSender<AdminRequest>,
) {
    while let Some(call) = calls.recv().await {
        let reply = match &call.request {
            AdminRequest::SubmitTicket { number, .. } if number.get() == 1 => {
                AdminReply::Ticket(TicketOutcome::Refused {
                    number: *number,
                    reason: RefusalReason::OutOfDate,
                    services: std::collections::BTreeSet::default(),
                })
            }
            // Dropping the call without a reply simulates a stopped control thread.
            AdminRequest::SubmitTicket { .. } | AdminRequest::ListMembers => continue,
            AdminRequest::CheckTicket { .. } => AdminReply::InvalidInput(FieldError {
                field: "services.x".to_string(),
                reason: "wrong".to_string(),
            }),
            AdminRequest::ShowTicket { .. } => AdminReply::NotFound,
            AdminRequest::CheckHealth => AdminReply::Health(HealthView::Stopping),
            _ => AdminReply::Done,
        };
        received_requests.send(call.request).unwrap();
        call.reply.send(reply).unwrap();
    }
}

async fn start_api(token: Option<&str>) -> (AdminClient, mpsc::UnboundedReceiver<AdminRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let (control, calls) = mpsc::channel(8);
    let (sender, received_requests) = mpsc::unbounded_channel();
    ntex::rt::spawn(serve_scripted_replies(calls, sender));
    let access = AdminApiState {
        announcement_decoder: crate::admin::DEFAULT_ANNOUNCEMENT_DECODER,
        control,
        token: Some(TOKEN.parse::<SecretToken>().unwrap()),
    };
    start_admin_server(listener, access, 16).unwrap();
    let token = token.map(|token| token.parse().unwrap());
    let client = AdminClient::connect(base_url.parse().unwrap(), token)
        .await
        .unwrap();
    (client, received_requests)
}

async fn send_request(
    client: &AdminClient,
    method: Method,
    path: &str,
    body: &str,
) -> AdminResponse {
    let body = Some(body.to_string()).filter(|body| !body.is_empty());
    client.request(method, path, body).await.unwrap()
}

#[ntex::test]
async fn valid_announcement_is_parsed_and_sent_to_control() {
    let (client, mut received_requests) = start_api(Some(TOKEN)).await;
    let response = send_request(&client, Method::PUT, "/v1/backends/b1", ANNOUNCEMENT).await;
    assert_eq!(response.status, 200, "{}", response.body);
    let AdminRequest::AnnounceBackend { announcement, .. } =
        received_requests.recv().await.unwrap()
    else {
        panic!("expected an announcement");
    };
    assert_eq!(announcement.slots.get(), 6);
}

#[ntex::test]
async fn invalid_input_names_the_field_and_is_not_sent_to_control() {
    let (client, mut received_requests) = start_api(Some(TOKEN)).await;
    let cases = [
        ("/v1/backends/b%20", ANNOUNCEMENT.to_string(), "id"),
        ("/v1/backends/b1", "nonsense".to_string(), "body"),
        ("/v1/backends/b1", "{}".to_string(), "service"),
        (
            "/v1/backends/b1",
            ANNOUNCEMENT.replace("8000", "0"),
            "address",
        ),
        ("/v1/backends/b1", ANNOUNCEMENT.replace(":6", ":0"), "slots"),
        (
            "/v1/backends/b1",
            ANNOUNCEMENT.replace("260", "-1"),
            "connections",
        ),
        (
            "/v1/backends/b1",
            ANNOUNCEMENT.replace("ready", "gone"),
            "state",
        ),
        (
            "/v1/backends/b1",
            ANNOUNCEMENT.replace("}", ",\"x\":1}"),
            "x",
        ),
        ("/v1/tickets/0", "{}".to_string(), "number"),
        ("/v1/tickets/2?check=maybe", "{}".to_string(), "check"),
    ];
    for (path, body, field) in cases {
        let response = send_request(&client, Method::PUT, path, &body).await;
        assert_eq!(response.status, 400, "{path} {body}");
        let error: FieldError = serde_json::from_str(&response.body).unwrap();
        assert_eq!(error.field, field, "{path} {body}");
    }
    assert!(received_requests.try_recv().is_err());
}

#[ntex::test]
async fn body_over_1_mib_is_rejected() {
    let (client, _received_requests) = start_api(Some(TOKEN)).await;
    let body = " ".repeat(1024 * 1024 + 1);
    let response = send_request(&client, Method::PUT, "/v1/tickets/2", &body).await;
    assert_eq!(response.status, 413);
}

#[ntex::test]
async fn write_requests_require_the_token_and_reads_do_not() {
    for token in [None, Some("wrong-token")] {
        let (client, mut received_requests) = start_api(token).await;
        for (method, path) in [
            (Method::PUT, "/v1/backends/b1"),
            (Method::DELETE, "/v1/backends/b1"),
            (Method::PUT, "/v1/tickets/2"),
        ] {
            let response = send_request(&client, method, path, ANNOUNCEMENT).await;
            assert_eq!(response.status, 401, "{path}");
        }
        assert!(received_requests.try_recv().is_err());
        let response = send_request(&client, Method::GET, "/v1/status", "").await;
        assert_eq!(response.status, 200);
    }
}

#[ntex::test]
async fn replies_map_to_http_statuses() {
    let (client, _received_requests) = start_api(Some(TOKEN)).await;
    let cases = [
        (Method::GET, "/v1/nothing", 404),
        (Method::GET, "/v1/tickets/9", 404),
        (Method::GET, "/v1/health", 503),
        (Method::PUT, "/v1/tickets/1", 409),
        (Method::PUT, "/v1/tickets/1?check=true", 400),
        (Method::GET, "/v1/members", 504),
        (Method::DELETE, "/v1/services", 405),
    ];
    for (method, path, status) in cases {
        let body = if method == Method::PUT { "{}" } else { "" };
        let response = send_request(&client, method, path, body).await;
        assert_eq!(response.status, status, "{path}: {}", response.body);
    }
}

#[ntex::test]
async fn submission_without_reply_is_unknown_not_refused() {
    let (client, _received_requests) = start_api(Some(TOKEN)).await;
    let response = send_request(&client, Method::PUT, "/v1/tickets/2", "{}").await;
    assert_eq!(response.status, 504);
    assert!(
        response.body.contains(r#""result":"unknown""#),
        "{}",
        response.body
    );
}
