use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{advance, sleep};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
const ENDPOINT: EndpointId = 1;
const MAX_CONNECTIONS: usize = 100;

fn pool() -> UpstreamPool {
    UpstreamPool::new(ConnectionSettings { connect_timeout: 1_000.0, idle_timeout: None }, MAX_CONNECTIONS)
}

async fn listener() -> (TcpListener, EndpointInstance) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let instance = EndpointInstance { address: listener.local_addr().expect("an address"), started_at: 0.0 };
    (listener, instance)
}

/// One attempt of an idempotent request that may be sent, on a connection that may be kept.
async fn attempt(pool: &UpstreamPool, instance: EndpointInstance) -> AttemptEnd {
    let request = || Some(Request::new(Full::default()));
    pool.attempt(ENDPOINT, instance, &AttemptProgress::default(), Idempotency::Idempotent, request, || true)
        .await
}

/// Serves one request on each connection, with the connection's number, and responds once more after a delay.
async fn respond_twice(listener: TcpListener, delay: Duration) {
    // They stay open, and are of no further use.
    let mut streams = Vec::new();
    for number in 0..10u8 {
        let (mut stream, _) = listener.accept().await.expect("it is accepted");
        let read = stream.read(&mut [0; 1024]).await.expect("it is read");
        assert!(read > 0);
        let response = [RESPONSE, &[b'0' + number]].concat();
        stream.write_all(&response).await.expect("it is written");
        sleep(delay).await;
        let _ = stream.write_all(&response).await;
        streams.push(stream);
    }
}

/// Serves any number of requests on each connection and counts the connections.
async fn serve(listener: TcpListener, accepted: Rc<Cell<usize>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        accepted.set(accepted.get() + 1);
        tokio::task::spawn_local(async move {
            while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {
                let _ = stream.write_all(&[RESPONSE, b"x"].concat()).await;
            }
        });
    }
}

#[tokio::test(start_paused = true)]
async fn opens_connections_rather_than_waiting_for_quarantine() {
    const REQUESTS: usize = 10;
    let (listener, instance) = listener().await;
    let pool = pool();
    let accepted = Rc::new(Cell::new(0));
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(serve(listener, accepted.clone()));
    tasks
        .run_until(async {
            // The clock stands still, so that no quarantine ends unless somebody waits.
            for _ in 0..REQUESTS {
                assert_eq!(attempt(&pool, instance).await.outcome, Outcome::Success);
            }
            assert_eq!(accepted.get(), REQUESTS);
            advance(CONNECTION_QUARANTINE).await;
            for _ in 0..REQUESTS {
                assert_eq!(attempt(&pool, instance).await.outcome, Outcome::Success);
            }
            assert_eq!(accepted.get(), REQUESTS);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn does_not_read_late_second_response_as_next_response() {
    for (delay, pause) in [(0, 0), (2, 0), (5, 0), (10, 0), (0, 15), (2, 15), (5, 15), (10, 15)] {
        let (listener, instance) = listener().await;
        let server = tokio::spawn(respond_twice(listener, Duration::from_millis(delay)));
        let pool = pool();
        for number in 0..10u8 {
            let end = attempt(&pool, instance).await;
            assert_eq!((end.outcome, &*end.body), (Outcome::Success, &[b'0' + number][..]), "{delay} ms");
            sleep(Duration::from_millis(pause)).await;
        }
        server.abort();
    }
}
