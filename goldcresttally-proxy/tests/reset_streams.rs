//! Calls that are cancelled in numbers do not cost a link the others.

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

/// Calls that are cancelled at once.
const CALLS: usize = 300;

/// Longest wait for an answer; a test that needs it has failed.
const LIMIT: Duration = Duration::from_secs(20);

/// Time for which the server's thread stands still, as a process that is paused.
const PAUSE: Duration = Duration::from_millis(600);

/// Time in which what the client does reaches the server's socket.
const ON_THE_WAY: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Upstreamless;

impl Handler for Upstreamless {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        match req.uri().path() {
            "/slow" => std::future::pending().await,
            "/pause" => std::thread::sleep(PAUSE),
            _ => {}
        }
        Response::new(full("ok"))
    }
}

/// Serves on a thread of its own until `stop`; returns the address.
fn start(stop: CancellationToken) -> (SocketAddr, JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener).unwrap();
        let workers = vec![(runtime.handle().clone(), HandlerService(Arc::new(Upstreamless)))];
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
async fn cancelled_while_the_node_was_paused() {
    let stop = CancellationToken::new();
    let (address, thread) = start(stop.clone());
    let io = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    assert_eq!(sender.send_request(request("/")).await.unwrap().status(), 200);
    let mut kept = Box::pin(sender.clone().send_request(request("/slow")));
    let mut paused = Box::pin(sender.clone().send_request(request("/pause")));
    assert!(futures::poll!(&mut kept).is_pending() && futures::poll!(&mut paused).is_pending());
    tokio::time::sleep(ON_THE_WAY).await;
    let calls = (0..CALLS).map(|_| Box::pin(sender.clone().send_request(request("/slow"))));
    let mut calls: Vec<_> = calls.collect();
    for call in &mut calls {
        assert!(futures::poll!(call).is_pending());
    }
    tokio::time::sleep(ON_THE_WAY).await;
    drop(calls);
    let answer = tokio::time::timeout(LIMIT, sender.send_request(request("/"))).await.unwrap();
    assert_eq!(answer.unwrap().status(), 200);
    assert!(futures::poll!(&mut kept).is_pending(), "the link was closed");
    stop.cancel();
    thread.join().unwrap();
}
