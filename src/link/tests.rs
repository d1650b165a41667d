use std::sync::Arc;

use assert_matches::assert_matches;
use bytes::Bytes;
use futures_util::FutureExt;
use proptest::prelude::*;

use super::endpoint::{QueueBudget, message_channel};
use super::messages::{BodyChunk, CallReference, LinkMessage};
use crate::resources::ResourceLimits;

use super::window::{
    INITIAL_WINDOW_BYTES, MAX_CHUNKS_IN_FLIGHT, ReceiveWindow, SendWindow, WINDOW_BYTES,
};

fn response_chunk(sequence: u64) -> LinkMessage {
    LinkMessage::ResponseChunk(BodyChunk {
        sequence,
        ..BodyChunk::default()
    })
}

#[ntex::test]
async fn priority_message_overtakes_bulk_chunks_of_another_call() {
    let (sender, mut receiver) = message_channel(&Arc::default());
    sender.send(response_chunk(1));
    sender.send(response_chunk(1));
    sender.send(LinkMessage::Cancel(CallReference { sequence: 2 }));
    assert_matches!(receiver.recv().await, Some(LinkMessage::Cancel(_)));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResponseChunk(_)));
    drop(sender);
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResponseChunk(_)));
    assert_matches!(receiver.recv().await, None);
}

fn chunk_of(bytes: usize) -> LinkMessage {
    LinkMessage::ResponseChunk(BodyChunk {
        data: Bytes::from(vec![0; bytes]),
        ..BodyChunk::default()
    })
}

fn budget_of(link_bytes: usize) -> Arc<QueueBudget> {
    let limits = ResourceLimits {
        link_bytes,
        ..ResourceLimits::default()
    };
    Arc::new(QueueBudget::new(&limits, Arc::default()))
}

/// Replays calls that end and begin anew while their link is slow to write.
#[ntex::test]
async fn link_has_room_until_its_queue_is_long() {
    let (sender, mut receiver) = message_channel(&budget_of(16 << 20));
    let mut sent = 0;
    while sender.has_room() {
        sender.send(chunk_of(64 << 10));
        sent += 1;
    }
    assert_eq!(sent, 16);
    assert_matches!(sender.wait_for_room().now_or_never(), None);
    receiver.recv().await.unwrap();
    assert_matches!(sender.wait_for_room().now_or_never(), Some(()));
}

/// A link whose queue is empty takes a chunk even if the others have used the budget.
#[test]
fn budget_of_all_links_leaves_room_on_an_empty_one() {
    let budget = budget_of(100);
    let (busy, _busy_receiver) = message_channel(&budget);
    let (idle, _idle_receiver) = message_channel(&budget);
    busy.send(chunk_of(100));
    assert!(!busy.has_room() && idle.has_room());
    idle.send(chunk_of(1));
    assert!(!idle.has_room());
}

#[test]
fn lost_link_returns_what_is_queued() {
    let budget = budget_of(1 << 20);
    let (sender, receiver) = message_channel(&budget);
    sender.send(chunk_of(1_000));
    assert_eq!(budget.queued_bytes(), 1_000);
    drop(receiver);
    sender.send(chunk_of(1_000));
    assert_eq!(budget.queued_bytes(), 0);
}

#[test]
fn first_credit_opens_the_full_window() {
    let mut window = SendWindow::new(INITIAL_WINDOW_BYTES);
    window.record_sent(Bytes::from(vec![0; 64 * 1024]), false);
    assert_eq!(window.available_bytes(), 0);
    window.apply_credit(0);
    assert_eq!(window.available_bytes() as u64, WINDOW_BYTES - 64 * 1024);
    window.apply_credit(1_000);
    assert_eq!(
        window.available_bytes() as u64,
        WINDOW_BYTES - 64 * 1024 + 1_000
    );
}

#[test]
fn small_chunks_in_flight_are_limited_in_number() {
    let mut window = SendWindow::new(WINDOW_BYTES);
    for _ in 0..MAX_CHUNKS_IN_FLIGHT {
        assert!(window.available_bytes() > 0);
        window.record_sent(Bytes::from("a"), false);
    }
    assert_eq!(window.available_bytes(), 0);
    window.apply_credit(1);
    assert!(window.available_bytes() > 0);
}

#[test]
fn chunk_after_a_gap_is_rejected() {
    let mut window = ReceiveWindow::default();
    assert_eq!(
        window.accept(0, Bytes::from("ab"), false),
        Some("ab".into())
    );
    assert_eq!(window.accept(3, Bytes::from("d"), false), None);
    assert_eq!(window.accept(1, Bytes::from("bc"), true), Some("c".into()));
    assert!(window.is_ended());
}

#[test]
fn consumed_bytes_cannot_be_resent() {
    let mut window = SendWindow::new(WINDOW_BYTES);
    window.record_sent(Bytes::from("abcd"), true);
    window.apply_credit(2);
    assert_eq!(window.resend_from(1), None);
    assert_eq!(window.resend_from(3), Some(vec![(3, Bytes::from("d"))]));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Loses the link at arbitrary chunks and resends from the received offset;
    /// the receiver must still end up with the complete body.
    #[test]
    fn body_is_delivered_whole_despite_lost_links(
        chunk_sizes in prop::collection::vec(1_usize..50, 1..40),
        is_chunk_lost in prop::collection::vec(any::<bool>(), 40),
        is_credit_sent in prop::collection::vec(any::<bool>(), 40),
    ) {
        let mut sender = SendWindow::new(WINDOW_BYTES);
        let mut receiver = ReceiveWindow::default();
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        for (index, size) in chunk_sizes.iter().enumerate() {
            let data = Bytes::from(vec![index as u8; *size]);
            let offset = sender.sent_bytes();
            sent.extend_from_slice(&data);
            sender.record_sent(data.clone(), false);
            if !is_chunk_lost[index] {
                match receiver.accept(offset, data, false) {
                    Some(new_data) => received.extend_from_slice(&new_data),
                    // A gap after a lost link: the sender resends.
                    None => for (offset, data) in sender.resend_from(receiver.received_bytes()).unwrap() {
                        received.extend_from_slice(&receiver.accept(offset, data, false).unwrap());
                    },
                }
            }
            if is_credit_sent[index] {
                sender.apply_credit(receiver.received_bytes());
            }
        }
        for (offset, data) in sender.resend_from(receiver.received_bytes()).unwrap() {
            received.extend_from_slice(&receiver.accept(offset, data, false).unwrap());
        }
        prop_assert_eq!(sent, received);
    }
}
