//! What is read from a backend server and written to a caller is the same response.

use bytes::BytesMut;
use proptest::prelude::*;

use super::*;
use crate::fields::{DEFAULT_DIALECT, end_to_end_fields};
use crate::http1::{HeadLimits, ParsedResponse, ResponseHead};

const LIMITS: HeadLimits = HeadLimits {
    max_bytes: 16 * 1024,
};
const OPTIONS: ResponseOptions = ResponseOptions {
    is_for_head: false,
    is_http10: false,
    closes_connection: false,
};
/// Heads that the fuzzed ones are made from.
const SEED_HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 600\r\nX-Signed: 3e1b.07\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close, x-a\r\nX-A: 1\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nServer-Load: 3,0,8\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Empty:\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
];

fn parse_final(text: &[u8]) -> Option<ResponseHead> {
    match ResponseHead::parse(&mut BytesMut::from(text), LIMITS, "GET") {
        Ok(Some(ParsedResponse::Final(head))) => Some(head),
        _ => None,
    }
}

/// Writes the head as a node that got it over a link does.
fn relay(head: ResponseHead) -> Result<Vec<u8>, InvalidStatus> {
    let start = ResponseStart {
        status: head.status.into(),
        body_length: head.framing.length(),
        headers: end_to_end_fields(head.fields),
        ..ResponseStart::default()
    };
    let (_sender, remaining_body) = crate::body_channel::bounded(1);
    let response = CallResponse {
        call_id: CallId {
            ingress_incarnation: 1,
            sequence: 1,
        },
        upstream: "node-1".parse().unwrap(),
        head: CallHead::try_from(start)?,
        remaining_body: Some(remaining_body),
    };
    let mut output = BytesMut::new();
    put_response_head(&mut output, &DEFAULT_DIALECT, &response, OPTIONS);
    Ok(output.to_vec())
}

/// Checks a head against the grammar of RFC 9112, without the parser of this project.
fn assert_well_formed(head: &[u8]) {
    let text: String = head.iter().map(|byte| char::from(*byte)).collect();
    let lines = text
        .strip_suffix("\r\n\r\n")
        .expect("ends with an empty line");
    let mut lines = lines.split("\r\n");
    let status_line = lines.next().unwrap();
    let code = status_line.strip_prefix("HTTP/1.1 ").unwrap().as_bytes();
    assert!(code[..3].iter().all(u8::is_ascii_digit), "{status_line:?}");
    assert!(
        (b'2'..=b'5').contains(&code[0]) && code[3] == b' ',
        "{status_line:?}"
    );
    for line in lines {
        let (name, value) = line.split_once(':').expect("field line");
        let is_name = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        assert!(!name.is_empty() && name.chars().all(is_name), "{line:?}");
        assert!(
            value
                .chars()
                .all(|c| c == '\t' || !c.is_control() || c > '\u{7f}'),
            "{line:?}"
        );
    }
}

/// Guards against a status that a node of another build sends and that can't be written.
#[test]
fn status_of_another_node_is_checked() {
    for status in [0, 20, 99, 101, 199, 600, 999, 65_736] {
        let start = ResponseStart {
            status,
            ..ResponseStart::default()
        };
        assert!(CallHead::try_from(start).is_err(), "{status}");
    }
}

proptest! {
    /// Guards against heads that are read but can't be written as they were meant.
    #[test]
    fn head_that_was_read_is_written_as_valid_http(
        seed in 0..SEED_HEADS.len(),
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..4),
    ) {
        let mut text = SEED_HEADS[seed].as_bytes().to_vec();
        for (index, byte, edit) in edits {
            let index = index.index(text.len());
            match edit {
                0 => text[index] = byte,
                1 => text.insert(index, byte),
                _ => drop(text.remove(index)),
            }
        }
        if let Some(head) = parse_final(&text) {
            let (status, framing) = (head.status, head.framing);
            let written = relay(head).unwrap();
            assert_well_formed(&written);
            let read_again = parse_final(&written).expect("readable");
            prop_assert_eq!(read_again.status, status);
            if framing == BodyFraming::UntilClose {
                prop_assert_eq!(read_again.framing, BodyFraming::Chunked);
            } else {
                prop_assert_eq!(read_again.framing, framing);
            }
        }
    }
}
