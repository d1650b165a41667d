//! Response of a backend server, read chunk by chunk.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::connection::{BackendConnection, RequestUpload};
use super::{BackendClient, BackendError, BackendLoad};
use crate::fields::end_to_end_fields;
use crate::http1::head::field_text;
use crate::http1::{BodyDecoder, BodyFraming, FinalStatus, ResponseHead};
use crate::link::messages::HeaderField;

/// Response whose head has been read.
pub struct BackendResponse {
    client: Rc<BackendClient>,
    connection: Option<BackendConnection>,
    upload: RequestUpload,
    decoder: BodyDecoder,
    status: FinalStatus,
    fields: Vec<HeaderField>,
    load: Option<BackendLoad>,
    body_length: Option<u64>,
    keep_alive_timeout: Option<Duration>,
    /// Whether the head allows to reuse the connection after the exchange.
    is_reusable: bool,
}

impl BackendResponse {
    pub(super) fn new(
        client: Rc<BackendClient>,
        connection: BackendConnection,
        upload: RequestUpload,
        head: ResponseHead,
    ) -> Self {
        let load = client.load_from_head(&head);
        let stated_length = crate::http1::head::content_length(&head.fields)
            .ok()
            .flatten();
        let body_length = match head.framing {
            BodyFraming::Length(0) => stated_length.or(Some(0)),
            framing => framing.length(),
        };
        Self {
            client,
            connection: Some(connection),
            upload,
            decoder: BodyDecoder::new(head.framing),
            status: head.status,
            keep_alive_timeout: keep_alive_timeout(&head.fields),
            is_reusable: head.is_keep_alive,
            fields: end_to_end_fields(head.fields),
            load,
            body_length,
        }
    }

    /// HTTP status code.
    pub fn status(&self) -> FinalStatus {
        self.status
    }

    /// Takes the header fields to pass on to the caller.
    pub fn take_fields(&mut self) -> Vec<HeaderField> {
        std::mem::take(&mut self.fields)
    }

    /// Load that the backend server stated; `None` if it stated none.
    pub fn load(&self) -> Option<BackendLoad> {
        self.load
    }

    /// Length of the body as the head states it, also if no body follows.
    pub fn body_length(&self) -> Option<u64> {
        self.body_length
    }

    /// Whether the body has been read to its end.
    pub fn is_ended(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, BackendError> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let chunk = connection
            .read_body_chunk(&mut self.upload, &mut self.decoder)
            .await?;
        if self.decoder.is_complete() {
            self.release_connection();
        }
        Ok(chunk)
    }

    /// Returns the connection to the pool if it can carry another exchange.
    pub fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let is_exchange_complete = self.upload.is_complete() && !connection.has_excess_bytes();
        if self.is_reusable && is_exchange_complete {
            self.client
                .return_connection(connection, self.keep_alive_timeout);
        }
    }
}

/// Time that the backend server states in its `Retry-After` field, in seconds; a date
/// is not read.
pub(super) fn retry_after(fields: &[HeaderField]) -> Option<Duration> {
    let seconds = field_text(fields, "retry-after")?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Idle timeout that the backend server states in its `Keep-Alive` field.
pub(super) fn keep_alive_timeout(fields: &[HeaderField]) -> Option<Duration> {
    let text = field_text(fields, "keep-alive")?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
