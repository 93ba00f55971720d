//! Clients that leave while their request waits, in every way in which one can leave.

mod support;

use std::net::Shutdown;
use std::time::Duration;
use support::*;

#[test]
fn however_a_client_leaves_its_waiting_request_is_given_up() {
    let next = request("order", "r2");
    let half = &next[..next.len() / 2];
    let much = request("read", "r3").repeat(3000);
    // What it says behind its request, and whether it ends its sending only.
    for (behind, half_closes) in [
        ("", false),
        (&*next, false),
        (half, false),
        (&*much, false),
        ("", true),
        (&*next, true),
        (&*much, true),
    ] {
        let (blocked, _discovery, node, mut client) = waiting("\"cancel\": true");
        let port = client.stream.get_ref().local_addr().expect("an address");
        client.write(behind.as_bytes());
        client.stream.get_ref().shutdown(Shutdown::Write).expect("it can be ended");
        let kept = half_closes.then_some(client);
        until("its connection is closed", || !is_held(node.address, port));
        until("the one to the app server is given up", || !connects(blocked.address));
        drop(kept);
    }
}

#[test]
fn requests_that_come_ahead_of_an_answer_are_answered_in_turn() {
    let app = App::start(|request| {
        std::thread::sleep(Duration::from_millis(20));
        Reply::ok(request.header("req-id").expect("an id"))
    });
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    let name = |n: usize| format!("r{n}");
    // The first alone, so that the others come while it is open; the last ones in two pieces.
    client.write(request("order", &name(0)).as_bytes());
    until("the first is out", || app.seen() == 1);
    let others: String = (1..40).map(|n| request(["order", "read", "edit"][n % 3], &name(n))).collect();
    let (one, two) = others.split_at(others.len() - 100);
    client.write(one.as_bytes());
    for n in 0..40 {
        if n == 20 {
            client.write(two.as_bytes());
        }
        assert_eq!(client.read().expect("an answer").body, name(n).as_bytes());
    }
}

#[test]
fn who_sends_too_much_ahead_has_an_answer_and_no_more() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(300)));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the first is out", || app.seen() == 1);
    client.write(request("read", "r2").repeat(3000).as_bytes());
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.read().is_none());
    assert_eq!(app.seen(), 1);
}
