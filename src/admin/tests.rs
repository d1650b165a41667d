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

/// Control that answers from a script and keeps what it was asked.
async fn answer_calls(
    mut calls: mpsc::Receiver<AdminCall>,
    asked: mpsc::UnboundedSender<AdminRequest>,
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
            // Dropping the call without a reply stands for control going away.
            AdminRequest::SubmitTicket { .. } | AdminRequest::ListMembers => continue,
            AdminRequest::CheckTicket { .. } => AdminReply::InvalidInput(FieldError {
                field: "services.x".to_string(),
                reason: "wrong".to_string(),
            }),
            AdminRequest::ShowTicket { .. } => AdminReply::NotFound,
            AdminRequest::CheckHealth => AdminReply::Health(HealthView::Stopping),
            _ => AdminReply::Done,
        };
        asked.send(call.request).unwrap();
        call.reply.send(reply).unwrap();
    }
}

async fn start(token: Option<&str>) -> (AdminClient, mpsc::UnboundedReceiver<AdminRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let (control, calls) = mpsc::channel(8);
    let (sender, asked) = mpsc::unbounded_channel();
    ntex::rt::spawn(answer_calls(calls, sender));
    let access = AdminApiState {
        announcement_decoder: crate::admin::DEFAULT_ANNOUNCEMENT_DECODER,
        control,
        token: Some(TOKEN.parse::<SecretToken>().unwrap()),
    };
    start_admin_server(listener, access).unwrap();
    let token = token.map(|token| token.parse().unwrap());
    let client = AdminClient::connect(base.parse().unwrap(), token)
        .await
        .unwrap();
    (client, asked)
}

async fn send(client: &AdminClient, method: Method, path: &str, body: &str) -> AdminResponse {
    let body = Some(body.to_string()).filter(|body| !body.is_empty());
    client.request(method, path, body).await.unwrap()
}

#[ntex::test]
async fn an_announcement_reaches_control_checked() {
    let (client, mut asked) = start(Some(TOKEN)).await;
    let answer = send(&client, Method::PUT, "/v1/backends/b1", ANNOUNCEMENT).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let AdminRequest::AnnounceBackend { announcement, .. } = asked.recv().await.unwrap() else {
        panic!("expected an announcement");
    };
    assert_eq!(announcement.slots.get(), 6);
}

#[ntex::test]
async fn bad_input_names_the_field_and_never_reaches_control() {
    let (client, mut asked) = start(Some(TOKEN)).await;
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
        let answer = send(&client, Method::PUT, path, &body).await;
        assert_eq!(answer.status, 400, "{path} {body}");
        let error: FieldError = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(error.field, field, "{path} {body}");
    }
    assert!(asked.try_recv().is_err());
}

#[ntex::test]
async fn a_body_over_1_mb_is_refused() {
    let (client, _asked) = start(Some(TOKEN)).await;
    let body = " ".repeat(1024 * 1024 + 1);
    let answer = send(&client, Method::PUT, "/v1/tickets/2", &body).await;
    assert_eq!(answer.status, 413);
}

#[ntex::test]
async fn changing_calls_need_the_token_and_reads_do_not() {
    for token in [None, Some("wrong-token")] {
        let (client, mut asked) = start(token).await;
        for (method, path) in [
            (Method::PUT, "/v1/backends/b1"),
            (Method::DELETE, "/v1/backends/b1"),
            (Method::PUT, "/v1/tickets/2"),
        ] {
            let answer = send(&client, method, path, ANNOUNCEMENT).await;
            assert_eq!(answer.status, 401, "{path}");
        }
        assert!(asked.try_recv().is_err());
        let answer = send(&client, Method::GET, "/v1/status", "").await;
        assert_eq!(answer.status, 200);
    }
}

#[ntex::test]
async fn replies_have_their_statuses() {
    let (client, _asked) = start(Some(TOKEN)).await;
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
        let answer = send(&client, method, path, body).await;
        assert_eq!(answer.status, status, "{path}: {}", answer.body);
    }
}

#[ntex::test]
async fn a_submission_without_reply_is_unknown_not_refused() {
    let (client, _asked) = start(Some(TOKEN)).await;
    let answer = send(&client, Method::PUT, "/v1/tickets/2", "{}").await;
    assert_eq!(answer.status, 504);
    assert!(
        answer.body.contains(r#""result":"unknown""#),
        "{}",
        answer.body
    );
}
