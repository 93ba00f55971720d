//! A proxy before each booking server, in which the network fails: resets, ends, silence and delays on the way back,
//! resets within a request, idle connections that are closed. Request bytes are passed on at once or not at all, so
//! that the times that a server sees are those of the nodes.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Most bytes that are passed on at a time.
const PIECE: usize = 16 << 10;
/// A proxy that was closed can be opened again within this time.
const REOPEN_WITHIN: Duration = Duration::from_secs(1);

/// What the network does to connections of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Weather {
    /// Nothing.
    #[default]
    Fair,
    /// Some connections are reset within a request.
    ResetRequests,
    /// Some are reset before or within an answer.
    ResetAnswers,
    /// Some end, in good order, within an answer.
    EndAnswers,
    /// Answers come late.
    Delay(Duration),
    /// Nothing is passed on either way, and nothing is said.
    Silence,
    /// Connections are closed whenever nothing was passed on for this long.
    CloseIdle(Duration),
}

/// A proxy that runs until it is dropped.
pub struct Proxy {
    /// Where nodes connect.
    pub address: SocketAddr,
    weather: watch::Sender<Weather>,
    task: Mutex<Option<JoinHandle<()>>>,
    target: SocketAddr,
}

impl Proxy {
    /// Starts one before a server.
    pub async fn start(target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (weather, _) = watch::channel(Weather::Fair);
        let proxy = Arc::new(Self { address, weather, task: Mutex::default(), target });
        proxy.run(listener);
        Ok(proxy)
    }

    /// Sets what the network does from now on.
    pub fn set(&self, weather: Weather) {
        self.weather.send_replace(weather);
    }

    /// Refuses connections from now on, and resets the open ones.
    pub fn close(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Takes connections again at the same address.
    pub async fn open(self: &Arc<Self>) -> io::Result<()> {
        self.close();
        let begun = Instant::now();
        loop {
            match self.listen() {
                Ok(listener) => {
                    self.run(listener);
                    return Ok(());
                }
                // The task that held the listener has not ended yet.
                Err(_) if begun.elapsed() < REOPEN_WITHIN => sleep(Duration::from_millis(1)).await,
                Err(error) => return Err(error),
            }
        }
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(128)
    }

    fn run(self: &Arc<Self>, listener: TcpListener) {
        let (weather, target) = (self.weather.subscribe(), self.target);
        let task = tokio::spawn(async move {
            // Connections end with the task that holds them.
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(relay(stream, target, weather.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.close();
    }
}

/// How a connection ends.
enum Ended {
    InOrder,
    Reset,
}

async fn relay(node: TcpStream, target: SocketAddr, weather: watch::Receiver<Weather>) {
    // Whatever ends this task early resets the connection.
    let _ = socket2::SockRef::from(&node).set_linger(Some(Duration::ZERO));
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (node.set_nodelay(true), server.set_nodelay(true));
    if let Ended::InOrder = pass_on(node_and(&node), &node, server, weather).await {
        let _ = socket2::SockRef::from(&node).set_linger(None);
    }
}

/// A generator of its own for each connection.
fn node_and(node: &TcpStream) -> StdRng {
    StdRng::seed_from_u64(node.peer_addr().map_or(0, |peer| u64::from(peer.port())))
}

async fn pass_on(
    mut rng: StdRng,
    node: &TcpStream,
    mut server: TcpStream,
    weather: watch::Receiver<Weather>,
) -> Ended {
    let (mut request, mut answer) = (vec![0; PIECE], vec![0; PIECE]);
    loop {
        let now = *weather.borrow();
        if now == Weather::Silence {
            let mut weather = weather.clone();
            tokio::select! {
                // A machine that is back knows nothing of its connections.
                _ = weather.changed() => return Ended::Reset,
                // A node that gives up is noticed all the same.
                () = ended(node) => return Ended::InOrder,
            }
        }
        let idle = if let Weather::CloseIdle(idle) = now { idle } else { Duration::from_secs(60) };
        tokio::select! {
            read = read(node, &mut request) => match read {
                Ok(0) | Err(_) => return Ended::InOrder,
                Ok(length) => {
                    let cut = now == Weather::ResetRequests && rng.random_ratio(1, 5);
                    let passed = if cut { rng.random_range(0..length) } else { length };
                    if server.write_all(&request[..passed]).await.is_err() || cut {
                        return Ended::Reset;
                    }
                }
            },
            read = server.read(&mut answer) => match read {
                Ok(0) => return Ended::InOrder,
                Err(_) => return Ended::Reset,
                Ok(length) => {
                    if let Weather::Delay(most) = now {
                        sleep(most.mul_f64(rng.random())).await;
                    }
                    // The end in good order of an answer without a length is its end.
                    let ends = now == Weather::EndAnswers && has_length(&answer[..length]);
                    let cuts = now == Weather::ResetAnswers || ends;
                    let cut = cuts && rng.random_ratio(1, 5);
                    let passed = if cut { rng.random_range(0..length) } else { length };
                    if write(node, &answer[..passed]).await.is_err() || cut {
                        let in_order = now == Weather::EndAnswers;
                        return if in_order { Ended::InOrder } else { Ended::Reset };
                    }
                }
            },
            () = sleep(idle) => return Ended::InOrder,
        }
    }
}

/// Whether an answer tells its length.
fn has_length(answer: &[u8]) -> bool {
    const HEADER: &[u8] = b"Content-Length: ";
    answer.windows(HEADER.len()).any(|window| window == HEADER)
}

/// Reads what a node has sent.
async fn read(node: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        node.readable().await?;
        match node.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes to a node.
async fn write(node: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        node.writable().await?;
        match node.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Ready once a node has ended its connection; what it sends is left unread.
async fn ended(node: &TcpStream) {
    const LOOK: Duration = Duration::from_millis(5);
    while !matches!(node.peek(&mut [0]).await, Ok(0) | Err(_)) {
        sleep(LOOK).await;
    }
}
