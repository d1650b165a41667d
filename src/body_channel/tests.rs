use super::*;

type Received = Result<Option<Bytes>, BodyTruncated>;

fn chunk(text: &'static str) -> Received {
    Ok(Some(Bytes::from(text)))
}

#[ntex::test]
async fn finished_body_ends_after_its_chunks() {
    let (sender, mut receiver) = bounded::<BodyTruncated>(1);
    sender.send(Bytes::from("wood")).await.unwrap();
    sender.finish();
    assert_eq!(receiver.next().await, chunk("wood"));
    assert_eq!(receiver.next().await, Ok(None));
    assert_eq!(receiver.next().await, Ok(None));
}

/// Guards against taking the end of a cancelled sender for the end of the body.
#[ntex::test]
async fn body_whose_sender_was_dropped_never_ends() {
    let (sender, mut receiver) = bounded::<BodyTruncated>(1);
    sender.send(Bytes::from("wo")).await.unwrap();
    drop(sender);
    assert_eq!(receiver.next().await, chunk("wo"));
    assert_eq!(receiver.next().await, Err(BodyTruncated));
    assert_eq!(receiver.next().await, Err(BodyTruncated));

    let (sender, mut receiver) = unbounded::<BodyTruncated>();
    sender.send(Bytes::from("wo")).unwrap();
    drop(sender);
    assert_eq!(receiver.next().await, chunk("wo"));
    assert_eq!(receiver.next().await, Err(BodyTruncated));
}

/// Guards against an end after the error, which a receiver that goes on would see.
#[ntex::test]
async fn failed_body_never_ends() {
    let (sender, mut receiver) = bounded::<BodyTruncated>(2);
    sender.send(Bytes::from("wo")).await.unwrap();
    sender.fail(BodyTruncated).await.unwrap();
    assert_eq!(receiver.next().await, chunk("wo"));
    assert_eq!(receiver.next().await, Err(BodyTruncated));
    assert_eq!(receiver.next().await, Err(BodyTruncated));
}

#[ntex::test]
async fn sender_learns_that_the_receiver_is_gone() {
    let (sender, receiver) = bounded::<BodyTruncated>(1);
    drop(receiver);
    sender.closed().await;
    let sent = sender.send(Bytes::from("wood")).await;
    assert_eq!(sent, Err(ReceiverClosed));
}
