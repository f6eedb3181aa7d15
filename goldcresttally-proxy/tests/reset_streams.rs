//! Mass cancellation must not close a link.
//!
//! While a node is paused, other nodes may cancel many calls. When it resumes, all stream resets
//! arrive at once, and hyper's default limit on pending resets would close the connection with
//! all other calls on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use goldcresttally_config::LimitsSpec;
use goldcresttally_proxy::body::{CallBody, full};
use goldcresttally_proxy::server::{self, ClientKind};
use goldcresttally_proxy::service::{Handler, HandlerService};
use http::{Request, Response};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Number of calls that are cancelled at once.
const CALLS: usize = 300;

/// Maximum wait for a response; the test fails if it is reached.
const LIMIT: Duration = Duration::from_secs(20);

/// Time for which the server's thread is blocked, as if its process were paused.
const PAUSE: Duration = Duration::from_millis(600);

/// Time within which the client's frames reach the server's socket.
const DELIVERY_TIME: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct TestHandler;

impl Handler for TestHandler {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        match req.uri().path() {
            "/slow" => std::future::pending().await,
            "/pause" => std::thread::sleep(PAUSE),
            _ => {}
        }
        Response::new(full("ok"))
    }
}

/// Serves on a new thread until `stop`; returns its address and handle.
fn start(stop: CancellationToken) -> (SocketAddr, JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener).unwrap();
        let workers = vec![(runtime.handle().clone(), HandlerService(Arc::new(TestHandler)))];
        let tasks = TaskTracker::new();
        let serve = server::serve(
            listener,
            ClientKind::Nodes,
            workers,
            LimitsSpec::default,
            stop.clone(),
            tasks,
        );
        runtime.block_on(async {
            tokio::select! {
                () = serve => {}
                () = stop.cancelled() => {}
            }
        });
    });
    (address, thread)
}

fn request(path: &'static str) -> Request<CallBody> {
    let mut req = Request::new(full(""));
    *req.uri_mut() = format!("http://node{path}").parse().unwrap();
    req
}

#[tokio::test]
async fn mass_cancellation_during_a_pause_keeps_the_link_open() {
    let stop = CancellationToken::new();
    let (address, thread) = start(stop.clone());
    let io = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    assert_eq!(sender.send_request(request("/")).await.unwrap().status(), 200);
    let mut slow_call = Box::pin(sender.clone().send_request(request("/slow")));
    let mut pausing_call = Box::pin(sender.clone().send_request(request("/pause")));
    assert!(
        futures::poll!(&mut slow_call).is_pending()
            && futures::poll!(&mut pausing_call).is_pending()
    );
    tokio::time::sleep(DELIVERY_TIME).await;
    let calls = (0..CALLS).map(|_| Box::pin(sender.clone().send_request(request("/slow"))));
    let mut calls: Vec<_> = calls.collect();
    for call in &mut calls {
        assert!(futures::poll!(call).is_pending());
    }
    tokio::time::sleep(DELIVERY_TIME).await;
    drop(calls);
    let response = tokio::time::timeout(LIMIT, sender.send_request(request("/"))).await.unwrap();
    assert_eq!(response.unwrap().status(), 200);
    assert!(futures::poll!(&mut slow_call).is_pending(), "the link was closed");
    stop.cancel();
    thread.join().unwrap();
}
