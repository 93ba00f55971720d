use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::advance;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";

/// Serves one request on each connection, with the connection's number, and `late` behind it once more.
async fn twice(listener: TcpListener, late: Duration) {
    // They stay open, and are of no further use.
    let mut streams = Vec::new();
    for number in 0..10u8 {
        let (mut stream, _) = listener.accept().await.expect("it is accepted");
        let read = stream.read(&mut [0; 1024]).await.expect("it is read");
        assert!(read > 0);
        let answer = [ANSWER, &[b'0' + number]].concat();
        stream.write_all(&answer).await.expect("it is written");
        sleep(late).await;
        let _ = stream.write_all(&answer).await;
        streams.push(stream);
    }
}

/// Serves any number of requests on each connection and counts those.
async fn serve(listener: TcpListener, accepted: Rc<Cell<usize>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        accepted.set(accepted.get() + 1);
        tokio::task::spawn_local(async move {
            while stream.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {
                let _ = stream.write_all(&[ANSWER, b"x"].concat()).await;
            }
        });
    }
}

#[tokio::test(start_paused = true)]
async fn no_request_waits_for_a_connection_to_have_rested() {
    const REQUESTS: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let place = EndpointInstance { address: listener.local_addr().expect("an address"), started_at: 0.0 };
    let upstream =
        UpstreamPool::new(ConnectionSettings { connect_timeout: 1_000.0, idle_timeout: None }, 100);
    let accepted = Rc::new(Cell::new(0));
    let attempt = || async {
        let request = || Some(Request::new(Full::default()));
        upstream.attempt(1, place, &AttemptProgress::default(), false, request, || true).await.outcome
    };
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(serve(listener, accepted.clone()));
    tasks
        .run_until(async {
            // The clock stands still, so that no connection comes to have rested unless somebody waits.
            for _ in 0..REQUESTS {
                assert_eq!(attempt().await, Outcome::Success);
            }
            assert_eq!(accepted.get(), REQUESTS);
            advance(CONNECTION_QUARANTINE).await;
            for _ in 0..REQUESTS {
                assert_eq!(attempt().await, Outcome::Success);
            }
            assert_eq!(accepted.get(), REQUESTS);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_second_answer_some_milliseconds_late_is_never_the_next_ones() {
    for (late, pause) in [(0, 0), (2, 0), (5, 0), (10, 0), (0, 15), (2, 15), (5, 15), (10, 15)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let place = EndpointInstance { address: listener.local_addr().expect("an address"), started_at: 0.0 };
        let server = tokio::spawn(twice(listener, Duration::from_millis(late)));
        let upstream =
            UpstreamPool::new(ConnectionSettings { connect_timeout: 1_000.0, idle_timeout: None }, 100);
        for number in 0..10u8 {
            let request = || Some(Request::new(Full::default()));
            let end = upstream.attempt(1, place, &AttemptProgress::default(), false, request, || true).await;
            assert_eq!((end.outcome, &*end.body), (Outcome::Success, &[b'0' + number][..]), "{late} ms");
            sleep(Duration::from_millis(pause)).await;
        }
        server.abort();
    }
}
