//! A discovery agent that serves the endpoint lists and pushes the events that a test chooses.

use super::http::{read_message, HttpMessage};
use super::sockets::{is_closed_by_peer, write_endlessly};
use super::stub_endpoint::StubEndpoint;
use super::wait::wait_until;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Formats one entry of an endpoint list, as discovery writes it.
pub fn list_entry(uid: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Formats a complete endpoint list.
pub fn snapshot(revision: u64, entries: &[String]) -> String {
    endpoint_list(revision, true, entries)
}

/// Formats a change of the endpoint list.
pub fn delta(revision: u64, entries: &[String]) -> String {
    endpoint_list(revision, false, entries)
}

fn endpoint_list(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":{complete},"targets":[{}]}}"#, entries.join(","))
}

/// Formats a chunk of the response to a watch.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The head of the response to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Whether a call with this request line opens a watch.
pub fn is_watch(request_line: &str) -> bool {
    request_line.contains("stream=1")
}

/// The number of calls that were never answered or only in part.
pub struct UnansweredCalls {
    pub total: usize,
    /// How many of these calls the node has closed.
    pub closed: usize,
}

/// The behaviour of a discovery agent. Tests change it while the agent runs.
#[derive(Default)]
struct Behaviour {
    /// The list that the agent serves.
    list: String,
    /// Whether the next response with a list stops in the middle of the list.
    truncate_next_list: bool,
    /// The delay before each response and in the middle of each list.
    delay: Duration,
    /// Bytes sent in response to every call before its connection is closed.
    raw_response: Option<Vec<u8>>,
    /// What every call is answered with: some text once, and some again and again until the node hangs up.
    endless_response: Option<(&'static str, &'static str)>,
}

/// A discovery agent that runs on a thread of the test. Clones share its state.
#[derive(Clone)]
pub struct StubDiscovery {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    silent: Arc<AtomicBool>,
    /// Whether calls are delayed one after another; otherwise their delays overlap.
    serialized: Arc<AtomicBool>,
    serialization_lock: Arc<Mutex<()>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Calls that are never answered or only in part.
    unanswered: Arc<Mutex<Vec<TcpStream>>>,
    list_calls: Arc<AtomicUsize>,
    watch_calls: Arc<AtomicUsize>,
}

impl StubDiscovery {
    /// Starts an agent that serves a list of these entries with revision 1.
    pub fn with_endpoints(entries: &[String]) -> Self {
        Self::start(snapshot(1, entries))
    }

    /// Starts an agent that serves a list with many entries of one endpoint, so that the capacity that the node
    /// expects of each is no limit.
    pub fn with_many_entries(endpoint: &StubEndpoint) -> Self {
        let entries: Vec<String> = (0..64).map(|n| endpoint.entry(&format!("e{n}"))).collect();
        Self::with_endpoints(&entries)
    }

    /// Starts an agent that serves a list.
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let discovery = Self {
            address: listener.local_addr().expect("failed to get the local address"),
            behaviour: Arc::new(Mutex::new(Behaviour { list, ..Behaviour::default() })),
            silent: Arc::default(),
            serialized: Arc::default(),
            serialization_lock: Arc::default(),
            watches: Arc::default(),
            unanswered: Arc::default(),
            list_calls: Arc::default(),
            watch_calls: Arc::default(),
        };
        let acceptor = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.delay().is_zero() {
                    acceptor.answer(stream);
                } else {
                    let discovery = acceptor.clone();
                    std::thread::spawn(move || discovery.answer(stream));
                }
            }
        });
        discovery
    }

    fn update_behaviour(&self, update: impl FnOnce(&mut Behaviour)) {
        update(&mut self.behaviour.lock().expect("mutex poisoned"));
    }

    /// Returns the list that the agent serves.
    pub fn list(&self) -> String {
        self.behaviour.lock().expect("mutex poisoned").list.clone()
    }

    fn delay(&self) -> Duration {
        self.behaviour.lock().expect("mutex poisoned").delay
    }

    /// Replaces the list that the agent serves.
    pub fn set_list(&self, list: String) {
        self.update_behaviour(|behaviour| behaviour.list = list);
    }

    /// Stops the next response with a list in the middle of the list and leaves its connection open.
    pub fn truncate_next_list(&self) {
        self.update_behaviour(|behaviour| behaviour.truncate_next_list = true);
    }

    /// Sets the delay before each response and in the middle of each list.
    pub fn set_delay(&self, delay: Duration) {
        self.update_behaviour(|behaviour| behaviour.delay = delay);
    }

    /// Answers calls one after another, each with this delay.
    pub fn serialize_calls(&self, delay: Duration) {
        self.serialized.store(true, Ordering::SeqCst);
        self.set_delay(delay);
    }

    /// Answers every call with these bytes and closes its connection. `None` restores normal responses.
    pub fn set_raw_response(&self, raw: Option<Vec<u8>>) {
        self.update_behaviour(|behaviour| behaviour.raw_response = raw);
    }

    /// Answers every call with `first` once and `repeated` again and again until the node closes the call.
    pub fn set_endless_response(&self, first: &'static str, repeated: &'static str) {
        self.update_behaviour(|behaviour| behaviour.endless_response = Some((first, repeated)));
    }

    /// Sets whether new calls are accepted but never answered.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Returns how many calls for the list were answered.
    pub fn list_calls(&self) -> usize {
        self.list_calls.load(Ordering::SeqCst)
    }

    /// Returns how many watches were opened.
    pub fn watch_calls(&self) -> usize {
        self.watch_calls.load(Ordering::SeqCst)
    }

    /// Returns how many calls for the list or for a watch were answered.
    pub fn answered_calls(&self) -> usize {
        self.list_calls() + self.watch_calls()
    }

    /// Counts the calls that were accepted while the agent was silent, or whose list was truncated.
    pub fn unanswered_calls(&self) -> UnansweredCalls {
        let calls = self.unanswered.lock().expect("mutex poisoned");
        let closed = calls.iter().filter(|call| is_closed_by_peer(call)).count();
        UnansweredCalls { total: calls.len(), closed }
    }

    /// Waits until the node has opened a watch.
    pub fn wait_for_watch(&self) {
        wait_until("discovery is watched", || self.watch_calls() > 0);
    }

    /// Writes a line to all open watches. Waits until there is one.
    pub fn push(&self, line: &str) {
        self.push_text(&format!("{line}\n"));
    }

    /// Writes text to all open watches, in one chunk. Waits until there is one.
    pub fn push_text(&self, text: &str) {
        wait_until("discovery is watched", || !self.watches.lock().expect("mutex poisoned").is_empty());
        for watch in self.watches.lock().expect("mutex poisoned").iter_mut() {
            let _ = watch.write_all(chunk(text).as_bytes());
        }
    }

    /// Ends all watches.
    pub fn close_watches(&self) {
        self.watches.lock().expect("mutex poisoned").clear();
    }

    fn answer(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let Some(request) = read_message(&mut stream) else { return };
        self.delay_response();
        let (raw, endless) = {
            let behaviour = self.behaviour.lock().expect("mutex poisoned");
            (behaviour.raw_response.clone(), behaviour.endless_response)
        };
        let mut stream = stream.into_inner();
        if self.silent.load(Ordering::SeqCst) {
            self.unanswered.lock().expect("mutex poisoned").push(stream);
        } else if let Some((first, repeated)) = endless {
            self.count_call(&request);
            std::thread::spawn(move || write_endlessly(&mut stream, first, repeated));
        } else if let Some(raw) = raw {
            self.answer_raw(&request, stream, &raw);
        } else if is_watch(&request.start_line) {
            self.answer_watch(&request, stream);
        } else {
            self.answer_list(stream);
        }
    }

    fn delay_response(&self) {
        let guard = self
            .serialized
            .load(Ordering::SeqCst)
            .then(|| self.serialization_lock.lock().expect("mutex poisoned"));
        std::thread::sleep(self.delay());
        drop(guard);
    }

    fn answer_raw(&self, request: &HttpMessage, mut stream: TcpStream, raw: &[u8]) {
        let _ = stream.write_all(raw);
        self.count_call(request);
    }

    fn count_call(&self, request: &HttpMessage) {
        let calls = if is_watch(&request.start_line) { &self.watch_calls } else { &self.list_calls };
        calls.fetch_add(1, Ordering::SeqCst);
    }

    fn answer_watch(&self, request: &HttpMessage, mut stream: TcpStream) {
        let _ = stream.write_all(format!("{WATCH_HEAD}{}", chunk("\n")).as_bytes());
        // A node without a list gets the complete list.
        if request.start_line.contains("index=0 ") {
            self.write_slowly(&mut stream, chunk(&format!("{}\n", self.list())).as_bytes());
        }
        self.watches.lock().expect("mutex poisoned").push(stream);
        self.watch_calls.fetch_add(1, Ordering::SeqCst);
    }

    fn answer_list(&self, mut stream: TcpStream) {
        self.list_calls.fetch_add(1, Ordering::SeqCst);
        let list = self.list();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let mut truncate = false;
        self.update_behaviour(|behaviour| truncate = std::mem::take(&mut behaviour.truncate_next_list));
        let end = if truncate { text.len() - list.len() / 2 } else { text.len() };
        self.write_slowly(&mut stream, &text.as_bytes()[..end]);
        if truncate {
            self.unanswered.lock().expect("mutex poisoned").push(stream);
        }
    }

    /// Writes bytes in two halves, with the delay between them.
    fn write_slowly(&self, stream: &mut TcpStream, bytes: &[u8]) {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        let _ = stream.write_all(first);
        std::thread::sleep(self.delay());
        let _ = stream.write_all(second);
    }
}
