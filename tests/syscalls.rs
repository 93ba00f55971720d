//! System calls of a node that fail in ways that Linux documents.

mod support;

use ivygate_faults::{errno, Faults, Point};
use std::time::{Duration, Instant};
use support::*;

#[test]
fn a_log_that_cannot_be_written_stops_nothing() {
    for error in [errno::ENOSPC, errno::EIO, errno::EPIPE] {
        let faults = Faults::new().expect("a control file");
        // One request is beyond its quota, which is logged with the next housekeeping.
        let app = App::start(|request| match &*id_of(request) {
            "silent" => Reply::Silence,
            id => Reply::ok(id),
        });
        let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
        let discovery = Discovery::start(list.clone());
        let node = Node::start_with(&config(discovery.address, &list, SETTINGS, 1024), &faults);
        faults.fail_often(Point::Log, 1000, error).expect("it is set");
        for number in 0..3 {
            node.ask(&request_with("read", &format!("q{number}"), "small", "15000m"));
        }
        until("the log was written in vain", || faults.injected(Point::Log).expect("it is told") > 0);
        // Timers still run: a request whose server is silent has its final answer in time.
        let begun = Instant::now();
        let answer = node.ask(&request_with("order", "silent", "large", "2500m"));
        assert!(answer.fails() && begun.elapsed() < Duration::from_millis(3000), "{:?}", begun.elapsed());
    }
}
