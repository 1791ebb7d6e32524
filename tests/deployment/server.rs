//! A small HTTP server for stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use http::Response;
use http_body_util::Full;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The connection is closed without an answer, or in the middle of one.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("gone")
    }
}

impl std::error::Error for ConnectionClosed {}

pub enum Body {
    Whole(Full<Bytes>),
    Stream(BoxStream<'static, Result<Bytes, ConnectionClosed>>),
}

impl Body {
    pub fn stream(
        stream: impl Stream<Item = Result<Bytes, ConnectionClosed>> + Send + 'static,
    ) -> Self {
        Self::Stream(stream.boxed())
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Self::Stream(stream) => Pin::new(stream)
                .poll_next(context)
                .map(|item| item.map(|result| result.map(Frame::data))),
        }
    }
}

pub type Reply = Response<Body>;

/// Serves on a free port of loopback until the runtime ends. The handler is told the address.
pub async fn serve<F, A>(handler: F) -> SocketAddr
where
    F: Fn(SocketAddr, hyper::Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Reply, ConnectionClosed>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    serve_on(listener, handler, CancellationToken::new());
    address
}

/// Serves on a listener for as long as a process lives: at its end all connections are closed at once, and the port
/// unless somebody waits for the listener.
pub fn serve_on<F, A>(
    listener: TcpListener,
    handler: F,
    life: CancellationToken,
) -> JoinHandle<TcpListener>
where
    F: Fn(SocketAddr, hyper::Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Reply, ConnectionClosed>> + Send + 'static,
{
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = life.cancelled() => return listener,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let handler = handler.clone();
            let life = life.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| handler(address, request));
                let io = TokioIo::new(stream);
                tokio::select! {
                    _ = http1::Builder::new().serve_connection(io, service) => {}
                    () = life.cancelled() => {}
                }
            });
        }
    })
}
