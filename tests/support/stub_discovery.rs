//! A discovery agent that serves and pushes the lists it is told to.

use super::http::read_message;
use super::sockets::is_over;
use super::wait::until;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One entry of the list, as discovery words it.
pub fn target(uid: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn listing(rev: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// Discovery; it gives the list that it has been set to and pushes lines to those who watch.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<String>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    silent: Arc<AtomicBool>,
    /// The next list stops half way.
    stalls: Arc<AtomicBool>,
    /// How long it takes to begin an answer, and to go on in the middle of an object.
    pause: Arc<Mutex<Duration>>,
    /// Whether calls wait for each other.
    one_by_one: Arc<AtomicBool>,
    turn: Arc<Mutex<()>>,
    /// What every call is answered with, before its connection is closed.
    raw: Arc<Mutex<Option<Vec<u8>>>>,
    /// Calls that came while it was silent; they are never answered.
    held: Arc<Mutex<Vec<TcpStream>>>,
    /// How often the list was asked for.
    pub lists: Arc<AtomicUsize>,
    /// How often a watch was opened.
    pub watched: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = Self {
            address: listener.local_addr().expect("an address"),
            list: Arc::new(Mutex::new(list)),
            watches: Arc::default(),
            silent: Arc::default(),
            stalls: Arc::default(),
            pause: Arc::default(),
            one_by_one: Arc::default(),
            turn: Arc::default(),
            raw: Arc::default(),
            held: Arc::default(),
            lists: Arc::default(),
            watched: Arc::default(),
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.pause().is_zero() {
                    served.answer(stream);
                } else {
                    let served = served.clone();
                    std::thread::spawn(move || served.answer(stream));
                }
            }
        });
        discovery
    }

    fn pause(&self) -> Duration {
        *self.pause.lock().expect("no panic")
    }

    /// Takes this long from now on to begin an answer, and to go on in the middle of an object.
    pub fn slow_down(&self, pause: Duration) {
        *self.pause.lock().expect("no panic") = pause;
    }

    /// Answers calls one behind another from now on, each of which takes this long.
    pub fn crowd(&self, pause: Duration) {
        self.one_by_one.store(true, Ordering::SeqCst);
        self.slow_down(pause);
    }

    /// Writes an object, in two halves if it is slow.
    fn write_slowly(&self, stream: &mut TcpStream, object: &[u8]) {
        let (first, second) = object.split_at(object.len() / 2);
        let _ = stream.write_all(first);
        std::thread::sleep(self.pause());
        let _ = stream.write_all(second);
    }

    fn answer(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let Some(request) = read_message(&mut stream) else { return };
        // Where it is crowded, one call is answered behind another.
        let turn = self.one_by_one.load(Ordering::SeqCst).then(|| self.turn.lock().expect("no panic"));
        std::thread::sleep(self.pause());
        drop(turn);
        let raw = self.raw.lock().expect("no panic").clone();
        if self.silent.load(Ordering::SeqCst) {
            self.held.lock().expect("no panic").push(stream.into_inner());
        } else if let Some(raw) = raw {
            let _ = stream.get_mut().write_all(&raw);
            let calls = if request.start.contains("stream=1") { &self.watched } else { &self.lists };
            calls.fetch_add(1, Ordering::SeqCst);
        } else if request.start.contains("stream=1") {
            let _ = stream
                .get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            if request.start.contains("index=0 ") {
                // Who holds nothing is told all first.
                let list = self.list.lock().expect("no panic").clone();
                let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
                self.write_slowly(stream.get_mut(), chunk.as_bytes());
            }
            self.watches.lock().expect("no panic").push(stream.into_inner());
            self.watched.fetch_add(1, Ordering::SeqCst);
        } else {
            self.lists.fetch_add(1, Ordering::SeqCst);
            let list = self.list.lock().expect("no panic").clone();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let stalls = self.stalls.swap(false, Ordering::SeqCst);
            let end = if stalls { text.len() - list.len() / 2 } else { text.len() };
            self.write_slowly(stream.get_mut(), &text.as_bytes()[..end]);
            if stalls {
                self.held.lock().expect("no panic").push(stream.into_inner());
            }
        }
    }

    /// Answers every call with these bytes and closes, or as usual again.
    pub fn answer_raw(&self, raw: Option<Vec<u8>>) {
        *self.raw.lock().expect("no panic") = raw;
    }

    /// Calls that were answered.
    pub fn calls(&self) -> usize {
        self.lists.load(Ordering::SeqCst) + self.watched.load(Ordering::SeqCst)
    }

    /// Lets the next list stop half way, its connection open.
    pub fn stall(&self) {
        self.stalls.store(true, Ordering::SeqCst);
    }

    pub fn set(&self, list: String) {
        *self.list.lock().expect("no panic") = list;
    }

    /// Takes calls and leaves them unanswered from now on, or answers new ones again.
    pub fn fall_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// How many calls were left unanswered, and how many of those the node has ended.
    pub fn held(&self) -> (usize, usize) {
        let held = self.held.lock().expect("no panic");
        (held.len(), held.iter().filter(|call| is_over(call)).count())
    }

    /// Writes a line to all who watch, of which there must be one.
    pub fn push(&self, line: &str) {
        self.write(&format!("{line}\n"));
    }

    /// Writes a piece of text to all who watch, of which there must be one.
    pub fn write(&self, text: &str) {
        until("discovery is watched", || !self.watches.lock().expect("no panic").is_empty());
        for watch in self.watches.lock().expect("no panic").iter_mut() {
            let _ = watch.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
    }

    /// Ends all watches.
    pub fn hang_up(&self) {
        self.watches.lock().expect("no panic").clear();
    }
}
