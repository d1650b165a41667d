//! Backend servers that the test serves itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use currantlift::http1::{BodyDecoder, BodyEvent, HeadLimits, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Path whose response is long and starts after [`LONG_RESPONSE_DELAY`].
pub const LONG_RESPONSE_PATH: &str = "/long";
pub const LONG_RESPONSE_DELAY: Duration = Duration::from_millis(600);
/// More than the socket buffers on its way hold.
pub const LONG_RESPONSE_BYTES: usize = 48 * 1024 * 1024;
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};
/// Time in which a connection attempt to a listener with a free place succeeds.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Upload as the backend server has read it.
#[derive(Debug)]
pub struct ReceivedUpload {
    pub body: Vec<u8>,
    /// Whether its end arrived.
    pub is_whole: bool,
}

/// Backend server that records the uploads it receives.
pub struct RecordingBackend {
    pub address: SocketAddr,
    pub uploads: Rc<RefCell<Vec<ReceivedUpload>>>,
}

impl RecordingBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let uploads = Rc::new(RefCell::default());
        let record = Rc::clone(&uploads);
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                ntex::rt::spawn(serve_connection(stream, Rc::clone(&record)));
            }
        });
        Self { address, uploads }
    }

    /// Lengths of the uploads that it has taken for whole.
    pub fn whole_uploads(&self) -> Vec<usize> {
        let uploads = self.uploads.borrow();
        let whole = uploads.iter().filter(|upload| upload.is_whole);
        whole.map(|upload| upload.body.len()).collect()
    }
}

async fn serve_connection(mut stream: TcpStream, uploads: Rc<RefCell<Vec<ReceivedUpload>>>) {
    let mut buffer = BytesMut::new();
    loop {
        let head = match RequestHead::parse(&mut buffer, HEAD_LIMITS).unwrap() {
            Some(head) => head,
            None if matches!(stream.read_buf(&mut buffer).await, Ok(1..)) => continue,
            None => return,
        };
        if head.target == LONG_RESPONSE_PATH {
            ntex::time::sleep(LONG_RESPONSE_DELAY).await;
            let response =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_RESPONSE_BYTES}\r\n\r\n");
            let body = vec![b'w'; LONG_RESPONSE_BYTES];
            if stream.write_all(response.as_bytes()).await.is_err()
                || stream.write_all(&body).await.is_err()
            {
                return;
            }
            continue;
        }
        let index = uploads.borrow().len();
        uploads.borrow_mut().push(ReceivedUpload {
            body: Vec::new(),
            is_whole: false,
        });
        let mut decoder = BodyDecoder::new(head.framing);
        loop {
            match decoder.next_event(&mut buffer).unwrap() {
                BodyEvent::Data(data) => {
                    uploads.borrow_mut()[index].body.extend_from_slice(&data);
                }
                BodyEvent::End => break,
                BodyEvent::NeedMore => {
                    if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                        return;
                    }
                }
            }
        }
        uploads.borrow_mut()[index].is_whole = true;
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

/// Backend server whose listener takes no further connection: attempts to connect to it
/// time out.
pub struct UnreachableBackend {
    pub address: SocketAddr,
    _listener: TcpListener,
    _connections: Vec<TcpStream>,
}

impl UnreachableBackend {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut connections = Vec::new();
        while let Ok(connected) =
            tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await
        {
            connections.push(connected.unwrap());
        }
        Self {
            address,
            _listener: listener,
            _connections: connections,
        }
    }
}
