//! What a closing server waits for on a connection whose last request was refused before its body was complete.

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

/// Maximum size of a request's body, in bytes.
const BODY_MAX: usize = 16 << 20;

/// A server that responds to each request at once and discards its body.
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

/// A connection on which half of a request's body of 8 bytes has been sent and the response has been received.
async fn refused_halfway(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 8\r\n\r\nhalf";
    stream.write_all(head).await.unwrap();
    let mut response = [0; 1_024];
    let length = stream.read(&mut response).await.unwrap();
    assert!(response[..length].ends_with(b"ok"));
    stream
}

/// Guards against a close that waits 2 s for a refused body that has been received completely, as long as for one that
/// never is. A request is refused on a kept-alive connection, the rest of its body arrives, and the server closes. The
/// HTTP library reports the end of a body to its reader only once the next head arrives.
#[tokio::test]
async fn whole_body_discarded() {
    let (server, address) = refusing_server().await;
    let mut incomplete = refused_halfway(address).await;
    sleep(Duration::from_millis(300)).await;
    let mut complete = refused_halfway(address).await;
    complete.write_all(b"half").await.unwrap();
    server.close().await;
    let (mut buffer, mut other_buffer) = ([0; 1], [0; 1]);
    let is_first = tokio::select! {
        _ = complete.read(&mut buffer) => true,
        _ = incomplete.read(&mut other_buffer) => false,
    };
    assert!(
        is_first,
        "the connection with the complete body has to end first"
    );
    server.closed().await;
}

/// Guards against a close that ends a connection after the first half of a head, although the rest arrives within the
/// time that a close waits for it. A request is refused on a kept-alive connection while its body arrives; the server
/// closes; the rest of the body and half of the next head arrive; the wait for the discarded body ends; the rest of the
/// head arrives. It happens if the close checks for an incomplete head only before it waits for the discarded body.
#[tokio::test]
async fn head_after_discard() {
    let (server, address) = refusing_server().await;
    let mut stream = refused_halfway(address).await;
    // The server waits up to 2 s for the rest of the body.
    sleep(Duration::from_millis(1_700)).await;
    server.close().await;
    sleep(Duration::from_millis(100)).await;
    stream.write_all(b"halfGET / HTTP/1.1\r\nho").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let sent = stream.write_all(b"st: h\r\n\r\n").await;
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer).await;
    assert!(
        sent.is_ok() && ended.is_ok() && answer.ends_with(b"ok"),
        "{sent:?}, {ended:?}, {} bytes",
        answer.len()
    );
    server.closed().await;
}
