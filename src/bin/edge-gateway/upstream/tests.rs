use super::read_allowance::MAX_HEAD_SIZE;
use super::*;
use crate::telemetry::metrics::MessageKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{advance, sleep};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
const ENDPOINT: EndpointId = 1;
const MAX_CONNECTIONS: usize = 100;

const RESPONSE_MEMORY: usize = 1 << 20;

fn pool() -> UpstreamPool {
    let memory = MemoryPool::new(MessageKind::Response, RESPONSE_MEMORY);
    let settings = ConnectionSettings { connect_timeout: 1_000.0, idle_timeout: None };
    UpstreamPool::new(settings, MAX_CONNECTIONS, memory)
}

async fn listener() -> (TcpListener, EndpointInstance) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let instance =
        EndpointInstance { address: listener.local_addr().expect("a local address"), started_at: 0.0 };
    (listener, instance)
}

/// Makes one attempt of an idempotent request and keeps the connection if possible.
async fn attempt(pool: &UpstreamPool, instance: EndpointInstance) -> AttemptEnd {
    let request = || Some(Request::new(Full::default()));
    pool.attempt(ENDPOINT, instance, &AttemptProgress::default(), Idempotency::Idempotent, request, || true)
        .await
}

/// Reads one request on each connection and responds with the connection's number, again after a delay.
async fn respond_twice(listener: TcpListener, delay: Duration) {
    // Keeps the connections open.
    let mut streams = Vec::new();
    for number in 0..10u8 {
        let (mut stream, _) = listener.accept().await.expect("the connection is accepted");
        let read = stream.read(&mut [0; 1024]).await.expect("the request is read");
        assert!(read > 0);
        let response = [RESPONSE, &[b'0' + number]].concat();
        stream.write_all(&response).await.expect("the response is written");
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
            // The clock is paused: only an attempt that waits sees a quarantine end and reuses a connection.
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

// An endpoint may send a second response to a request some milliseconds after the first. On a connection that
// is reused too early, the next request would get that response, which may be for another customer.
#[tokio::test(start_paused = true)]
async fn does_not_read_late_second_response_as_next_response() {
    // How long after the first response the second one is sent, and the pause between attempts, in ms.
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

/// Sends one response on each connection: `first`, `repeated` this many times, and a final response.
async fn respond_after(listener: TcpListener, first: &'static [u8], repeated: &'static [u8], count: usize) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let read = stream.read(&mut [0; 1024]).await.expect("the request is read");
        assert!(read > 0);
        // Fails once the node has closed the connection.
        let _ = stream.write_all(&[first, &repeated.repeat(count), RESPONSE, b"x"].concat()).await;
    }
}

// Endless interim responses, or an endless chunk size, occupied the attempt until its timeout. Meanwhile the
// node parsed all data that the endpoint could send.
#[tokio::test]
async fn fails_response_with_more_bytes_than_a_valid_one() {
    const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let endless = 4 << 20;
    // The first bytes, the repeated bytes, the number of repetitions, and the outcome.
    let cases: [(&[u8], &[u8], usize, Outcome); 5] = [
        (b"", INTERIM, 1, Outcome::Success),
        (b"", INTERIM, MAX_HEAD_SIZE / INTERIM.len() - 1, Outcome::Success),
        (b"", INTERIM, endless / INTERIM.len(), Outcome::Error),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", endless / 25, Outcome::Error),
        (CHUNKED, b"0", endless, Outcome::Error),
    ];
    for (first, repeated, count, outcome) in cases {
        let (listener, instance) = listener().await;
        let server = tokio::spawn(respond_after(listener, first, repeated, count));
        let end = attempt(&pool(), instance).await;
        assert_eq!(end.outcome, outcome, "{count} times {:?}", String::from_utf8_lossy(repeated));
        server.abort();
    }
}

// The limit is for one response: many on one connection together are longer.
#[tokio::test(start_paused = true)]
async fn accepts_many_long_responses_on_one_connection() {
    let (listener, instance) = listener().await;
    let body = vec![b'x'; MAX_BODY_SIZE];
    // The longest framing in use: chunks of one byte.
    let chunks = b"1\r\nx\r\n".repeat(MAX_BODY_SIZE);
    let response =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &*chunks, b"0\r\n\r\n"].concat();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the connection is accepted");
        while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {
            stream.write_all(&response).await.expect("the response is written");
        }
    });
    let pool = pool();
    for _ in 0..5 {
        let end = attempt(&pool, instance).await;
        assert_eq!((end.outcome, &*end.body), (Outcome::Success, &*body));
        advance(CONNECTION_QUARANTINE).await;
    }
    server.abort();
}

// The responses of all attempts together took as much memory as their endpoints sent.
#[tokio::test]
async fn response_is_not_read_before_there_is_memory_for_it() {
    /// Enough for the response to be received and read, if there were memory for it.
    const POLLS: usize = 1_000;
    let (listener, instance) = listener().await;
    let pool = pool();
    let reserved = pool.response_memory.try_reserve(RESPONSE_MEMORY).expect("the memory is free");
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(serve(listener, Rc::default()));
    tasks
        .run_until(async {
            let mut attempt = std::pin::pin!(attempt(&pool, instance));
            let polls = async {
                for _ in 0..POLLS {
                    tokio::task::yield_now().await;
                }
            };
            tokio::select! {
                _ = &mut attempt => panic!("there is no memory for the response"),
                () = polls => {}
            }
            drop(reserved);
            assert_eq!(attempt.await.outcome, Outcome::Success);
        })
        .await;
}
