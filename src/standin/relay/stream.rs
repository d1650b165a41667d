//! One forwarded connection.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio_util::codec::{BytesCodec, FramedRead, FramedWrite};

/// What happens to the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowMode {
    /// They pass.
    Forwarding,
    /// They are kept back.
    Paused,
    /// They are swallowed, and so is the end of either side.
    Discarding,
    /// The connection is closed.
    Closed,
}

/// Forwards both directions until both have ended or the connection is cut.
pub async fn forward_connection(
    caller: TcpStream,
    callee: TcpStream,
    mode: watch::Receiver<FlowMode>,
    delay: Duration,
) {
    // Small frames must not wait for each other.
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let forth = forward_direction(from_caller, to_callee, mode.clone(), delay);
    let back = forward_direction(from_callee, to_caller, mode.clone(), delay);
    let mut cut = mode;
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        _ = cut.wait_for(|mode| *mode == FlowMode::Closed) => {}
    }
}

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    mut mode: watch::Receiver<FlowMode>,
    delay: Duration,
) {
    let mut from = FramedRead::new(from, BytesCodec::new());
    let mut to = FramedWrite::new(to, BytesCodec::new());
    loop {
        let chunk = from.next().await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        // A relay that ends drops the sender; the connection ends with it.
        let Ok(passing) = mode.wait_for(|mode| *mode != FlowMode::Paused).await else {
            return;
        };
        let is_silent = *passing == FlowMode::Discarding;
        drop(passing);
        match chunk {
            Some(Ok(_)) if is_silent => {}
            Some(Ok(data)) => {
                if to.send(Bytes::from(data)).await.is_err() {
                    return;
                }
            }
            _ if is_silent => std::future::pending::<()>().await,
            _ => return,
        }
    }
}
