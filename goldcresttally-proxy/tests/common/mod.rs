//! Test setup: the peer of a node, with one upstream whose connections a test drives byte by byte.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_admission::Policy;
use goldcresttally_core::Generation;
use goldcresttally_proxy::body::{BoxError, CallBody, boxed, full};
use goldcresttally_proxy::call_log::NoopCallLog;
use goldcresttally_proxy::peer::LocalUpstream;
use goldcresttally_proxy::service::Handler;
use goldcresttally_proxy::{Clock, Conventions, Identity, NodeState, Peer, TcpTransport};
use http::{HeaderMap, Request, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

/// Maximum wait for an expected event; a test fails if it is reached.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Header with a call's id, which the upstream echoes.
pub const CALL_ID: &str = "call-id";

const NODE: &str = "127.0.0.1:1";
const OTHER_NODE: &str = "127.0.0.1:2";

/// A peer whose only upstream is a listener of the test.
pub struct PeerFixture {
    pub peer: Arc<Peer>,
    /// Time added to the peer's clock, in microseconds.
    pub clock_offset_us: &'static AtomicU64,
    upstream: TcpListener,
    /// The node that sends the attempts.
    origin: &'static str,
}

impl PeerFixture {
    pub async fn start() -> Self {
        Self::start_with(Conventions { close_delimited: true, ..Conventions::default() }).await
    }

    /// Starts a peer whose upstream follows `conventions`.
    pub async fn start_with(conventions: Conventions) -> Self {
        Self::start_peer(conventions, NODE, false).await
    }

    /// Starts a peer with overload control that gets its attempts from another node.
    pub async fn start_with_overload_control() -> Self {
        Self::start_peer(Conventions::default(), OTHER_NODE, true).await
    }

    async fn start_peer(
        conventions: Conventions,
        origin: &'static str,
        overload_control: bool,
    ) -> Self {
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = NODE.parse().unwrap();
        let peer_address: SocketAddr = NODE.parse().unwrap();
        let identity = Identity { node, peer: peer_address, generation: Generation(1) };
        let clock_offset_us: &AtomicU64 = Box::leak(Box::default());
        let clock = Clock::start_with_offset(clock_offset_us);
        let state = NodeState::new(identity, clock, conventions, Arc::new(NoopCallLog));
        let transport = Arc::new(TcpTransport::new(None));
        let tasks = TaskTracker::new();
        let peer = Peer::new(Arc::new(state), transport, tasks, Policy::default(), false)
            .with_overload_control(overload_control);
        peer.set_upstreams(&[LocalUpstream {
            service: "booking".parse().unwrap(),
            address: upstream.local_addr().unwrap(),
            slots: 4,
            draining: false,
            instance: None,
            generation: Generation(0),
        }]);
        Self { peer: Arc::new(peer), clock_offset_us, upstream, origin }
    }

    /// Sends a message about the attempt `sequence` to the peer, as an entry would; `left` is the
    /// time left until its deadline.
    pub async fn send(&self, op: &str, sequence: u64, left: Duration) -> Response<CallBody> {
        self.send_body(op, sequence, left, full("")).await
    }

    /// Sends a message like [`Self::send`], with a body.
    pub async fn send_body(
        &self,
        op: &str,
        sequence: u64,
        left: Duration,
        body: CallBody,
    ) -> Response<CallBody> {
        self.send_with_id(op, sequence, left, body, None).await
    }

    /// Sends a call whose caller gave it the id `call_id`.
    pub async fn call(&self, sequence: u64, call_id: &str) -> Response<CallBody> {
        self.send_with_id("call", sequence, LIMIT, full(""), Some(call_id)).await
    }

    async fn send_with_id(
        &self,
        op: &str,
        sequence: u64,
        left: Duration,
        body: CallBody,
        call_id: Option<&str>,
    ) -> Response<CallBody> {
        let mut req = Request::new(body);
        if let Some(call_id) = call_id {
            req.headers_mut().insert(CALL_ID, call_id.parse().unwrap());
        }
        let fields = [
            ("tally-op", op.to_owned()),
            ("tally-attempt", format!("{}/1/{sequence}", self.origin)),
            ("tally-generation", "1".to_owned()),
            ("tally-service", "booking".to_owned()),
            ("tally-rank", "urgent".to_owned()),
            ("tally-deadline-ms", left.as_millis().to_string()),
        ];
        for (name, value) in fields {
            req.headers_mut().insert(name, value.parse().unwrap());
        }
        Arc::clone(&self.peer).handle(req).await
    }

    /// Accepts the upstream's next connection and reads the head of its request.
    pub async fn accept(&self) -> TcpStream {
        let (mut stream, _) = within(self.upstream.accept()).await.unwrap();
        read_head(&mut stream).await;
        stream
    }
}

/// Reads the head of a request.
pub async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(within(stream.read_u8()).await.unwrap());
    }
}

/// Returns a body that never yields a frame.
pub fn stalled_body() -> CallBody {
    boxed(StreamBody::new(futures::stream::pending::<Result<Frame<Bytes>, BoxError>>()))
}

/// Writes all of `text`.
pub async fn write(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.unwrap();
}

/// Waits until the other end has closed the connection.
pub async fn closed(stream: &mut TcpStream) {
    let mut buf = [0; 1024];
    while matches!(within(stream.read(&mut buf)).await, Ok(n) if n > 0) {}
}

/// Waits for an expected event, for at most [`LIMIT`].
pub async fn within<F: Future>(event: F) -> F::Output {
    tokio::time::timeout(LIMIT, event).await.expect("timed out waiting for an expected event")
}

/// Returns the verdict and the reason of a failed call.
pub fn failure(headers: &HeaderMap) -> (&str, &str) {
    let text = |name: &str| headers.get(name).map_or("", |value| value.to_str().unwrap());
    (text("tally-verdict"), text("tally-reason"))
}
