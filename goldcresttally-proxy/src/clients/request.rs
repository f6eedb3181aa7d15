//! Counts what requests of clients hold: their heads, what is buffered of their bodies, and responses that
//! are not read.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response, Version};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pin_project_lite::pin_project;
use tower::util::Oneshot;
use tower::{Service, ServiceExt};

use super::connection::{Connection, InFlight, UnreadPart, WaitingBody};
use super::{ByteShare, Use};
use crate::body::{BoxError, CallBody, OverBudget, boxed};
use crate::errors::{CallError, Reason};

/// Memory of a request besides its head: the state of its call, in bytes.
const CALL_BYTES: usize = 4096;

/// Memory of one entry of a header map, in bytes.
const FIELD_BYTES: usize = 112;

/// Memory of a buffered body per byte: the buffer doubles as it grows.
const BODY_MEMORY_FACTOR: usize = 2;

/// Returns the memory that a request with this head takes, in bytes.
fn head_bytes<B>(req: &Request<B>) -> usize {
    let uri = req.uri().path_and_query().map_or(0, |path| path.as_str().len());
    CALL_BYTES + uri + map_bytes(req.headers())
}

/// Returns the memory that a header map takes, in bytes.
fn map_bytes(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    headers.capacity().max(headers.len()) * FIELD_BYTES + text
}

/// Serves the requests of one connection with a tower service; counts them if the connection is that of
/// a client.
#[derive(Debug, Clone)]
pub(crate) struct ClientAdapter<S> {
    service: S,
    connection: Option<Arc<Connection>>,
}

impl<S> ClientAdapter<S> {
    pub fn new(service: S, connection: Option<Arc<Connection>>) -> Self {
        Self { service, connection }
    }
}

impl<S> hyper::service::Service<Request<Incoming>> for ClientAdapter<S>
where
    S: Service<Request<CallBody>, Response = Response<CallBody>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = Answering<S>;

    fn call(&self, mut req: Request<Incoming>) -> Self::Future {
        let service = self.service.clone();
        let Some(connection) = &self.connection else {
            return Answering::running(service, req.map(boxed), None);
        };
        let in_flight = InFlight::begin(connection);
        let share = match admit(connection, &req) {
            Ok(share) => Arc::new(Mutex::new(share)),
            Err(error) => {
                let response = refusal(error, req.version());
                let body = |body| AnswerBody { body, in_flight: Some(in_flight), head_bytes: 0 };
                return Answering::Refused { response: Some(response.map(body)) };
            }
        };
        if let Some(address) = connection.address {
            req.extensions_mut().insert(address);
        }
        let req = req.map(|body| match body.is_end_stream() {
            true => boxed(body),
            false => boxed(ClientBody::new(body, Arc::clone(connection), Arc::clone(&share))),
        });
        Answering::running(service, req, Some(Counted { in_flight, _share: share }))
    }
}

/// What a request counts as until it is answered.
#[derive(Debug)]
pub(crate) struct Counted {
    in_flight: InFlight,
    _share: Arc<Mutex<ByteShare>>,
}

pin_project! {
    /// The response to a request, to come.
    #[project = AnsweringProjection]
    pub(crate) enum Answering<S>
    where
        S: Service<Request<CallBody>>,
    {
        /// The request is refused with this response.
        Refused { response: Option<Response<AnswerBody>> },
        /// The service handles the request.
        Running {
            #[pin]
            answer: Oneshot<S, Request<CallBody>>,
            counted: Option<Counted>,
        },
    }
}

impl<S: Service<Request<CallBody>>> Answering<S> {
    fn running(service: S, req: Request<CallBody>, counted: Option<Counted>) -> Self {
        Self::Running { answer: service.oneshot(req), counted }
    }
}

impl<S> Future for Answering<S>
where
    S: Service<Request<CallBody>, Response = Response<CallBody>, Error = Infallible>,
{
    type Output = Result<Response<AnswerBody>, Infallible>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.project() {
            AnsweringProjection::Refused { response } => match response.take() {
                Some(response) => Poll::Ready(Ok(response)),
                None => Poll::Pending,
            },
            AnsweringProjection::Running { answer, counted } => {
                let response = ready!(answer.poll(cx))?;
                let in_flight = counted.take().map(|counted| counted.in_flight);
                let head_bytes = in_flight.as_ref().map_or(0, |_| map_bytes(response.headers()));
                let body = |body| AnswerBody { body, in_flight, head_bytes };
                Poll::Ready(Ok(response.map(body)))
            }
        }
    }
}

/// Takes the memory of a request's head from the budget.
fn admit(connection: &Connection, req: &Request<Incoming>) -> Result<ByteShare, CallError> {
    let clients = &connection.clients;
    clients.budget.try_take(head_bytes(req), Use::Head).ok_or_else(|| {
        clients.counters.clients_over_budget.increment();
        CallError::not_run(Reason::MemoryFull)
    })
}

/// Returns the response to a request that is refused before it is handled.
fn refusal(error: CallError, version: Version) -> Response<CallBody> {
    let mut response = error.into_response();
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    if version < Version::HTTP_2 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The body of a client's request; the part of it that is buffered counts against the budget.
#[derive(Debug)]
struct ClientBody {
    body: Incoming,
    connection: Arc<Connection>,
    /// The memory of the request, until it is answered.
    share: Arc<Mutex<ByteShare>>,
    /// Bytes that are not yet counted and may be buffered.
    uncounted: usize,
    waiting: Option<WaitingBody>,
}

impl ClientBody {
    fn new(body: Incoming, connection: Arc<Connection>, share: Arc<Mutex<ByteShare>>) -> Self {
        let uncounted = connection.max_buffered_body;
        Self { body, connection, share, uncounted, waiting: None }
    }

    /// Counts received bytes; returns whether the budget has room for them.
    fn count(&mut self, bytes: usize) -> bool {
        let bytes = bytes.min(self.uncounted);
        self.uncounted -= bytes;
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        bytes == 0 || share.try_grow(bytes * BODY_MEMORY_FACTOR, Use::Body)
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            if this.waiting.is_none() {
                this.waiting = Some(WaitingBody::begin(&this.connection));
            }
            return Poll::Pending;
        };
        this.waiting = None;
        let bytes = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        if !this.count(bytes) {
            this.connection.clients.counters.clients_over_budget.increment();
            return Poll::Ready(Some(Err(Box::new(OverBudget))));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response; its data counts against the budget until it is written.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: CallBody,
    in_flight: Option<InFlight>,
    /// Memory of the head, which counts with the first data.
    head_bytes: usize,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let head_bytes = std::mem::take(&mut self.head_bytes);
        let Some(InFlight(connection)) = &self.in_flight else { return Poll::Ready(frame) };
        Poll::Ready(frame.map(|frame| {
            frame.map(|frame| frame.map_data(|data| UnreadData::wrap(data, connection, head_bytes)))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Data of a response that is not yet written.
struct UnreadData {
    data: Bytes,
    _share: ByteShare,
    _part: UnreadPart,
}

impl UnreadData {
    fn wrap(data: Bytes, connection: &Arc<Connection>, head_bytes: usize) -> Bytes {
        if data.is_empty() {
            return data;
        }
        let share = connection.clients.budget.take(data.len() + head_bytes);
        Bytes::from_owner(Self { data, _share: share, _part: UnreadPart::begin(connection) })
    }
}

impl AsRef<[u8]> for UnreadData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
