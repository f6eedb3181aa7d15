//! Guards against a close that drops the end of a response: the kernel resets a connection that is
//! closed while bytes from the client are unread, and discards what it has not delivered.

use std::convert::Infallible;
use std::time::Duration;

use goldcresttally_config::LimitsSpec;
use goldcresttally_proxy::body::{CallBody, full};
use goldcresttally_proxy::server::{self, ClientKind};
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Size of the response: more than the client's receive buffer.
const RESPONSE_BYTES: usize = 1 << 20;

/// Size of what the client sends after its request, which the server does not read.
const UNREAD_BYTES: usize = 256 * 1024;

const LIMIT: Duration = Duration::from_secs(20);

async fn respond(_: Request<CallBody>) -> Result<Response<CallBody>, Infallible> {
    let mut response = Response::new(full(vec![b'x'; RESPONSE_BYTES]));
    response.headers_mut().insert("connection", "close".parse().unwrap());
    Ok(response)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_delivered_although_bytes_of_the_client_are_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let workers = vec![(Handle::current(), tower::service_fn(respond))];
    let stop = CancellationToken::new();
    let server = server::serve(
        listener,
        ClientKind::Callers,
        workers,
        LimitsSpec::default,
        stop.clone(),
        TaskTracker::new(),
    );
    let server = tokio::spawn(server);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let (mut reader, mut writer) = socket.connect(address).await.unwrap().into_split();
    writer.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let unread = tokio::spawn(async move {
        // The server may close before it has taken everything.
        let _ = writer.write_all(&vec![b'y'; UNREAD_BYTES]).await;
        writer
    });
    // The server has written its response, and closes the connection, before the client reads.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(LIMIT, reader.read_to_end(&mut response)).await.unwrap();
    assert!(read.is_ok() && response.len() > RESPONSE_BYTES, "{} bytes: {read:?}", response.len());
    drop(unread.await.unwrap());
    stop.cancel();
    tokio::time::timeout(LIMIT, server).await.unwrap().unwrap();
}
