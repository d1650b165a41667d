//! Serialization of message heads and bodies.

use bytes::{BufMut, Bytes, BytesMut};

use super::body::BodyFraming;
use super::status::FinalStatus;
use crate::link::messages::HeaderField;

/// Last chunk of a chunked body, without trailer fields.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Interim response that tells a client to send the request body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Writes a request line with version HTTP/1.1.
pub fn put_request_line(output: &mut BytesMut, method: &str, target: &str) {
    output.put_slice(method.as_bytes());
    output.put_u8(b' ');
    output.put_slice(target.as_bytes());
    output.put_slice(b" HTTP/1.1\r\n");
}

/// Writes a status line; the reason phrase is empty for unregistered codes.
pub fn put_status_line(output: &mut BytesMut, status: FinalStatus) {
    let reason = ntex::http::StatusCode::from_u16(status.into())
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("");
    output.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Writes one header field.
pub fn put_field(output: &mut BytesMut, name: &str, value: &[u8]) {
    output.put_slice(name.as_bytes());
    output.put_slice(b": ");
    output.put_slice(value);
    output.put_slice(b"\r\n");
}

/// Writes received header fields in their order.
pub fn put_fields<'a>(output: &mut BytesMut, fields: impl IntoIterator<Item = &'a HeaderField>) {
    for field in fields {
        put_field(output, &field.name, &field.value);
    }
}

/// Writes `Content-Length` or `Transfer-Encoding`; nothing if the body ends with
/// the connection.
pub fn put_framing_field(output: &mut BytesMut, framing: BodyFraming) {
    match framing {
        BodyFraming::Length(length) => {
            put_field(output, "content-length", length.to_string().as_bytes());
        }
        BodyFraming::Chunked => put_field(output, "transfer-encoding", b"chunked"),
        BodyFraming::UntilClose => {}
    }
}

/// Writes the empty line that ends a head.
pub fn end_head(output: &mut BytesMut) {
    output.put_slice(b"\r\n");
}

/// Writes part of a body; as one chunk if the body is chunked. Writes nothing for
/// empty data, since an empty chunk would end the body.
pub fn put_body(output: &mut BytesMut, framing: BodyFraming, data: &Bytes) {
    if data.is_empty() {
        return;
    }
    if framing == BodyFraming::Chunked {
        output.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        output.put_slice(data);
        output.put_slice(b"\r\n");
    } else {
        output.put_slice(data);
    }
}
