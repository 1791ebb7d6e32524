//! What the close of a server waits for on a connection whose last request was refused.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lanedeck::net::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest body, in bytes.
const BODY_MAX: usize = 16 << 20;

/// A server that answers each request and discards its body.
async fn refusing_server() -> (Server, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::default();
    server.listen(listener, |socket| {
        let read_state = socket.read_state();
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            read_state.discard(request.into_body(), BODY_MAX);
            let body = Full::new(Bytes::from_static(b"ok"));
            async { Ok::<_, Infallible>(http::Response::new(body)) }
        });
        http1::Builder::new().serve_connection(TokioIo::new(socket), service)
    });
    (server, address)
}

/// A connection on which a request has been answered and half of its body of 8 bytes has been sent.
async fn refused(address: SocketAddr) -> TcpStream {
    let mut line = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 8\r\n\r\nhalf";
    line.write_all(head).await.unwrap();
    let mut first = [0; 1_024];
    let length = line.read(&mut first).await.unwrap();
    assert!(first[..length].ends_with(b"ok"));
    line
}

/// A close waits as long for a refused body that has come whole as for one that never does, 2 s. The order of
/// events: a request is refused on a kept connection; the rest of its body comes; the server closes. The cause: the
/// library tells the end of a body to who reads it only with the next head.
#[tokio::test]
async fn whole_body_discarded() {
    let (server, address) = refusing_server().await;
    let mut never = refused(address).await;
    sleep(Duration::from_millis(300)).await;
    let mut whole = refused(address).await;
    whole.write_all(b"half").await.unwrap();
    server.close().await;
    let (mut one, mut other) = ([0; 1], [0; 1]);
    let is_first = tokio::select! {
        _ = whole.read(&mut one) => true,
        _ = never.read(&mut other) => false,
    };
    assert!(is_first, "what has come ends before what does not come");
    server.closed().await;
}

/// Callers see their connection end over the first half of a head that was read, although the rest comes within the
/// time that a close waits for it. The order of events: a request is refused on a kept connection while its body
/// comes; the server closes; the rest of the body comes, and half of the next head; the discarded body is no longer
/// waited for; the rest of the head comes. The cause: `drive` looks whether something is unanswered, then waits for
/// the discarded body, and acts on the look from before.
#[tokio::test]
async fn head_after_discard() {
    let (server, address) = refusing_server().await;
    let mut line = refused(address).await;
    // What is left of the body is waited for up to 2 s.
    sleep(Duration::from_millis(1_700)).await;
    server.close().await;
    sleep(Duration::from_millis(100)).await;
    line.write_all(b"halfGET / HTTP/1.1\r\nho").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let sent = line.write_all(b"st: h\r\n\r\n").await;
    let mut answer = Vec::new();
    let ended = line.read_to_end(&mut answer).await;
    assert!(
        sent.is_ok() && ended.is_ok() && answer.ends_with(b"ok"),
        "{sent:?}, {ended:?}, {} bytes",
        answer.len()
    );
    server.closed().await;
}
