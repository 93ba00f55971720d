//! Hundreds of clients at once that write slowly, stop in the middle of a request, or send heads of very many
//! fields: the node stays within its memory limit and serves others.

mod support;

use std::time::Duration;
use support::*;

/// Memory limits in MiB and limits on descriptors of the nodes.
const LIMITS: [(u32, usize); 2] = [(32, 256), (32, 1024)];
/// Number of clients that are connected at once: as many as the node holds, or more.
const CLIENTS: usize = 600;
/// Length of the longest body.
const BODY_LENGTH: usize = 64 << 10;
/// Id of the request of another client.
const USUAL: &str = "usual";
/// Length of the pieces that slow clients write.
const PIECE_LENGTH: usize = 1_000;

/// Returns the head of a request with additional fields and a body of this length.
fn head(number: usize, fields: &str, body_length: usize) -> String {
    let request = request_with("order", &format!("r{number}"), "large", "2000m");
    let request = request.replace("b4d65521", &format!("b4d6{number:04x}"));
    let length = format!("Content-Length: {body_length}\r\n{fields}");
    request.replace("Content-Length: 4\r\n", &length).trim_end_matches("body").to_owned()
}

/// Connects [`CLIENTS`] clients to a node, lets each write what `input` returns for its number, piece by piece
/// in turns, and asks for a usual answer. The node must stay within its limits.
fn assert_withstands_clients(label: &str, pieces: usize, input: impl Fn(usize) -> String) {
    for (memory_mb, descriptors) in LIMITS {
        let endpoint = StubEndpoint::start(|request| match request.request_id() {
            USUAL => Reply::ok(USUAL),
            _ => Reply::Silence,
        });
        let discovery = StubDiscovery::with_many_entries(&endpoint);
        let config = NodeConfig::with_list_of(&discovery).memory_mb(memory_mb).sockets(descriptors);
        let mut node = Node::start(&config);
        let inputs: Vec<String> = (0..CLIENTS).map(&input).collect();
        let mut clients = node.connect_many(CLIENTS);
        for client in &clients {
            let timeout = Some(Duration::from_millis(200));
            client.stream.get_ref().set_write_timeout(timeout).expect("failed to set the write timeout");
        }
        let piece_length = inputs[0].len().div_ceil(pieces);
        for piece in 0..pieces {
            for (client, input) in clients.iter_mut().zip(&inputs) {
                let end = input.len().min((piece + 1) * piece_length);
                client.write(&input.as_bytes()[end.min(piece * piece_length)..end]);
            }
        }
        wait_until("the usual request is served", || {
            node.send(&request("read", USUAL)).body == USUAL.as_bytes()
        });
        let memory_kib = node.peak_memory_kib();
        println!("{label}: {memory_kib} KiB of {memory_mb} MiB, {descriptors} descriptors");
        assert!(memory_kib <= u64::from(memory_mb) << 10, "{label}, {memory_mb} MiB: {memory_kib} KiB");
        assert!(node.descriptors() <= descriptors && node.is_running(), "{label}");
    }
}

// Reported from other deployments: clients that wrote slowly took a process over its memory limit.
#[test]
fn slow_writers_take_no_more_than_the_memory_limit() {
    let body = "x".repeat(BODY_LENGTH - 1);
    assert_withstands_clients("slow", BODY_LENGTH / PIECE_LENGTH, |number| {
        head(number, "", BODY_LENGTH) + &body
    });
}

// The same with clients that stopped half way through a large request.
#[test]
fn half_written_requests_take_no_more_than_the_memory_limit() {
    let half = "x".repeat(BODY_LENGTH / 2);
    assert_withstands_clients("half", 1, |number| head(number, "", BODY_LENGTH) + &half);
}

// The same with heads of very many short fields: complete, unfinished, and more than any request has.
#[test]
fn heads_of_many_fields_take_no_more_than_the_memory_limit() {
    let fields = |count: usize| (0..count).map(|n| format!("f{n}:\r\n")).collect::<String>();
    let (most, excess) = (fields(85), fields(2_000));
    assert_withstands_clients("complete head", 1, |number| head(number, &most, 4) + "body");
    assert_withstands_clients("unfinished head", 1, |number| {
        head(number, &most, 4).trim_end_matches("\r\n").to_owned()
    });
    assert_withstands_clients("excessive head", 1, |number| head(number, &excess, 4) + "body");
    let same_name = "f:\r\n".repeat(85);
    assert_withstands_clients("repeated field", 1, |number| head(number, &same_name, 4) + "body");
    // As long as a head may be, complete and with the first half of a body behind it.
    let long = (0..85).map(|n| format!("f{n}: {}\r\n", "v".repeat(160))).collect::<String>();
    assert_withstands_clients("unfinished long head", 1, |number| {
        head(number, &long, 4).trim_end_matches("\r\n").to_owned()
    });
    assert_withstands_clients("long head", 1, |number| head(number, &long, 4) + "body");
    let half = "x".repeat(BODY_LENGTH / 2);
    assert_withstands_clients("long head, half body", 1, |number| head(number, &long, BODY_LENGTH) + &half);
}
