//! Tests against a backend server that answers as a script says.

use std::cell::RefCell;
use std::net::SocketAddr;

use assert_matches::assert_matches;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::fields::OWN_DIALECT;

/// Dialect in which answers are told apart.
static STRICT_DIALECT: CallDialect = CallDialect {
    request_id: Some("x-id"),
    signature: Some("x-signed"),
    not_executed: Some("x-not-run"),
    expected_backend: Some("x-expect"),
    ..OWN_DIALECT
};

const GOOD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: s\r\ncontent-length: 4\r\n\r\nwood";
const OTHER: &str = "HTTP/1.1 200 OK\r\nx-id: r0\r\nx-signed: s\r\ncontent-length: 5\r\n\r\nother";

/// End of a scripted answer after which the connection is closed.
const CLOSE: &str = "\0close";

/// What a connection does when a request has come in; `None` closes it.
type ConnectionScript = Vec<Option<String>>;

struct Fixture {
    client: Rc<BackendClient>,
    requests: Rc<RefCell<Vec<String>>>,
}

/// Backend server whose connections follow a script each.
async fn start(scripts: Vec<ConnectionScript>) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let seen = Rc::clone(&requests);
    ntex::rt::spawn(async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            let seen = Rc::clone(&seen);
            ntex::rt::spawn(async move {
                for answer in script {
                    let mut buffer = vec![0; 16 * 1024];
                    let length = stream.read(&mut buffer).await.unwrap_or(0);
                    let text = String::from_utf8_lossy(&buffer[..length]);
                    seen.borrow_mut().push(text.into_owned());
                    let Some(answer) = answer else { return };
                    let bytes = answer.trim_end_matches(CLOSE).as_bytes();
                    stream.write_all(bytes).await.unwrap();
                    if answer.ends_with(CLOSE) {
                        return;
                    }
                }
                // Kept open until the client has gone.
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    });
    let target = BackendTarget {
        id: "b1".parse().unwrap(),
        service: "slotbook".parse().unwrap(),
        address,
        slots: "6".parse().unwrap(),
        connections: "6".parse().unwrap(),
        health_path: None,
    };
    Fixture {
        client: Rc::new(BackendClient::new(target, &STRICT_DIALECT)),
        requests,
    }
}

fn script(answers: &[&str]) -> ConnectionScript {
    answers
        .iter()
        .map(|text| Some((*text).to_string()))
        .collect()
}

impl Fixture {
    async fn send(&self, is_idempotent: bool) -> Result<(u16, Bytes), BackendError> {
        let open = CallOpen {
            method: "GET".to_string(),
            path: "/slots".to_string(),
            request_id: "r1".to_string(),
            is_idempotent,
            is_body_complete: true,
            ..CallOpen::default()
        };
        let (_, chunks) = unbounded_channel();
        let source = BodySource {
            chunks,
            on_consumed: Box::new(|_| {}),
        };
        let call = CallId {
            ingress: 1,
            sequence: 1,
        };
        let mut answer = self.client.send(call, &open, 500, source).await?;
        let mut body = BytesMut::new();
        while let Some(data) = answer.next().await? {
            body.extend_from_slice(&data);
        }
        Ok((answer.status(), body.freeze()))
    }

    fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

fn whole() -> Result<(u16, Bytes), BackendError> {
    Ok((200, Bytes::from("wood")))
}

#[ntex::test]
async fn an_answer_to_another_request_is_passed_over() {
    let fixture = start(vec![script(&[&format!("{OTHER}{GOOD}")])]).await;
    assert_eq!(fixture.send(false).await, whole());
    let request = fixture.requests.borrow()[0].clone();
    assert!(request.contains("x-expect: b1\r\n"), "{request}");
}

#[ntex::test]
async fn a_connection_with_bytes_nobody_asked_for_is_not_used_again() {
    let with_extra = format!("{GOOD}{OTHER}");
    let fixture = start(vec![script(&[&with_extra, GOOD]), script(&[GOOD])]).await;
    assert_eq!(fixture.send(false).await, whole());
    // The extra answer is on the first connection; the second request takes another.
    assert_eq!(fixture.send(false).await, whole());
    assert!(fixture.client.idle.borrow().len() == 1);
}

#[ntex::test]
async fn an_idempotent_request_goes_out_again_when_its_reused_connection_is_closed() {
    let mut first = script(&[GOOD]);
    first.push(None);
    let fixture = start(vec![first, script(&[GOOD])]).await;
    assert_eq!(fixture.send(true).await, whole());
    assert_eq!(fixture.send(true).await, whole());
    assert_eq!(fixture.count(), 3);
}

#[ntex::test]
async fn any_other_request_is_never_sent_twice() {
    let mut first = script(&[GOOD]);
    first.push(None);
    let fixture = start(vec![first, script(&[GOOD])]).await;
    assert_eq!(fixture.send(false).await, whole());
    assert_matches!(fixture.send(false).await, Err(BackendError::Failed { .. }));
    assert_eq!(fixture.count(), 2);
}

#[ntex::test]
async fn a_refusal_by_the_backend_server_says_that_nothing_ran() {
    let shed = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let misdirected = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    let fixture = start(vec![script(&[shed]), script(&[misdirected])]).await;
    let refused = fixture.send(false).await;
    assert_eq!(refused, Err(BackendError::Refused { status: 503 }));
    let unreachable = fixture.send(false).await;
    assert_matches!(unreachable, Err(BackendError::Unreachable { .. }));
}

#[ntex::test]
async fn what_is_no_whole_signed_answer_is_a_failure() {
    let unsigned = GOOD.replace("x-signed: s\r\n", "");
    let cut = GOOD.replace("content-length: 4", "content-length: 9") + CLOSE;
    let garbage = "no answer at all\r\n\r\n".to_string();
    for text in [unsigned, cut, garbage] {
        let fixture = start(vec![script(&[&text])]).await;
        let result = fixture.send(false).await;
        assert_matches!(result, Err(BackendError::Failed { .. }), "{text}");
    }
}

#[ntex::test]
async fn an_answer_without_length_ends_with_its_connection() {
    let endless = GOOD.replace("content-length: 4\r\n", "");
    let fixture = start(vec![
        script(&[&endless]),
        script(&[&(endless.clone() + CLOSE)]),
    ])
    .await;
    let sent = tokio::time::timeout(Duration::from_millis(100), fixture.send(false)).await;
    assert!(sent.is_err(), "whole before its connection ended");
    assert_eq!(fixture.send(false).await, whole());
}
