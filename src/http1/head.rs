//! Parsing of request and response heads, including the body framing.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

use super::body::BodyFraming;
use super::status::FinalStatus;
use crate::link::messages::HeaderField;

/// Most header fields in one head.
const MAX_FIELDS: usize = 96;
/// Status of an interim response that changes the protocol of the connection. No request
/// asks for that.
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;

/// Why a head or the framing of a body is rejected.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// Invalid HTTP/1 syntax, or an ambiguous body length.
    #[display("malformed head")]
    Malformed,
    /// Larger than the limit, or too many fields.
    #[display("head too large")]
    TooLarge,
}

/// Limits on the size of a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Largest accepted head, with its terminating empty line.
    pub max_bytes: usize,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Request method, as received.
    pub method: String,
    /// Request target: path and query, without scheme and authority.
    pub target: String,
    /// Authority from the request line, or else the `Host` field.
    pub host: Option<String>,
    /// Header fields in received order, names in lower case.
    pub fields: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection may be reused for another request.
    pub is_keep_alive: bool,
    /// Whether the message version is HTTP/1.0.
    pub is_http_1_0: bool,
}

/// Result of parsing the head of a response.
#[derive(Debug, PartialEq)]
pub enum ParsedResponse {
    /// An interim (1xx) response; another head follows it.
    Interim,
    /// The final response.
    Final(ResponseHead),
}

/// Head of a final response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: FinalStatus,
    /// Header fields in received order, names in lower case.
    pub fields: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection may be reused for another request.
    pub is_keep_alive: bool,
}

impl RequestHead {
    /// Parses a request head and removes it from the buffer; `None` while it is
    /// incomplete. Empty lines before it are skipped, as RFC 9112 recommends, but
    /// count towards its limit.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than the limit.
    pub fn parse(buffer: &mut BytesMut, limits: HeadLimits) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(buffer);
        let Some(head_length) = checked_head_length(parsed, buffer, limits)? else {
            return Ok(None);
        };
        let method = request.method.ok_or(HeadError::Malformed)?.to_string();
        let (authority, target) = split_target(request.path.ok_or(HeadError::Malformed)?);
        let is_http_1_0 = request.version == Some(0);
        let fields = copy_fields(request.headers);
        let host = match authority {
            Some(authority) => Some(authority),
            None => unique_field_text(&fields, "host")?.map(ToString::to_string),
        };
        let head = Self {
            framing: request_framing(&fields)?,
            is_keep_alive: allows_keep_alive(&fields, is_http_1_0),
            method,
            target,
            host,
            fields,
            is_http_1_0,
        };
        buffer.advance(head_length);
        Ok(Some(head))
    }

    /// Whether the client waits for a `100 Continue` response before sending the body.
    pub fn expects_continue(&self) -> bool {
        let expect = field_text(&self.fields, "expect");
        expect.is_some_and(|text| text.eq_ignore_ascii_case("100-continue"))
    }
}

impl ResponseHead {
    /// Parses the head of a response to a `method` request and removes it from the
    /// buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than the limit.
    pub fn parse(
        buffer: &mut BytesMut,
        limits: HeadLimits,
        method: &str,
    ) -> Result<Option<ParsedResponse>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(buffer);
        let Some(head_length) = checked_head_length(parsed, buffer, limits)? else {
            return Ok(None);
        };
        let code = response.code.ok_or(HeadError::Malformed)?;
        let is_http_1_0 = response.version == Some(0);
        let fields = copy_fields(response.headers);
        if (100..200).contains(&code) {
            check_interim_head(code, &fields)?;
            buffer.advance(head_length);
            return Ok(Some(ParsedResponse::Interim));
        }
        let status = FinalStatus::try_from(u32::from(code)).map_err(|_| HeadError::Malformed)?;
        let framing = response_framing(&fields, status, method, is_http_1_0)?;
        let head = Self {
            status,
            is_keep_alive: allows_keep_alive(&fields, is_http_1_0)
                && framing != BodyFraming::UntilClose,
            fields,
            framing,
        };
        buffer.advance(head_length);
        Ok(Some(ParsedResponse::Final(head)))
    }
}

/// First value of a field; `None` if it is absent or not UTF-8.
pub fn field_text<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|field| field.name == name)?;
    std::str::from_utf8(&field.value).ok()
}

/// Value of a field that may occur at most once.
fn unique_field_text<'a>(
    fields: &'a [HeaderField],
    name: &str,
) -> Result<Option<&'a str>, HeadError> {
    let mut values = fields.iter().filter(|field| field.name == name);
    let (first, second) = (values.next(), values.next());
    match (first, second) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(HeadError::Malformed),
        (Some(field), None) => std::str::from_utf8(&field.value)
            .map(Some)
            .map_err(|_| HeadError::Malformed),
    }
}

fn checked_head_length(
    parsed: httparse::Result<usize>,
    buffer: &BytesMut,
    limits: HeadLimits,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limits.max_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() <= limits.max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

fn copy_fields(headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let copied = headers.iter().map(|header| HeaderField {
        name: header.name.to_ascii_lowercase(),
        value: Bytes::copy_from_slice(header.value),
    });
    copied.collect()
}

/// Splits an absolute-form target (`http://host/path`) into authority and path;
/// other targets are returned unchanged.
fn split_target(target: &str) -> (Option<String>, String) {
    let Some(rest) = target.strip_prefix("http://") else {
        return (None, target.to_string());
    };
    let start = rest.find(['/', '?']).unwrap_or(rest.len());
    let (authority, path) = rest.split_at(start);
    let path = if path.starts_with('/') {
        path.to_string()
    } else {
        format!("/{path}")
    };
    (Some(authority.to_string()), path)
}

fn allows_keep_alive(fields: &[HeaderField], is_http_1_0: bool) -> bool {
    let mut options = fields
        .iter()
        .filter(|field| field.name == "connection")
        .filter_map(|field| std::str::from_utf8(&field.value).ok())
        .flat_map(|value| value.split(','))
        .map(str::trim);
    let has_close = options
        .clone()
        .any(|option| option.eq_ignore_ascii_case("close"));
    let has_keep_alive = options.any(|option| option.eq_ignore_ascii_case("keep-alive"));
    !has_close && (!is_http_1_0 || has_keep_alive)
}

/// Framing of a request body. A head that states two lengths is rejected because
/// the recipient could interpret it differently (request smuggling).
fn request_framing(fields: &[HeaderField]) -> Result<BodyFraming, HeadError> {
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(HeadError::Malformed),
        (true, None) => Ok(BodyFraming::Chunked),
        (false, length) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

/// Rejects an interim response after which the next head can't be found: one with a body, or
/// one that ends the use of HTTP.
fn check_interim_head(code: u16, fields: &[HeaderField]) -> Result<(), HeadError> {
    let has_body = is_chunked(fields)? || content_length(fields)?.is_some_and(|length| length > 0);
    if code == STATUS_SWITCHING_PROTOCOLS || has_body {
        return Err(HeadError::Malformed);
    }
    Ok(())
}

/// Framing of a response body. A head that states a body where there can be none, or two
/// lengths, is rejected: what follows it could be taken for another response.
fn response_framing(
    fields: &[HeaderField],
    status: FinalStatus,
    method: &str,
    is_http_1_0: bool,
) -> Result<BodyFraming, HeadError> {
    let stated = match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => return Err(HeadError::Malformed),
        // HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
        (true, None) if is_http_1_0 => return Err(HeadError::Malformed),
        (true, None) => BodyFraming::Chunked,
        (false, Some(length)) => BodyFraming::Length(length),
        (false, None) => BodyFraming::UntilClose,
    };
    let is_empty = matches!(stated, BodyFraming::Length(0) | BodyFraming::UntilClose);
    if status == FinalStatus::NO_CONTENT && !is_empty {
        return Err(HeadError::Malformed);
    }
    if method == "HEAD" || status.is_bodiless() {
        return Ok(BodyFraming::Length(0));
    }
    Ok(stated)
}

fn is_chunked(fields: &[HeaderField]) -> Result<bool, HeadError> {
    let mut codings = fields
        .iter()
        .filter(|field| field.name == "transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(field), None) if field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(true)
        }
        _ => Err(HeadError::Malformed),
    }
}

/// Value of `Content-Length`; `None` if the field is absent.
///
/// # Errors
///
/// Fails if a value is not a number or if repeated fields differ.
pub fn content_length(fields: &[HeaderField]) -> Result<Option<u64>, HeadError> {
    let mut stated_length = None;
    for field in fields.iter().filter(|field| field.name == "content-length") {
        let length = parse_length(field.value.trim_ascii()).ok_or(HeadError::Malformed)?;
        if stated_length.is_some_and(|stated| stated != length) {
            return Err(HeadError::Malformed);
        }
        stated_length = Some(length);
    }
    Ok(stated_length)
}

fn parse_length(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    is_number
        .then(|| std::str::from_utf8(text).ok()?.parse().ok())
        .flatten()
}
