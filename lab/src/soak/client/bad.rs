//! Bad clients, which send malformed or incomplete requests.

use super::Clients;
use crate::soak::http::write_endlessly;
use crate::soak::node::Node;
use crate::soak::oracle::{Occurrence, Rule};
use rand::rngs::StdRng;
use rand::Rng;
use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A bad client must get an error or have its connection closed within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Additional scheduling delay that is tolerated, since all processes share one busy machine.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(300);
/// Range of the pause between two requests of a bad client, in milliseconds.
const PAUSE_MS: Range<u64> = 50..400;

/// What is wrong with the request of a bad client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    NotHttp,
    Incomplete,
    UnknownClass,
    NegativeUnits,
    TwoLengths,
    Empty,
    EndlessHeader,
    EndlessChunkSize,
}

const DEFECTS: [Defect; 8] = [
    Defect::NotHttp,
    Defect::Incomplete,
    Defect::UnknownClass,
    Defect::NegativeUnits,
    Defect::TwoLengths,
    Defect::Empty,
    Defect::EndlessHeader,
    Defect::EndlessChunkSize,
];

impl Defect {
    /// Returns the bytes of a valid request changed so that it has this defect.
    fn apply(self, text: &str, rng: &mut StdRng) -> Vec<u8> {
        match self {
            Self::NotHttp => b"\x16\x03\x01 noise \r\n\r\n".to_vec(),
            Self::Incomplete => text.as_bytes()[..rng.random_range(1..text.len() - 1)].to_vec(),
            Self::UnknownClass => text.replace("Req-Kind: ", "Req-Kind: no").into_bytes(),
            Self::NegativeUnits => text.replace("units=1", "units=-1").into_bytes(),
            Self::TwoLengths => {
                let lengths = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\nHost:";
                text.replace("Host:", lengths).into_bytes()
            }
            Self::Empty => Vec::new(),
            Self::EndlessHeader => format!("{}X-Pad: ", head_lines(text)).into_bytes(),
            Self::EndlessChunkSize => {
                format!("{}Transfer-Encoding: chunked\r\n\r\n", head_lines(text)).into_bytes()
            }
        }
    }

    /// What is sent again and again behind the request, as fast as the node reads it.
    fn endless_input(self) -> Option<&'static [u8]> {
        match self {
            Self::EndlessHeader => Some(b"p"),
            Self::EndlessChunkSize => Some(b"0"),
            _ => None,
        }
    }

    /// Whether the node waits for further bytes, so that only the end of the connection is expected.
    fn is_incomplete(self) -> bool {
        matches!(self, Self::Incomplete | Self::Empty)
    }
}

/// Returns the request line and the headers, without the empty line that ends them.
fn head_lines(text: &str) -> &str {
    text.find("\r\n\r\n").map_or(text, |end| &text[..end + "\r\n".len()])
}

impl Clients {
    /// Runs one client that sends bad requests until the run is over.
    pub async fn run_bad_client(self: Arc<Self>, mut rng: StdRng) {
        while !self.stopped() {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            let node = self.nodes[rng.random_range(0..self.nodes.len())].clone();
            if node.in_rotation() {
                self.send_bad_request(&node, &mut rng).await;
            }
        }
    }

    async fn send_bad_request(&self, node: &Node, rng: &mut StdRng) {
        let incarnation = node.incarnation();
        let text = self.draw_request(rng).text;
        let defect = DEFECTS[rng.random_range(0..DEFECTS.len())];
        let bytes = defect.apply(&text, rng);
        let limit = BAD_CLIENT_TIMEOUT + SCHEDULING_TOLERANCE;
        let ended = timeout(limit, exchange(node, &bytes, defect)).await;
        let same_process = !node.was_killed(incarnation) && node.incarnation() == incarnation;
        if ended.is_err() && same_process {
            let detail = format!(
                "node {}: {defect:?} request got neither an error nor a close within {limit:?}",
                node.rank
            );
            self.oracle.report_violation(Rule::FinalResponse, detail);
        }
        self.oracle.count(Occurrence::BadClient);
    }
}

/// Writes a bad request and waits for the first bytes of a response, or for the end of the connection if the
/// node waits for further bytes.
async fn exchange(node: &Node, bytes: &[u8], defect: Defect) -> io::Result<()> {
    const BUFFER_BYTES: usize = 1024;
    let mut stream = TcpStream::connect(node.address).await?;
    let mut buffer = [0; BUFFER_BYTES];
    if let Some(repeated) = defect.endless_input() {
        let (mut reader, mut writer) = stream.split();
        tokio::select! {
            read = reader.read(&mut buffer) => { read?; }
            () = write_endlessly(&mut writer, bytes, repeated) => {}
        }
        return Ok(());
    }
    stream.write_all(bytes).await?;
    while stream.read(&mut buffer).await? > 0 {
        if !defect.is_incomplete() {
            break;
        }
    }
    Ok(())
}
