//! Serves request handlers as tower services.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::{Request, Response};

use crate::BoxFuture;
use crate::body::CallBody;

/// A request handler. It is infallible: failures become responses.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to `req`.
    fn handle(
        self: Arc<Self>,
        req: Request<CallBody>,
    ) -> impl Future<Output = Response<CallBody>> + Send;
}

/// Adapts a handler to a tower service.
#[derive(Debug)]
pub struct HandlerService<H>(pub Arc<H>);

impl<H> Clone for HandlerService<H> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<H: Handler> tower::Service<Request<CallBody>> for HandlerService<H> {
    type Response = Response<CallBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<CallBody>, Infallible>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<CallBody>) -> Self::Future {
        let handler = Arc::clone(&self.0);
        Box::pin(async move { Ok(handler.handle(req).await) })
    }
}
