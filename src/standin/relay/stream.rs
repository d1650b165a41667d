//! Forwards one TCP connection in both directions, in the mode that the relay's
//! commands set.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio_util::codec::{BytesCodec, FramedRead, FramedWrite};

/// How the data of a connection is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowMode {
    /// Data is forwarded.
    Forwarding,
    /// Data is held back.
    Paused,
    /// Data is discarded, and the end of one side is hidden from the other.
    Discarding,
    /// The connection is closed.
    Closed,
}

/// Forwards both directions until both have ended or the connection is closed.
pub async fn forward_connection(
    caller: TcpStream,
    server: TcpStream,
    mode: watch::Receiver<FlowMode>,
    delay: Duration,
) {
    // Nagle's algorithm would delay small frames.
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let caller_to_server = forward_direction(from_caller, to_server, mode.clone(), delay);
    let server_to_caller = forward_direction(from_server, to_caller, mode.clone(), delay);
    let mut mode_changes = mode;
    tokio::select! {
        _ = async { tokio::join!(caller_to_server, server_to_caller) } => {}
        _ = mode_changes.wait_for(|mode| *mode == FlowMode::Closed) => {}
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
        // When the relay stops, it drops the sender, and the connection is closed.
        let Ok(current_mode) = mode.wait_for(|mode| *mode != FlowMode::Paused).await else {
            return;
        };
        let is_discarding = *current_mode == FlowMode::Discarding;
        drop(current_mode);
        match chunk {
            Some(Ok(_)) if is_discarding => {}
            Some(Ok(data)) => {
                if to.send(Bytes::from(data)).await.is_err() {
                    return;
                }
            }
            _ if is_discarding => std::future::pending::<()>().await,
            _ => return,
        }
    }
}
