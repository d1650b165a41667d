use assert_matches::assert_matches;
use bytes::BytesMut;

use super::body::{BodyDecoder, BodyEvent, BodyFraming};
use super::head::{HeadError, HeadLimits, ParsedResponse, RequestHead, ResponseHead, field_text};

const LIMITS: HeadLimits = HeadLimits { max_bytes: 1_024 };

fn parse_request(text: &str) -> Result<Option<RequestHead>, HeadError> {
    RequestHead::parse(&mut BytesMut::from(text), LIMITS)
}

fn parse_response(text: &str) -> Result<Option<ResponseHead>, HeadError> {
    parse_response_to("GET", text)
}

/// Head of a final response to a `method` request; `None` if it is interim or incomplete.
fn parse_response_to(method: &str, text: &str) -> Result<Option<ResponseHead>, HeadError> {
    let parsed = ResponseHead::parse(&mut BytesMut::from(text), LIMITS, method)?;
    Ok(match parsed {
        Some(ParsedResponse::Final(head)) => Some(head),
        Some(ParsedResponse::Interim) | None => None,
    })
}

/// Decodes a body from text that arrives byte by byte; `None` if it is incomplete.
fn decode(framing: BodyFraming, text: &str) -> Result<Option<String>, HeadError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for byte in text.bytes() {
        buffer.extend_from_slice(&[byte]);
        while let BodyEvent::Data(data) = decoder.next_event(&mut buffer)? {
            body.extend_from_slice(&data);
        }
    }
    Ok(decoder
        .is_complete()
        .then(|| String::from_utf8_lossy(&body).into_owned()))
}

#[test]
fn head_is_parsed_once_complete() {
    let text = "GET /a?b HTTP/1.1\r\nHost: shop\r\nX-A: 1\r\n\r\nrest";
    for length in 0..text.len() - 4 {
        let mut buffer = BytesMut::from(&text[..length]);
        assert_matches!(RequestHead::parse(&mut buffer, LIMITS), Ok(None));
    }
    let mut buffer = BytesMut::from(text);
    let head = RequestHead::parse(&mut buffer, LIMITS).unwrap().unwrap();
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("GET", "/a?b")
    );
    assert_eq!(head.host.as_deref(), Some("shop"));
    assert_eq!(field_text(&head.fields, "x-a"), Some("1"));
    assert!(head.is_keep_alive && !head.is_http_1_0);
    assert_eq!(&buffer[..], b"rest");
}

#[test]
fn absolute_form_target_is_split() {
    let head = parse_request("GET http://shop:80/a/b?c HTTP/1.1\r\nhost: other\r\n\r\n");
    let head = head.unwrap().unwrap();
    assert_eq!(head.host.as_deref(), Some("shop:80"));
    assert_eq!(head.target, "/a/b?c");
}

#[test]
fn ambiguous_or_oversized_heads_are_rejected() {
    let cases = [
        "content-length: 5\r\ncontent-length: 6",
        "content-length: 5\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "transfer-encoding: gzip, chunked",
        "content-length: +5",
        "content-length: 5, 5",
        "host: a\r\nhost: b",
        "content-length : 5",
    ];
    for case in cases {
        let found = parse_request(&format!("POST / HTTP/1.1\r\n{case}\r\n\r\n"));
        assert_eq!(found, Err(HeadError::Malformed), "{case}");
    }
    let large = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(1_024));
    assert_eq!(parse_request(&large), Err(HeadError::TooLarge));
}

/// Guards against callers that occupy a connection with empty lines and never send a request.
#[test]
fn blank_lines_count_towards_the_head_behind_them() {
    let request = "GET / HTTP/1.1\r\nhost: shop\r\n\r\n";
    let mut buffer = BytesMut::from(&format!("\r\n\r\n{request}rest")[..]);
    let head = RequestHead::parse(&mut buffer, LIMITS).unwrap();
    assert_eq!(head.map(|head| head.target).as_deref(), Some("/"));
    assert_eq!(&buffer[..], b"rest");
    let lines = "\r\n".repeat(LIMITS.max_bytes / 2);
    let mut buffer = BytesMut::from(&lines[..]);
    assert_eq!(RequestHead::parse(&mut buffer, LIMITS), Ok(None));
    assert_eq!(buffer.len(), LIMITS.max_bytes);
    for rest in ["\r", request] {
        let found = parse_request(&format!("{lines}{rest}"));
        assert_eq!(found, Err(HeadError::TooLarge), "{rest}");
    }
}

#[test]
fn response_framing_depends_on_method_and_status() {
    let framing = |text: &str| parse_response(text).unwrap().unwrap().framing;
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), BodyFraming::UntilClose);
    assert_eq!(
        framing("HTTP/1.1 204 No Content\r\n\r\n"),
        BodyFraming::Length(0)
    );
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"),
        BodyFraming::Length(7)
    );
    let head = parse_response_to("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
    assert_eq!(head.unwrap().unwrap().framing, BodyFraming::Length(0));
    assert_eq!(parse_response("garbage\r\n\r\n"), Err(HeadError::Malformed));
}

/// Guards against a head whose end, or that of its body, callers would read otherwise.
#[test]
fn response_heads_without_a_definite_end_are_rejected() {
    let cases = [
        "1.1 000 OK\r\nContent-Length: 7",
        "1.1 099 OK",
        "1.1 600 OK\r\nContent-Length: 7",
        "1.1 20 OK",
        "1.1 2000 OK",
        "1.1 200 O\u{1}K\r\nContent-Length: 7",
        "1.1 200 OK\r\nA\u{0}: b\r\nContent-Length: 7",
        "1.1 200 OK\r\na: b\u{7}\r\nContent-Length: 7",
        "1.1 200 OK\r\na b: c\r\nContent-Length: 7",
        "1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 8",
        "1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked",
        "1.1 200 OK\r\nContent-Length: 99999999999999999999",
        "1.1 200 OK\r\nContent-Length: -1",
        "1.0 200 OK\r\nTransfer-Encoding: chunked",
        "1.1 204 No Content\r\nContent-Length: 7",
        "1.1 204 No Content\r\nTransfer-Encoding: chunked",
        "1.1 304 Not Modified\r\nContent-Length: 7\r\nContent-Length: 8",
        "1.1 101 Switching Protocols",
        "1.1 100 Continue\r\nContent-Length: 7",
        "1.1 103 Early Hints\r\nTransfer-Encoding: chunked",
    ];
    for case in cases {
        for method in ["GET", "HEAD"] {
            let found = parse_response_to(method, &format!("HTTP/{case}\r\n\r\n"));
            assert_eq!(found, Err(HeadError::Malformed), "{method}: {case}");
        }
    }
    for case in ["100 Continue", "103 Early Hints\r\nContent-Length: 0"] {
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {case}\r\n\r\n").as_str());
        let found = ResponseHead::parse(&mut buffer, LIMITS, "GET");
        assert_eq!(found, Ok(Some(ParsedResponse::Interim)), "{case}");
        assert!(buffer.is_empty());
    }
}

#[test]
fn keep_alive_depends_on_version_and_connection_field() {
    let keeps_alive = |text: &str| parse_request(text).unwrap().unwrap().is_keep_alive;
    assert!(keeps_alive("GET / HTTP/1.1\r\n\r\n"));
    assert!(!keeps_alive(
        "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n"
    ));
    assert!(!keeps_alive("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps_alive(
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    ));
}

#[test]
fn chunks_with_extensions_and_trailers_are_decoded() {
    let text = "4;name=\"value\"\r\nwood\r\n3\r\nlot\r\n0;last\r\nTrailer: 1\r\n\r\n";
    let body = decode(BodyFraming::Chunked, text).unwrap();
    assert_eq!(body.as_deref(), Some("woodlot"));
}

#[test]
fn malformed_chunks_are_rejected() {
    for text in ["zz\r\n", "4\r\nwoodlot\r\n", "-1\r\n"] {
        assert_eq!(
            decode(BodyFraming::Chunked, text),
            Err(HeadError::Malformed),
            "{text:?}"
        );
    }
}

#[test]
fn body_ends_at_its_content_length() {
    let mut decoder = BodyDecoder::new(BodyFraming::Length(4));
    let mut buffer = BytesMut::from("woodGET /");
    assert_matches!(decoder.next_event(&mut buffer), Ok(BodyEvent::Data(data)) if data == "wood");
    assert_matches!(decoder.next_event(&mut buffer), Ok(BodyEvent::End));
    assert_eq!(&buffer[..], b"GET /");
}

#[test]
fn eof_completes_only_a_close_delimited_body() {
    let mut decoder = BodyDecoder::new(BodyFraming::UntilClose);
    assert!(decoder.handle_eof().is_ok() && decoder.is_complete());
    for framing in [BodyFraming::Length(1), BodyFraming::Chunked] {
        assert_eq!(
            BodyDecoder::new(framing).handle_eof(),
            Err(HeadError::Malformed)
        );
    }
}
