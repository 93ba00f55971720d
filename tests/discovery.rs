//! What discovery may do to a node: objects laid out in any way, silence.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// Two app servers and discovery that lists the first; the node is held to know that list.
fn two() -> ([App; 2], Discovery, String) {
    let apps = [App::start(|_| Reply::ok("old")), App::start(|_| Reply::ok("new"))];
    let list = listing(1, true, &[target("a", apps[0].address, "north", "SERVING")]);
    (apps, Discovery::start(list.clone()), list)
}

/// The change by which the second takes the place of the first.
fn change(apps: &[App; 2]) -> String {
    let gone = target("a", apps[0].address, "north", "DELETED");
    listing(2, false, &[gone, target("b", apps[1].address, "north", "SERVING")])
}

fn indented(json: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(json).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

#[test]
fn a_change_that_comes_indented_is_taken_as_it_is() {
    for whole in [true, false] {
        let (apps, discovery, list) = two();
        // Where calls are not free there is one at a time: else a slow answer leads to a second watch.
        let settings = SETTINGS.replace("automatic", "subscribe");
        let node = Node::start(&config(discovery.address, &list, &settings, 1024));
        until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
        let change = indented(&change(&apps));
        if whole {
            discovery.push(&change);
        } else {
            change.lines().for_each(|line| discovery.push(line));
        }
        until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
        let counts = (discovery.lists.load(Ordering::SeqCst), discovery.watched.load(Ordering::SeqCst));
        assert_eq!(counts, (0, 1));
    }
}

#[test]
fn an_object_that_stops_half_way_is_not_waited_for() {
    let (apps, discovery, list) = two();
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let half = indented(&change(&apps));
    let listed = listing(2, true, &[target("b", apps[1].address, "north", "SERVING")]);
    discovery.set(listed);
    discovery.write(&half[..half.len() / 2]);
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    assert_eq!(discovery.lists.load(Ordering::SeqCst), 1);
}

#[test]
fn a_call_left_unanswered_keeps_no_other_from_being_made() {
    let (apps, discovery, list) = two();
    discovery.fall_silent(true);
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("a call that stays unanswered is ended", || discovery.held().1 > 0);
    // Others were made while it was still open.
    assert!(discovery.held().0 >= 2);
    discovery.fall_silent(false);
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    until("the others are ended", || {
        let (calls, ended) = discovery.held();
        calls == ended
    });
    discovery.push(&change(&apps));
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_it_counts_as_told() {
    let (_apps, discovery, list) = two();
    let _node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    let silent = Instant::now();
    until("it is watched anew", || discovery.watched.load(Ordering::SeqCst) == 2);
    // It counts as told after 6 s, and the answer may still take its time.
    assert!(silent.elapsed() < Duration::from_millis(4500), "{:?}", silent.elapsed());
}

#[test]
fn a_node_that_starts_with_an_old_list_is_not_ready_before_it_is_told() {
    let (apps, discovery, list) = two();
    let drained = target("a", apps[0].address, "north", "DRAINING");
    discovery.fall_silent(true);
    let node = Node::spawn(&config(discovery.address, &list, SETTINGS, 1024));
    assert_eq!(node.up(), Some(503));
    discovery.fall_silent(false);
    discovery.push(&listing(2, false, &[drained]));
    // Not ready by that list either, and it holds.
    for _ in 0..20 {
        assert_eq!(node.up(), Some(503));
    }
    discovery.push(&listing(3, false, &[target("b", apps[1].address, "north", "SERVING")]));
    until("the node is up", || node.up() == Some(200));
}

#[test]
fn a_node_that_starts_while_discovery_is_silent_serves_by_the_list_it_knows() {
    let (_apps, discovery, list) = two();
    discovery.fall_silent(true);
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    assert_eq!(node.ask(&request("read", "r")).body, b"old");
}

#[test]
fn an_object_cut_off_by_the_end_of_its_watch_comes_again_with_the_next() {
    let (apps, discovery, list) = two();
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let change = change(&apps);
    discovery.write(&change[..change.len() - 10]);
    discovery.hang_up();
    until("a second watch", || discovery.watched.load(Ordering::SeqCst) == 2);
    assert_eq!(node.ask(&request("read", "r")).body, b"old");
    discovery.push(&change);
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    assert_eq!(discovery.lists.load(Ordering::SeqCst), 0);
}

#[test]
fn a_list_that_stops_half_way_is_not_waited_for() {
    let (_apps, discovery, _) = two();
    discovery.stall();
    let begun = Instant::now();
    let node = Node::start(&config(discovery.address, "null", SETTINGS, 1024));
    assert_eq!(node.ask(&request("read", "r")).body, b"old");
    // What the agent holds counts as told: 3 s, as for a list service far away, would be too long.
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    assert_eq!(discovery.lists.load(Ordering::SeqCst), 1);
}

#[test]
fn an_agent_that_refuses_all_calls_leaves_the_list_that_is_known_in_force() {
    for mode in ["automatic", "subscribe"] {
        let (apps, discovery, list) = two();
        let settings = SETTINGS.replace("automatic", mode);
        // Nobody listens there.
        let refusing = Blocked::new().address;
        let node = Node::start(&config(refusing, &list, &settings, 1024));
        assert_eq!(node.ask(&request("read", "r")).body, b"old");
        discovery.set(listing(2, true, &[target("b", apps[1].address, "north", "SERVING")]));
        node.reload(&config(discovery.address, &list, &settings, 1024));
        until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    }
}

/// A list of so many servers, all at the address of one.
fn long_list(servers: usize) -> String {
    let app = App::start(|_| Reply::ok("old"));
    let named = |n| target(&format!("s-{n:08x}"), app.address, &format!("zone-{}", n % 16), "SERVING");
    listing(7, true, &(0..servers).map(named).collect::<Vec<_>>())
}

fn with_memory(config: &str, memory_mb: u32) -> String {
    config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
}

#[test]
fn a_list_of_47_000_servers_is_taken_at_the_first_call_within_64_mb() {
    const SERVERS: usize = 47_000;
    let discovery = Discovery::start(long_list(SERVERS));
    let config = config(discovery.address, "null", SETTINGS, 1024);
    let node = Node::start(&with_memory(&config, 64));
    assert_eq!(node.ask(&request("read", "r")).body, b"old");
    assert_eq!(discovery.lists.load(Ordering::SeqCst), 1);
    assert!(node.peak_memory() < 64 << 10, "{} KB", node.peak_memory());
    // And once more in the place of the first, as it comes where a watch was lost for long.
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    discovery.push(&long_list(SERVERS));
    discovery.push(&listing(
        8,
        true,
        &[target("z", App::start(|_| Reply::ok("new")).address, "", "SERVING")],
    ));
    until("the last list is in force", || node.ask(&request("read", "r")).body == b"new");
    assert!(node.peak_memory() < 64 << 10, "{} KB", node.peak_memory());
}

#[test]
fn unusable_answers_of_every_kind_are_backed_off_from() {
    const CALLS: usize = 9;
    let answer = |status: &str, body: &str, length: usize| {
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
    };
    let list = long_list(1100);
    let kinds = [
        ("too long", answer("200 OK", &list, list.len())),
        ("unreadable", answer("200 OK", "nonsense", 8)),
        ("cut", answer("200 OK", &list[..1000], list.len())),
        ("refused", answer("503 Service Unavailable", "", 0)),
    ];
    for (kind, raw) in kinds {
        let (_apps, discovery, _) = two();
        discovery.answer_raw(Some(raw));
        let config = config(discovery.address, "null", SETTINGS, 1024);
        // So little that a thousand servers and some are the most that are believed.
        let node = Node::spawn(&with_memory(&config, 1));
        until("some calls were made", || discovery.calls() > 0);
        let begun = Instant::now();
        until("more calls were made", || discovery.calls() >= CALLS);
        // Half of 50, 100, 200, 400 and 800 ms, and of 1.5 s from then on, all but the first.
        assert!(begun.elapsed() > Duration::from_millis(2500), "{kind}: {:?}", begun.elapsed());
        discovery.answer_raw(None);
        until("the node is up", || node.up() == Some(200));
    }
}

#[test]
fn a_node_that_holds_a_list_and_whose_watch_is_refused_asks_for_no_whole_list() {
    for mode in ["automatic", "subscribe"] {
        let (apps, discovery, list) = two();
        discovery.answer_raw(Some(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec()));
        let settings = SETTINGS.replace("automatic", mode);
        let node = Node::spawn(&config(discovery.address, &list, &settings, 1024));
        until("some calls were refused", || discovery.watched.load(Ordering::SeqCst) >= 4);
        discovery.answer_raw(None);
        discovery.push(&change(&apps));
        until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
        assert_eq!(discovery.lists.load(Ordering::SeqCst), 0, "{mode}");
    }
}

#[test]
fn a_list_that_comes_slowly_in_pieces_is_taken_all_the_same() {
    for settings in [SETTINGS.to_owned(), SETTINGS.replace("automatic", "subscribe")] {
        let (_apps, discovery, _) = two();
        // Longer than a piece is usually waited for.
        discovery.slow_down(Duration::from_millis(400));
        let begun = Instant::now();
        let node = Node::start(&config(discovery.address, "null", &settings, 1024));
        assert_eq!(node.ask(&request("read", "r")).body, b"old");
        // What discovery has counts as told after 6 s.
        assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    }
}

#[test]
fn an_agent_that_answers_one_call_behind_another_is_not_kept_busy_with_calls_given_up() {
    let (_apps, discovery, _) = two();
    // Calls are made more often than this, and most are given up before their turn.
    discovery.crowd(Duration::from_millis(450));
    let node = Node::start(&config(discovery.address, "null", SETTINGS, 1024));
    assert_eq!(node.ask(&request("read", "r")).body, b"old");
}

#[test]
fn a_server_that_is_listed_without_an_address_is_never_chosen() {
    let app = App::start(|_| Reply::ok("x"));
    let nowhere = |uid: &str| {
        target(uid, app.address, "north", "SERVING").replace(&format!("\"{}\"", app.address), "null")
    };
    let mut list: Vec<String> = (0..9).map(|number| nowhere(&format!("n{number}"))).collect();
    list.push(target("a", app.address, "north", "SERVING"));
    let node = Node::with(&list);
    for number in 0..20 {
        assert_eq!(node.ask(&request("order", &format!("r{number}"))).status(), 200);
    }
}

/// Discovery whose every call is answered by a function of its own; gives where it listens.
fn answered_by(answer: impl Fn(&str, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                if let Some(call) = read_message(&mut stream) {
                    answer(&call.start, stream.into_inner());
                }
            });
        }
    });
    address
}

#[test]
fn a_long_list_that_keeps_coming_is_read_to_its_end() {
    const PIECES: usize = 24;
    // No piece is late, and all of them take longer than an answer usually may.
    const PAUSE: Duration = Duration::from_millis(180);
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let address = answered_by(move |call, mut stream| {
        let text = if call.contains("stream=1") {
            let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}")
        } else {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
            if stream.write_all(piece).is_err() {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        // A watch goes on.
        let _ = stream.read(&mut [0]);
    });
    let node = Node::start(&config(address, "null", SETTINGS, 1024));
    assert_eq!(node.ask(&request("read", "r")).body, b"x");
}

#[test]
fn changes_told_to_who_holds_no_list_are_no_list() {
    let app = App::start(|_| Reply::ok("x"));
    let known = listing(50, true, &[target("a", app.address, "north", "SERVING")]);
    let old = Discovery::start(known.clone());
    let node = Node::start(&config(old.address, &known, SETTINGS, 1024));
    // The new agent knows no server. Its whole list is lost on the way once.
    let lost = AtomicBool::new(false);
    let (whole, changes) = (listing(3, true, &[]), listing(3, false, &[]));
    let address = answered_by(move |call, mut stream| {
        if call.contains("stream=1") {
            let chunk = format!("{:x}\r\n{changes}\n\r\n", changes.len() + 1);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{chunk}").as_bytes());
            // It goes on, and says that nothing changes.
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_secs(1));
            }
        } else if lost.swap(true, Ordering::SeqCst) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
            let _ = stream.write_all(format!("{head}{whole}").as_bytes());
        }
    });
    let begun = Instant::now();
    node.reload(&config(address, "null", SETTINGS, 1024));
    until("the server that is on no list any more is forgotten", || node.up() == Some(503));
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
}

#[test]
fn a_node_that_holds_a_list_asks_for_its_changes_only() {
    let old = App::start(|_| Reply::ok("old"));
    let new = App::start(|_| Reply::ok("new"));
    let list = listing(1, true, &[target("a", old.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let gone = target("a", old.address, "north", "DELETED");
    discovery.push(&listing(2, false, &[gone, target("b", new.address, "north", "SERVING")]));
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    assert_eq!(discovery.lists.load(Ordering::SeqCst), 0);
}

#[test]
fn after_a_bad_line_the_list_is_fetched_anew() {
    let old = App::start(|_| Reply::ok("old"));
    let new = App::start(|_| Reply::ok("new"));
    let list = listing(1, true, &[target("a", old.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    discovery.set(listing(2, true, &[target("b", new.address, "north", "SERVING")]));
    let lists = discovery.lists.load(Ordering::SeqCst);
    discovery.push(r#"{"rev":2,"all":false,"targets":[{"uid":"#);
    until("the list is fetched anew", || discovery.lists.load(Ordering::SeqCst) > lists);
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
}

#[test]
fn a_watch_that_ends_or_falls_silent_is_opened_again() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let _node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    discovery.hang_up();
    until("a second watch", || discovery.watched.load(Ordering::SeqCst) == 2);
    // It sends no empty lines.
    until("a third watch", || discovery.watched.load(Ordering::SeqCst) == 3);
}
