//! Records as they travel over links.
//!
//! Nodes share no clock, so a record carries the age of its evidence instead of its time.

use std::time::Duration;

use super::record::{CrashBlame, CrashId, CrashRecord};
use super::state::QuarantineState;
use super::{HeadDigest, RequestFingerprint};
use crate::link::messages::{QuarantineRecord, QuarantineUpdate};

/// Reason why a received record is not used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("malformed quarantine record: {reason}")]
pub(super) struct RecordError {
    reason: String,
}

impl RecordError {
    fn new(error: &impl ToString) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// Encodes the records of these requests, with the age of their evidence at `now`.
pub(super) fn encode_records(
    now: Duration,
    state: &QuarantineState,
    fingerprints: &[RequestFingerprint],
) -> QuarantineUpdate {
    let records = fingerprints.iter().filter_map(|fingerprint| {
        let record = state.get(*fingerprint)?;
        let crashes_with = |wanted: CrashBlame| {
            let crashes = record.crashes.iter();
            crashes
                .filter(|(_, blame)| **blame == wanted)
                .map(|(crash, _)| crash.get())
                .collect()
        };
        let age = now.saturating_sub(record.changed_at);
        Some(QuarantineRecord {
            fingerprint: fingerprint.as_bytes().to_vec().into(),
            head: record.head.as_bytes().to_vec().into(),
            epoch: record.epoch,
            shared_crashes: crashes_with(CrashBlame::Shared),
            sole_crashes: crashes_with(CrashBlame::Sole),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            service: record.service.to_string(),
        })
    });
    QuarantineUpdate {
        records: records.collect(),
    }
}

/// Decodes a record; its times are on the clock of `now`.
///
/// # Errors
///
/// Fails if a digest or the service name is malformed.
pub(super) fn decode_record(
    now: Duration,
    wire: &QuarantineRecord,
) -> Result<(RequestFingerprint, CrashRecord), RecordError> {
    let fingerprint = RequestFingerprint::try_from(&wire.fingerprint[..]);
    let head = HeadDigest::try_from(&wire.head[..]);
    let shared = wire
        .shared_crashes
        .iter()
        .map(|id| (id, CrashBlame::Shared));
    let sole = wire.sole_crashes.iter().map(|id| (id, CrashBlame::Sole));
    let record = CrashRecord {
        epoch: wire.epoch,
        crashes: shared
            .chain(sole)
            .map(|(id, blame)| (CrashId::from(*id), blame))
            .collect(),
        head: head.map_err(|error| RecordError::new(&error))?,
        service: wire
            .service
            .parse()
            .map_err(|error| RecordError::new(&error))?,
        changed_at: now.saturating_sub(Duration::from_millis(wire.age_ms)),
    };
    Ok((
        fingerprint.map_err(|error| RecordError::new(&error))?,
        record,
    ))
}
