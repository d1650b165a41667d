//! Backend server whose response to a request for a faulty path never ends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Start of the paths with faulty responses; the index of the response follows.
pub const FAULTY_PATH: &str = "/faulty/";
const SOUND_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Size of the writes of a response that is not paced.
const WRITE_BYTES: usize = 16 * 1024;

/// Response that never ends.
#[derive(Debug, Clone, Copy)]
pub struct EndlessResponse {
    pub name: &'static str,
    pub start: &'static str,
    pub repeated: &'static str,
    /// Bytes in `repeated` that follow `start` at once.
    pub burst_bytes: usize,
    /// Pause after each further `repeated`; `None` sends at full speed.
    pub pause: Option<Duration>,
    /// What follows the burst, after which the connection is closed; `None` if it never ends.
    pub end: Option<&'static str>,
}

/// Connection that was closed during an endless response.
#[derive(Debug, Clone, Copy)]
pub struct ClosedResponse {
    pub index: usize,
    pub sent_bytes: usize,
    pub duration: Duration,
}

/// Backend server that serves each connection on a thread.
pub struct FaultyUpstream {
    pub address: SocketAddr,
    pub closed: Arc<Mutex<Vec<ClosedResponse>>>,
}

impl FaultyUpstream {
    pub fn start(responses: &'static [EndlessResponse]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let closed = Arc::default();
        let record = Arc::clone(&closed);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let record = Arc::clone(&record);
                thread::spawn(move || serve(stream, responses, &record));
            }
        });
        Self { address, closed }
    }
}

fn serve(
    mut stream: TcpStream,
    responses: &[EndlessResponse],
    record: &Mutex<Vec<ClosedResponse>>,
) {
    stream.set_nodelay(true).unwrap();
    let mut request = Vec::new();
    let mut buffer = [0; 4 * 1024];
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(length @ 1..) => request.extend_from_slice(&buffer[..length]),
                _ => return,
            }
        }
        let head = String::from_utf8(std::mem::take(&mut request)).unwrap();
        let target = head.split(' ').nth(1).unwrap();
        let index = target
            .strip_prefix(FAULTY_PATH)
            .map_or(usize::MAX, |text| text.parse().unwrap());
        let Some(response) = responses.get(index) else {
            if stream.write_all(SOUND_RESPONSE).is_err() {
                return;
            }
            continue;
        };
        let started_at = Instant::now();
        let sent_bytes = send_endlessly(&stream, response);
        record.lock().unwrap().push(ClosedResponse {
            index,
            sent_bytes,
            duration: started_at.elapsed(),
        });
        return;
    }
}

/// Sends until the connection is closed or the response ends; returns the number of bytes.
fn send_endlessly(mut stream: &TcpStream, response: &EndlessResponse) -> usize {
    let repeats = WRITE_BYTES / response.repeated.len();
    let block = response.repeated.repeat(repeats);
    let mut sent_bytes = 0;
    let mut send = |bytes: &[u8]| {
        let is_sent = stream.write_all(bytes).is_ok();
        sent_bytes += bytes.len();
        is_sent
    };
    let mut is_open = send(response.start.as_bytes());
    let mut burst_repeats = response.burst_bytes / response.repeated.len();
    while is_open && burst_repeats > 0 {
        let length = burst_repeats.min(repeats);
        is_open = send(&block.as_bytes()[..length * response.repeated.len()]);
        burst_repeats -= length;
    }
    if let Some(end) = response.end {
        send(end.as_bytes());
        return sent_bytes;
    }
    while is_open {
        is_open = match response.pause {
            None => send(block.as_bytes()),
            Some(pause) => {
                thread::sleep(pause);
                send(response.repeated.as_bytes())
            }
        };
    }
    sent_bytes
}
