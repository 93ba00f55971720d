//! Endpoints that drain, move, restart or leave the list while requests are on their way to them.

use crate::common::*;
use crate::support::*;
use std::sync::Mutex;

#[test]
fn a_drain_told_while_connecting_is_kept() {
    let (blocked, discovery, node, mut client) = waiting("\"cancel\": true");
    discovery.push(&listing(2, false, &[target("a", blocked.address, "north", "DRAINING")]));
    until("the node knows of the drain", || node.up() == Some(503));
    let written = blocked.release();
    // Nothing was written, so trying again is harmless.
    assert!(client.read().expect("an answer").refuses());
    assert_eq!(written.join().expect("no panic"), 0);
}

#[test]
fn a_server_that_moves_or_restarts_while_connecting_gets_nothing_by_the_old_connection() {
    for restarts in [true, false] {
        let (blocked, discovery, node, mut client) = waiting("\"cancel\": true");
        let app = App::start(|_| Reply::ok("moved"));
        // Another to go to tells too that the change has been heard.
        let other = target("b", app.address, "north", "SERVING");
        let changed = if restarts {
            let entry = target("a", blocked.address, "north", "SERVING");
            entry.replace("\"boot_ms\":0", "\"boot_ms\":1000")
        } else {
            target("a", app.address, "north", "SERVING")
        };
        discovery.push(&listing(2, false, &[changed, other]));
        until("the change is heard", || node.ask(&request("read", "r")).body == b"moved");
        let written = blocked.release();
        let answer = client.read().expect("an answer");
        assert_eq!(written.join().expect("no panic"), 0);
        assert!(answer.body == b"moved" || answer.refuses(), "{answer:?}");
    }
}

#[test]
fn a_drained_server_gets_nothing_new() {
    let apps = [App::start(|_| Reply::ok("x")), App::start(|_| Reply::ok("x"))];
    let list = listing(1, true, &[serving("a", &apps[0], "north"), serving("b", &apps[1], "north")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let drained = target("a", apps[0].address, "north", "DRAINING");
    node.ask(&request("read", "r0"));
    discovery.push(&listing(2, false, &[drained]));
    until("idle connections to it are closed", || {
        node.ask(&request("read", "r"));
        apps[0].open() == 0 && apps[1].seen() > 0
    });
    let before = apps[0].seen();
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("d{number}"))).status(), 200);
    }
    assert_eq!(apps[0].seen(), before);
}

#[test]
fn a_server_taken_off_the_list_may_finish_what_it_has() {
    for state in ["DRAINING", "DELETED"] {
        let (release, released) = std::sync::mpsc::channel::<()>();
        let released = Mutex::new(released);
        let app = App::start(move |_| {
            let _ = released.lock().expect("no panic").recv_timeout(PATIENCE);
            Reply::ok("done")
        });
        let list = listing(1, true, &[serving("a", &app, "north")]);
        let discovery = Discovery::start(list.clone());
        // An idle connection would be kept for longer than a test waits.
        let settings = SETTINGS.replace("\"keepaliveMs\": 15000", "\"keepaliveMs\": 120000");
        let node = Node::start(&config(discovery.address, &list, &settings, 1024));
        let mut client = node.client();
        client.write(request("order", "r1").as_bytes());
        until("the attempt is out", || app.seen() == 1);
        discovery.push(&listing(2, false, &[target("a", app.address, "north", state)]));
        until("the node knows", || node.up() == Some(503));
        release.send(()).expect("it waits");
        assert_eq!(client.read().map(|answer| answer.body), Some(b"done".to_vec()), "{state}");
        // What was open then is of no further use.
        until("its connection is closed", || app.open() == 0);
    }
}
