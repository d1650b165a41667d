//! Crowds of callers that hold connections and take few bytes or none.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::time::sleep;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

/// Receive buffer of callers that read nothing.
const SMALL_RECEIVE_BYTES: u32 = 4 * 1024;
/// Wait between two connections that are refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an ordinary request to be answered, with its retries.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    /// Closing the channel ends the callers.
    _stop: watch::Sender<()>,
}

impl Crowd {
    /// Opens connections that each send `bytes` as far as the node takes them, and read
    /// nothing.
    pub fn start(address: SocketAddr, count: usize, bytes: &str) -> Self {
        let (stop, stopped) = watch::channel(());
        for _ in 0..count {
            let bytes = bytes.as_bytes().to_vec();
            let mut stopped = stopped.clone();
            ntex::rt::spawn(async move {
                let Some(mut stream) = connect(address).await else {
                    return;
                };
                tokio::select! {
                    // Fails if the node closes the connection, which is kept all the same.
                    _ = stream.write_all(&bytes) => {}
                    _ = stopped.changed() => return,
                }
                let _ = stopped.changed().await;
            });
        }
        Self { _stop: stop }
    }

    /// Opens connections that each send `bytes`, are reset after 0.2 to 1.2 s, and are opened
    /// anew, for as long as `duration`.
    pub async fn reset_repeatedly(
        address: SocketAddr,
        count: usize,
        bytes: &str,
        duration: Duration,
        seed: u64,
    ) {
        let ends_at = Instant::now() + duration;
        let callers = (0..count as u64).map(|index| {
            let bytes = bytes.as_bytes().to_vec();
            let mut random = StdRng::seed_from_u64(seed + index);
            ntex::rt::spawn(async move {
                while Instant::now() < ends_at {
                    let pause = Duration::from_millis(random.random_range(200..1_200));
                    let Some(mut stream) = connect(address).await else {
                        sleep(RETRY_INTERVAL).await;
                        continue;
                    };
                    // Ends with the pause if the node doesn't take everything.
                    let _ = tokio::time::timeout(pause, async {
                        let _ = stream.write_all(&bytes).await;
                        sleep(pause).await;
                    })
                    .await;
                    stream.set_zero_linger().unwrap();
                }
            })
        });
        futures_util::future::join_all(callers.collect::<Vec<_>>()).await;
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BYTES).unwrap();
    socket.connect(address).await.ok()
}

/// Sends an ordinary request until it is answered, as a caller that retries does.
pub async fn assert_answered(address: SocketAddr, host: &str) {
    let started_at = Instant::now();
    let mut last = String::new();
    while started_at.elapsed() < GIVE_UP_AFTER {
        match tokio::time::timeout(ANSWER_TIMEOUT, request_once(address, host)).await {
            Ok(answer) if answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("ok") => return,
            Ok(answer) => last = answer,
            Err(_) => last = "no answer".to_string(),
        }
        sleep(RETRY_INTERVAL).await;
    }
    panic!("not answered at {address}: {last:?}");
}

async fn request_once(address: SocketAddr, host: &str) -> String {
    let mut answer = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await {
        let request = format!("GET /sound HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n");
        let _ = stream.write_all(request.as_bytes()).await;
        // A reset leaves what has arrived.
        let _ = stream.read_to_end(&mut answer).await;
    }
    String::from_utf8_lossy(&answer).into_owned()
}
