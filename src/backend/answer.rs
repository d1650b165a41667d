//! A backend server's answer, read piece by piece.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::connection::{BackendConnection, Upload};
use super::{BackendClient, BackendError, BackendLoad};
use crate::fields::end_to_end_fields;
use crate::http1::head::field_text;
use crate::http1::{BodyDecoder, BodyFraming, ResponseHead};
use crate::link::messages::HeaderField;

/// Answer whose head has been read.
pub struct BackendAnswer {
    client: Rc<BackendClient>,
    connection: Option<BackendConnection>,
    upload: Upload,
    decoder: BodyDecoder,
    status: u16,
    fields: Vec<HeaderField>,
    load: Option<BackendLoad>,
    body_length: Option<u64>,
    keep_alive: Option<Duration>,
    is_kept: bool,
}

impl BackendAnswer {
    pub(super) fn new(
        client: Rc<BackendClient>,
        connection: BackendConnection,
        upload: Upload,
        head: ResponseHead,
    ) -> Self {
        let load = client.load_of(&head);
        let stated = crate::http1::head::content_length(&head.fields)
            .ok()
            .flatten();
        let body_length = match head.framing {
            BodyFraming::Length(0) => stated.or(Some(0)),
            framing => framing.length(),
        };
        Self {
            client,
            connection: Some(connection),
            upload,
            decoder: BodyDecoder::new(head.framing),
            status: head.status,
            keep_alive: keep_alive_timeout(&head.fields),
            is_kept: head.is_keep_alive,
            fields: end_to_end_fields(head.fields),
            load,
            body_length,
        }
    }

    /// Status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Takes the fields that travel on.
    pub fn take_fields(&mut self) -> Vec<HeaderField> {
        std::mem::take(&mut self.fields)
    }

    /// Load that the backend server stated.
    pub fn load(&self) -> Option<BackendLoad> {
        self.load
    }

    /// Length of the body as the head states it, also where none follows.
    pub fn body_length(&self) -> Option<u64> {
        self.body_length
    }

    /// Whether the body has been read to its end.
    pub fn is_ended(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut short or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BackendError> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let piece = connection
            .read_piece(&mut self.upload, &mut self.decoder)
            .await?;
        if self.decoder.is_complete() {
            self.release();
        }
        Ok(piece)
    }

    /// Gives the connection back, if it can carry another exchange.
    pub fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let is_clean = self.upload.is_whole() && !connection.has_rest();
        if self.is_kept && is_clean {
            self.client.put_idle(connection, self.keep_alive);
        }
    }
}

/// Idle time that the backend server allows.
pub(super) fn keep_alive_timeout(fields: &[HeaderField]) -> Option<Duration> {
    let text = field_text(fields, "keep-alive")?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
