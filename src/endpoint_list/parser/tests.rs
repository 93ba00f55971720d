use super::super::TargetState;
use super::*;

/// Entries for which there is room.
const MOST: usize = 4;

/// All listings of a text that comes in pieces of this length.
fn read(text: &str, piece: usize) -> Result<Vec<Listing>, Unreadable> {
    let (mut reader, mut found) = (ListingReader::new(MOST), Vec::new());
    for data in text.as_bytes().chunks(piece) {
        reader.push(data, |listing| found.push(listing))?;
    }
    assert!(!reader.begun());
    Ok(found)
}

fn entry(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:80","state":"SERVING","more":[1,{{"x":"]"}}]}}"#)
}

fn listing(rev: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

#[test]
fn listings_are_read_alike_however_they_are_laid_out_and_come() {
    let tricky = r#"{"uid":"a}\"{[\\","state":"DRAINING"}"#;
    let plain = listing(1, &[]);
    let indented = "{\n  \"rev\": 2,\n  \"all\": false,\n  \"targets\": [\n    {\"uid\": \"b\", \
                    \"state\": \"DELETED\"\n    }\n  ]\n}";
    let entries_first =
        format!(r#"{{"targets":[{tricky} , {}],"other":{{"targets":[7]}},"rev":3,"all":true}}"#, entry("c"));
    let without = r#"{"all":false,"rev":4}"#;
    let text = format!("\n{plain}\n\r\n  {indented}\n\n{entries_first}{without}\n");
    for piece in 1..text.len() {
        let found = read(&text, piece).expect("it can be read");
        let heads: Vec<_> = found.iter().map(|listing| (listing.rev, listing.all)).collect();
        assert_eq!(heads, [(1, true), (2, false), (3, true), (4, false)]);
        let uids = |n: usize| found[n].targets.iter().map(|t| t.uid.as_str()).collect::<Vec<_>>();
        assert_eq!((uids(0), uids(1), uids(2), uids(3)), (vec![], vec!["b"], vec!["a}\"{[\\", "c"], vec![]));
        assert_eq!(found[1].targets[0].state, TargetState::Deleted);
        assert_eq!(found[2].targets[1].endpoint, "127.0.0.1:80".parse().ok());
    }
}

#[test]
fn a_listing_is_read_as_the_parser_reads_it_whole() {
    let text = listing(7, &[entry("a"), entry("b"), entry("c"), entry("d")]);
    let whole: Listing = serde_json::from_str(&text).expect("it can be read");
    assert_eq!(read(&text, text.len()), Ok(vec![whole]));
}

#[test]
fn what_is_no_listing_is_unreadable() {
    let broken = [
        "nonsense\n",
        "[1]\n",
        "}\n",
        "{}\n",
        "{\"rev\":1,\"all\":true} 7\n",
        "{\"rev\":1,\"all\":true}\n\"{}\"\n",
        r#"{"rev":1,"all":true,"targets":7}"#,
        r#"{"rev":1,"all":true,"targets":[7]}"#,
        r#"{"rev":1,"all":true,"targets":[,]}"#,
        r#"{"rev":1,"all":true,"targets":[],"targets":[]}"#,
        r#"{"rev":-1,"all":true,"targets":[]}"#,
        r#"{"rev":1,"all":true,"targets":[{"uid":"a"}]}"#,
    ];
    for text in broken {
        assert_eq!(read(text, 1), Err(Unreadable), "{text}");
    }
    let (a, b) = (entry("a"), entry("b"));
    for entries in [format!("{a} {b}"), format!("{a},"), format!(",{a}"), format!("{a},,{b}")] {
        assert_eq!(read(&listing(1, std::slice::from_ref(&entries)), 1), Err(Unreadable), "{entries}");
    }
}

#[test]
fn what_is_too_large_is_unreadable() {
    let long = "x".repeat(TEXT_MOST);
    for text in [format!(r#"{{"rev":1,"{long}"#), listing(1, &[entry(&long)])] {
        let mut reader = ListingReader::new(MOST);
        assert_eq!(reader.push(text.as_bytes(), |_| ()), Err(Unreadable));
    }
    let entries = vec![entry("a"); MOST];
    assert!(read(&listing(1, &entries), 1).is_ok());
    assert_eq!(read(&listing(1, &[entries, vec![entry("a")]].concat()), 1), Err(Unreadable));
}
