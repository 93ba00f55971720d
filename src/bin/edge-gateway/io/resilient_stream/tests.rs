use super::*;
use std::future::poll_fn;
use std::net::TcpStream as BlockingTcpStream;
use tokio::net::TcpListener;

/// Reads or writes that one poll may make at most, far above the runtime's budget for a task.
const MAX_CALLS_PER_POLL: usize = 1_000;

/// Returns a stream and its peer.
async fn connect() -> (ResilientStream, BlockingTcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let peer = BlockingTcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().await.expect("the connection is accepted");
    (ResilientStream::new(stream), peer)
}

/// Makes calls in one poll of this task until one is pending. Returns the number of calls before that.
async fn calls_until_pending(mut call: impl FnMut(&mut Context<'_>) -> Poll<()>) -> usize {
    poll_fn(|cx| {
        let calls = (0..MAX_CALLS_PER_POLL).take_while(|_| call(cx).is_ready()).count();
        Poll::Ready(calls)
    })
    .await
}

// Reads after a short read bypass the runtime. They did not count towards its budget for a task, so a task
// whose peer always had more to read never yielded to the others.
#[tokio::test]
async fn yields_although_every_short_read_finds_more_data() {
    let (mut stream, mut peer) = connect().await;
    peer.write_all(b"x").expect("the peer writes");
    stream.get_ref().readable().await.expect("the data is reported");
    let reads = calls_until_pending(|cx| {
        peer.write_all(b"x").expect("the peer writes");
        let mut bytes = [0; 16];
        let read = Pin::new(&mut stream).poll_read(cx, &mut ReadBuf::new(&mut bytes));
        read.map(|result| result.expect("the stream is read"))
    });
    assert!(reads.await < MAX_CALLS_PER_POLL);
}

#[tokio::test]
async fn yields_although_every_short_write_frees_the_buffer() {
    let (mut stream, mut peer) = connect().await;
    let bytes = vec![0; 8 << 20];
    let mut received = vec![0; bytes.len()];
    stream.get_ref().writable().await.expect("the socket is writable");
    let writes = calls_until_pending(|cx| {
        let written = Pin::new(&mut stream).poll_write(cx, &bytes);
        written.map(|result| {
            let written = result.expect("the stream is written");
            peer.read_exact(&mut received[..written]).expect("the peer reads");
        })
    });
    assert!(writes.await < MAX_CALLS_PER_POLL);
}

#[tokio::test]
async fn continues_reading_after_it_has_yielded() {
    const BYTES: usize = 1 << 20;
    let (mut stream, mut peer) = connect().await;
    let writer = std::thread::spawn(move || peer.write_all(&vec![7; BYTES]).map(|()| peer));
    let mut received = 0;
    while received < BYTES {
        let mut bytes = [0; 100];
        let mut read = ReadBuf::new(&mut bytes);
        poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, &mut read)).await.expect("the stream is read");
        assert!(read.filled().iter().all(|byte| *byte == 7) && !read.filled().is_empty());
        received += read.filled().len();
    }
    assert!(writer.join().expect("the thread ends").is_ok());
}
