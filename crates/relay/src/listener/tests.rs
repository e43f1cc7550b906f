use cornelvalve_kernel::{Kernel, ServiceOptions, SystemClock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use super::*;
use crate::names::ENTRY;

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(10),
    unacknowledged: Duration::from_secs(10),
    keepalive: Duration::from_secs(10),
};

/// Time for which the service waits for its connections; long, because the computer may be heavily
/// loaded.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

// Guards against a stop that cuts off a request that was just read.
#[tokio::test]
async fn a_stopping_listener_lets_its_connections_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let listener = Arc::new(listener);
    let (started, mut requests) = mpsc::unbounded_channel();
    let kernel = Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(STATS, ServiceOptions::default(), |mut context| async move {
            context.stop.requested().await;
            Ok(())
        })
        .add_service(ENTRY, ServiceOptions::default(), move |context| {
            let (listener, started) = (Arc::clone(&listener), started.clone());
            async move {
                let serve = move |mut stream: TcpStream, _| {
                    let started = started.clone();
                    async move {
                        let request = stream.read_u8().await.expect("request arrives");
                        started.send(()).expect("test runs");
                        sleep(Duration::from_millis(50)).await;
                        stream.write_u8(request).await.expect("response is sent");
                    }
                };
                let bound = ConnectionBound::silent(ConnectionKind::Caller, 1);
                run_listener(context, &listener, TIMEOUTS, bound, CLOSE_TIMEOUT, serve).await
            }
        })
        .start();
    let mut stream = TcpStream::connect(addr).await.expect("listener accepts");
    stream.write_u8(7).await.expect("request is sent");
    requests.recv().await.expect("request is read");
    kernel.stop(CLOSE_TIMEOUT).await;
    assert_eq!(stream.read_u8().await.expect("response arrives"), 7);
}
