//! Booking servers: each serves requests behind a proxy, may restart, and may answer badly.

use super::http::{read_message, Message};
use super::oracle::{Arrival, Oracle};
use super::proxy::Proxy;
use super::settings::Rules;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Requests that a server works on at once; beyond that it turns them away.
const SLOTS: usize = 24;

/// How a server answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Manner {
    /// Well.
    #[default]
    Good,
    /// Never.
    Hanging,
    /// Sometimes with an error, sometimes by turning away.
    Failing,
    /// Sometimes with what is no answer, or with more than the answer.
    Spoilt,
    /// Well, but without a length.
    WithoutLength,
}

/// A booking server and the proxy before it.
pub struct Server {
    /// Its name on the list.
    pub uid: String,
    /// Its zone.
    pub zone: &'static str,
    /// The proxy that nodes connect to.
    pub proxy: Arc<Proxy>,
    /// When it last started, in Unix time; 0 for long ago.
    pub boot_ms: AtomicU64,
    manner: Mutex<Manner>,
    busy: AtomicUsize,
    work: Duration,
    oracle: Arc<Oracle>,
}

impl Server {
    /// Starts one that has run for long.
    pub async fn start(
        uid: String,
        zone: &'static str,
        rules: &Rules,
        oracle: Arc<Oracle>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy::start(listener.local_addr()?).await?;
        let server = Arc::new(Self {
            uid,
            zone,
            proxy,
            boot_ms: AtomicU64::new(0),
            manner: Mutex::default(),
            busy: AtomicUsize::new(0),
            work: rules.work,
            oracle,
        });
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = serving.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        Ok(server)
    }

    /// Where nodes connect.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Its process is a new one from now on: it is cold, and its connections are reset.
    pub async fn restart(&self) -> io::Result<()> {
        self.proxy.close();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.boot_ms.store(now, Ordering::SeqCst);
        self.oracle.started(&self.uid, now);
        self.proxy.open().await
    }

    /// Answers so from now on.
    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap_or_else(PoisonError::into_inner) = manner;
    }

    fn manner(&self) -> Manner {
        *self.manner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut stream).await {
            let Some(arrival) = self.arrival(&request) else { return };
            let Some(number) = self.oracle.arrived(&arrival) else { return };
            let answer = self.answer(&arrival.id).await;
            let declined = answer.declined;
            let written = match answer.bytes {
                Some(bytes) => stream.write_all(&bytes).await.is_ok(),
                None => {
                    // Says nothing for as long as the other side waits.
                    let _ = stream.read(&mut [0]).await;
                    false
                }
            };
            self.oracle.ended(&arrival.id, number, declined);
            if !written || answer.closes {
                return;
            }
        }
    }

    fn arrival(&self, request: &Message) -> Option<Arrival> {
        let told = request.header("req-deadline")?;
        let told_ms = match told.strip_suffix('u') {
            Some(micros) => micros.parse::<f64>().ok()? / 1_000.0,
            None => told.strip_suffix('m')?.parse().ok()?,
        };
        let capped = request.header("api-plan") == Some("capped");
        let units =
            request.header("api-terms").and_then(|terms| terms.split(',').next()?.strip_prefix("units="));
        Some(Arrival {
            id: request.header("req-id")?.to_owned(),
            began: request.began.unwrap_or_else(Instant::now),
            server: self.uid.clone(),
            zone: self.zone.to_owned(),
            boot_ms: self.boot_ms.load(Ordering::SeqCst),
            told_ms,
            units: units.and_then(|units| units.parse().ok()).unwrap_or(1.0),
            capped_customer: request.header("cookie").filter(|_| capped).map(str::to_owned),
        })
    }

    async fn answer(&self, id: &str) -> Answer {
        let (chance, length) = {
            let mut rng = rand::rng();
            (rng.random_range(0..10), 0.5 + rng.random::<f64>())
        };
        let manner = self.manner();
        let declines = manner == Manner::Failing && chance < 3;
        if self.busy.fetch_add(1, Ordering::SeqCst) >= SLOTS || declines {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return Answer::declined();
        }
        sleep(self.work.mul_f64(length)).await;
        self.busy.fetch_sub(1, Ordering::SeqCst);
        let body = format!("{id} by {}", self.uid);
        let good =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nApi-Usage: 40\r\n\r\n{body}", body.len());
        match (manner, chance) {
            (Manner::Hanging, _) => Answer { bytes: None, declined: false, closes: true },
            (Manner::Failing, 3..=5) => {
                Answer::bytes("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            }
            (Manner::Spoilt, 0) => Answer::bytes("noise\r\n\r\n"),
            (Manner::Spoilt, 1) => {
                Answer::bytes(format!("{good}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
            }
            (Manner::Spoilt, 2) => Answer::bytes(good.replace("Api-Usage: 40", "Api-Usage: none")),
            (Manner::Spoilt, 3) => Answer::bytes(format!("HTTP/1.1 103 Early Hints\r\n\r\n{good}")),
            (Manner::Spoilt, 4) => Answer::bytes("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"),
            (Manner::WithoutLength, _) => {
                let bytes = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}").into_bytes();
                Answer { bytes: Some(bytes), declined: false, closes: true }
            }
            _ => Answer::bytes(good),
        }
    }
}

/// What a server writes.
struct Answer {
    /// Nothing, if it says nothing.
    bytes: Option<Vec<u8>>,
    /// The request was turned away unseen.
    declined: bool,
    /// The connection ends behind it.
    closes: bool,
}

impl Answer {
    fn bytes(bytes: impl Into<String>) -> Self {
        Self { bytes: Some(bytes.into().into_bytes()), declined: false, closes: false }
    }

    fn declined() -> Self {
        let bytes = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        Self { declined: true, ..Self::bytes(bytes) }
    }
}
