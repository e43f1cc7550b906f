//! Server connections whose requests take memory from a small account.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Draining, Handler, MemoryAccount, OutgoingResponse, Request,
    Reservation, Resource, ServerOptions, serve_connection,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Maximum time for an event that a test waits for, on a heavily loaded machine too.
const WAIT: Duration = Duration::from_secs(60);

/// Memory of the account in bytes.
const TOTAL: usize = 1_000_000;

/// Account that refuses what does not fit.
#[derive(Clone)]
struct SmallAccount {
    used: Arc<AtomicUsize>,
    short: watch::Receiver<bool>,
}

/// Memory that a message holds.
#[derive(Debug)]
struct Held {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

impl Reservation for Held {
    fn bytes(&self) -> usize {
        self.bytes
    }
}

impl MemoryAccount for SmallAccount {
    fn reserve(&self, _: usize, bytes: usize) -> BoxFuture<'static, Option<Box<dyn Reservation>>> {
        let used = Arc::clone(&self.used);
        Box::pin(async move {
            if used.load(Ordering::SeqCst) + bytes > TOTAL {
                return None;
            }
            used.fetch_add(bytes, Ordering::SeqCst);
            Some(Box::new(Held { bytes, used }) as Box<dyn Reservation>)
        })
    }

    fn largest_message(&self) -> usize {
        TOTAL
    }

    fn shortage(&self, resource: Resource) -> BoxFuture<'static, ()> {
        let mut short = self.short.clone();
        Box::pin(async move {
            if resource != Resource::Memory || short.wait_for(|s| *s).await.is_err() {
                std::future::pending().await
            }
        })
    }
}

/// Responds with the size of the body, to `/large` with a large body, and never to `/hang`.
struct SizeHandler;

impl Handler for SizeHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        Box::pin(async move {
            if &*request.target == "/hang" {
                return std::future::pending().await;
            }
            let mut response = OutgoingResponse::empty(StatusCode::OK);
            if &*request.target == "/large" {
                response.body = vec![b'x'; TOTAL].into();
                return response;
            }
            response.body = request.body.len().to_string().into();
            response
        })
    }
}

/// Server with one connection.
struct Server {
    used: Arc<AtomicUsize>,
    /// Sets whether memory is short.
    short: watch::Sender<bool>,
    client: TcpStream,
}

impl Server {
    async fn start() -> Self {
        let (short, receiver) = watch::channel(false);
        let used = Arc::new(AtomicUsize::new(0));
        let account = SmallAccount {
            used: Arc::clone(&used),
            short: receiver,
        };
        let options = ServerOptions {
            limits: DecodeLimits {
                head_bytes: 1024,
                body_bytes: 10 * TOTAL,
            },
            request_timeout: WAIT,
            idle_timeout: WAIT,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let addr = listener.local_addr().expect("listener has an address");
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("connection is accepted");
            let (_sender, draining) = watch::channel(Draining::No);
            // A test may close the connection early, which is an error here.
            let _ = serve_connection(stream, &SizeHandler, options, &account, draining).await;
        });
        let client = TcpStream::connect(addr).await.expect("connection opens");
        Self {
            used,
            short,
            client,
        }
    }

    /// Sends bytes; the server may have closed the connection.
    async fn send(&mut self, bytes: &[u8]) {
        let _ = timeout(WAIT, self.client.write_all(bytes)).await;
    }

    /// Returns what the server sends until it closes the connection.
    async fn receive_all(&mut self) -> String {
        let mut text = Vec::new();
        let read = timeout(WAIT, self.client.read_to_end(&mut text)).await;
        read.expect("connection closes").expect("no reset");
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Waits until this condition holds for the memory in use.
    async fn wait_for_used(&self, condition: impl Fn(usize) -> bool) {
        let waiting = async {
            while !condition(self.used.load(Ordering::SeqCst)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT, waiting).await.expect("memory changes");
    }
}

/// Returns the head of an upload with a declared length.
fn head(length: usize) -> String {
    format!("POST /x HTTP/1.1\r\ncontent-length: {length}\r\n\r\n")
}

// Guards against memory that is not given back when a request ends or its client leaves.
#[tokio::test]
async fn memory_is_given_back_when_a_request_ends() {
    let mut server = Server::start().await;
    server.send(head(300_000).as_bytes()).await;
    server.send(&vec![b'x'; 300_000]).await;
    let mut response = vec![0; 1024];
    let read = timeout(WAIT, server.client.read(&mut response)).await;
    let read = read.expect("response arrives").expect("connection is open");
    assert!(String::from_utf8_lossy(&response[..read]).ends_with("300000"));
    server.wait_for_used(|used| used == 0).await;
    server.send(head(300_000).as_bytes()).await;
    server.send(&vec![b'x'; 200_000]).await;
    server.wait_for_used(|used| used >= 100_000).await;
    server.client.shutdown().await.expect("client leaves");
    server.wait_for_used(|used| used == 0).await;
}

// Guards against a body that is read although it can never be held.
#[tokio::test]
async fn a_body_that_never_fits_is_refused_at_its_head() {
    let mut server = Server::start().await;
    server.send(head(2 * TOTAL).as_bytes()).await;
    assert!(server.receive_all().await.starts_with("HTTP/1.1 503"));
}

// Guards against a client that loses the refusal because the connection is reset while it sends.
#[tokio::test]
async fn a_client_that_goes_on_sending_gets_the_refusal() {
    let mut server = Server::start().await;
    server.send(head(2 * TOTAL).as_bytes()).await;
    for _ in 0..20 {
        server.send(&vec![b'x'; 100_000]).await;
        sleep(Duration::from_millis(30)).await;
    }
    assert!(server.receive_all().await.starts_with("HTTP/1.1 503"));
}

// Guards against a chunked body whose memory is not counted.
#[tokio::test]
async fn a_chunked_body_is_refused_when_its_memory_is_used_up() {
    let mut server = Server::start().await;
    let head = "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    server.send(head.as_bytes()).await;
    for _ in 0..20 {
        server.send(b"186a0\r\n").await;
        server.send(&vec![b'x'; 100_000]).await;
        server.send(b"\r\n").await;
    }
    assert!(server.receive_all().await.starts_with("HTTP/1.1 503"));
    server.wait_for_used(|used| used == 0).await;
}

// Guards against a client that holds memory others wait for and sends nothing more.
#[tokio::test]
async fn a_stalled_body_is_refused_when_memory_is_short() {
    let mut server = Server::start().await;
    server.send(head(300_000).as_bytes()).await;
    server.send(&vec![b'x'; 299_999]).await;
    server.wait_for_used(|used| used >= 280_000).await;
    server.short.send_replace(true);
    assert!(server.receive_all().await.starts_with("HTTP/1.1 503"));
    server.wait_for_used(|used| used == 0).await;
}

// Guards against pipelined requests whose heads and state are not counted.
#[tokio::test]
async fn pipelined_requests_take_memory() {
    let mut server = Server::start().await;
    let requests = "GET /hang HTTP/1.1\r\n\r\n".repeat(5);
    server.send(requests.as_bytes()).await;
    server.wait_for_used(|used| used >= 4 * 16 * 1024).await;
    server.client.shutdown().await.expect("client leaves");
    server.wait_for_used(|used| used == 0).await;
}

// Guards against requests that are not counted because each begins after the one before has ended,
// while the responses wait for a client that does not read.
#[tokio::test]
async fn requests_behind_unread_responses_take_memory() {
    let mut server = Server::start().await;
    // More than the sockets buffer.
    for _ in 0..20 {
        server.send(b"GET /large HTTP/1.1\r\n\r\n").await;
        sleep(Duration::from_millis(20)).await;
    }
    server.wait_for_used(|used| used >= 16 * 1024).await;
    server.client.shutdown().await.expect("client leaves");
    server.wait_for_used(|used| used == 0).await;
}
