//! An endpoint that holds back the ends of its responses until it is told to release them.

use super::Direction;
use crate::nodes::standins::{read_message, spawn_thread};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long the test waits for the endpoint's responses. Requests that were rejected have none.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A stand-in for an endpoint. It responds at once to GET, and to POST as the direction of the case says.
pub struct PausingEndpoint {
    /// Listen address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    /// The response to POST but for its end, and its end.
    response: (Vec<u8>, Vec<u8>),
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    is_released: bool,
    paused: usize,
    accepted: usize,
    bytes_written: u64,
}

impl PausingEndpoint {
    /// Starts an endpoint on a free port. It runs until the program exits.
    pub fn start(direction: Direction, body_length: usize, piece_length: usize) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let response = match direction {
            Direction::Requests => (Vec::new(), SHORT_RESPONSE.to_vec()),
            Direction::Responses => (chunked_response(body_length, piece_length), b"0\r\n\r\n".to_vec()),
        };
        let shared = Arc::new(Shared { response, state: Mutex::default(), changed: Condvar::new() });
        let accepting = shared.clone();
        spawn_thread(move || {
            for stream in listener.incoming().flatten() {
                accepting.state().accepted += 1;
                let shared = accepting.clone();
                let _ = spawn_thread(move || drop(shared.serve(stream)));
            }
        })?;
        Ok(Self { address, shared })
    }

    /// Waits until this many responses are written but for their ends, for some time.
    pub fn wait_until_paused(&self, responses: usize) {
        let state = self.shared.state();
        let is_missing = |state: &mut State| state.paused < responses;
        // The result only says whether the time was over.
        drop(self.shared.changed.wait_timeout_while(state, PAUSE_TIMEOUT, is_missing));
    }

    /// Has all responses end, those that are written later as well.
    pub fn release(&self) {
        self.shared.state().is_released = true;
        self.shared.changed.notify_all();
    }

    /// Number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.shared.state().accepted
    }

    /// Number of bytes of responses to POST.
    pub fn bytes_written(&self) -> u64 {
        self.shared.state().bytes_written
    }
}

/// The response to GET.
const SHORT_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A response whose body has this length and comes in chunks of `piece_length`, without its end.
fn chunked_response(body_length: usize, piece_length: usize) -> Vec<u8> {
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut remaining = body_length;
    while remaining > 0 {
        let length = piece_length.min(remaining);
        response.extend(format!("{length:x}\r\n{}\r\n", "x".repeat(length)).bytes());
        remaining -= length;
    }
    response
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        while let Some(request_line) = read_message(&mut stream)? {
            if request_line.starts_with("GET") {
                stream.get_mut().write_all(SHORT_RESPONSE)?;
            } else {
                self.respond(stream.get_mut())?;
            }
        }
        Ok(())
    }

    fn respond(&self, stream: &mut TcpStream) -> io::Result<()> {
        let (beginning, end) = &self.response;
        stream.write_all(beginning)?;
        let mut state = self.state();
        state.paused += 1;
        state.bytes_written += (beginning.len() + end.len()) as u64;
        self.changed.notify_all();
        let is_waiting = |state: &mut State| !state.is_released;
        drop(self.changed.wait_while(state, is_waiting).unwrap_or_else(PoisonError::into_inner));
        stream.write_all(end)
    }
}
