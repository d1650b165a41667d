//! Tests of what attempts get of a request body.

use super::*;
use crate::body_channel::bounded;

/// Longer than the replay buffer.
const LONG_BODY_CHUNKS: usize = 5;
const CHUNK_BYTES: usize = 20_000;
const LIMIT_BYTES: u64 = 1_000_000;

/// Body of unstated length whose chunks and end have arrived.
async fn body_of(chunk_count: usize) -> RequestBody {
    let (sender, receiver) = bounded(chunk_count + 1);
    for index in 0..chunk_count {
        let chunk = Bytes::from(vec![index as u8; CHUNK_BYTES]);
        sender.send(chunk).await.unwrap();
    }
    sender.finish();
    RequestBody::read_body_start(Some(receiver), None, LIMIT_BYTES)
        .await
        .unwrap()
}

/// Takes the body as an attempt does.
async fn take_all(body: ReplayableBody<'_>) -> Vec<u8> {
    let (opening, mut rest) = body.open();
    let mut taken = opening.data.to_vec();
    while let Some(chunk) = rest.next_chunk(usize::MAX).await.unwrap() {
        taken.extend_from_slice(&chunk);
    }
    taken
}

/// Guards against an attempt with a body whose start was taken by an earlier one.
#[ntex::test]
async fn body_that_was_taken_beyond_the_buffer_is_not_sent_again() {
    let mut body = body_of(LONG_BODY_CHUNKS).await;
    let first = take_all(body.replayable().unwrap()).await;
    assert_eq!(first.len(), LONG_BODY_CHUNKS * CHUNK_BYTES);
    assert!(!body.is_replayable());
    assert!(body.replayable().is_none());
    assert!(!body.identity_prefix().1);
    body.fill_replay_buffer().await.unwrap();
    assert!(body.replayable().is_none());
}

#[ntex::test]
async fn body_within_the_buffer_is_sent_again_from_its_start() {
    let mut body = body_of(3).await;
    let first = take_all(body.replayable().unwrap()).await;
    assert_eq!(first.len(), 3 * CHUNK_BYTES);
    assert_eq!(take_all(body.replayable().unwrap()).await, first);
}

/// A refused attempt leaves what it hasn't taken to the next one.
#[ntex::test]
async fn body_taken_in_part_is_sent_again_from_its_start() {
    let mut body = body_of(LONG_BODY_CHUNKS).await;
    let (opening, mut rest) = body.replayable().unwrap().open();
    assert!(!opening.is_whole);
    let chunk = rest.next_chunk(CHUNK_BYTES / 2).await.unwrap();
    assert_eq!(chunk.map(|data| data.len()), Some(CHUNK_BYTES / 2));
    let second = take_all(body.replayable().unwrap()).await;
    assert_eq!(second.len(), LONG_BODY_CHUNKS * CHUNK_BYTES);
    for (index, chunk) in second.chunks(CHUNK_BYTES).enumerate() {
        assert!(chunk.iter().all(|byte| usize::from(*byte) == index));
    }
}

/// Guards against sending the end of a body whose caller has gone away in it.
#[ntex::test]
async fn body_cut_off_by_its_caller_has_no_end() {
    for stated_length in [None, Some(100)] {
        let (sender, receiver) = bounded(1);
        sender.send(Bytes::from("order")).await.unwrap();
        drop(sender);
        let body = RequestBody::read_body_start(Some(receiver), stated_length, LIMIT_BYTES).await;
        let Ok(mut body) = body else {
            assert!(stated_length.is_some());
            continue;
        };
        assert!(!body.identity_prefix().1);
        let filled = body.fill_replay_buffer().await;
        assert_eq!(filled, Err(ErrorKind::Cancelled));
        let (opening, mut rest) = body.replayable().unwrap().open();
        assert!(!opening.is_whole);
        assert_eq!(rest.next_chunk(100).await, Err(ErrorKind::Cancelled));
    }
}
