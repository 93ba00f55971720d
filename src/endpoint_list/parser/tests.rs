//! Tests of the parser on complete texts, split into chunks of any length.

use super::super::ListedStatus;
use super::*;

/// Maximum number of entries in a list.
const MAX_ENDPOINTS: usize = 4;

/// Parses all lists in a text that arrives in chunks of this length.
fn parse(text: &str, chunk_length: usize) -> Result<Vec<EndpointList>, EndpointListError> {
    let (mut parser, mut found) = (EndpointListParser::new(MAX_ENDPOINTS), Vec::new());
    for data in text.as_bytes().chunks(chunk_length) {
        parser.push(data, |list| found.push(list))?;
    }
    assert!(!parser.in_progress());
    Ok(found)
}

fn entry(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:80","state":"SERVING","more":[1,{{"x":"]"}}]}}"#)
}

fn list(rev: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

#[test]
fn parsing_does_not_depend_on_formatting_and_chunks() {
    let escaped = r#"{"uid":"a}\"{[\\","state":"DRAINING"}"#;
    let empty = list(1, &[]);
    let indented = "{\n  \"rev\": 2,\n  \"all\": false,\n  \"targets\": [\n    {\"uid\": \"b\", \
                    \"state\": \"DELETED\"\n    }\n  ]\n}";
    let entries_first =
        format!(r#"{{"targets":[{escaped} , {}],"other":{{"targets":[7]}},"rev":3,"all":true}}"#, entry("c"));
    let without_entries = r#"{"all":false,"rev":4}"#;
    let text = format!("\n{empty}\n\r\n  {indented}\n\n{entries_first}{without_entries}\n");
    for chunk_length in 1..text.len() {
        let found = parse(&text, chunk_length).expect("the text is valid");
        let envelopes: Vec<_> = found.iter().map(|list| (list.version, list.is_snapshot)).collect();
        assert_eq!(envelopes, [(1, true), (2, false), (3, true), (4, false)]);
        let names =
            |n: usize| found[n].endpoints.iter().map(|endpoint| endpoint.name.as_str()).collect::<Vec<_>>();
        assert_eq!(
            (names(0), names(1), names(2), names(3)),
            (vec![], vec!["b"], vec!["a}\"{[\\", "c"], vec![])
        );
        assert_eq!(found[1].endpoints[0].status, ListedStatus::Deleted);
        assert_eq!(found[2].endpoints[1].address, "127.0.0.1:80".parse().ok());
    }
}

#[test]
fn parses_like_serde_json() {
    let text = list(7, &[entry("a"), entry("b"), entry("c"), entry("d")]);
    let expected: EndpointList = serde_json::from_str(&text).expect("the text is valid");
    assert_eq!(parse(&text, text.len()), Ok(vec![expected]));
}

#[test]
fn rejects_malformed_lists() {
    let malformed = [
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
    for text in malformed {
        assert!(matches!(parse(text, 1), Err(EndpointListError::Malformed { .. })), "{text}");
    }
    let (a, b) = (entry("a"), entry("b"));
    for entries in [format!("{a} {b}"), format!("{a},"), format!(",{a}"), format!("{a},,{b}")] {
        let parsed = parse(&list(1, std::slice::from_ref(&entries)), 1);
        assert!(matches!(parsed, Err(EndpointListError::Malformed { .. })), "{entries}");
    }
}

#[test]
fn rejects_oversized_lists() {
    let long = "x".repeat(MAX_TEXT_LENGTH);
    let oversized = [
        (format!(r#"{{"rev":1,"{long}"#), EndpointListError::EnvelopeTooLong),
        (list(1, &[entry("a"), entry(&long)]), EndpointListError::EntryTooLong { entries: 1 }),
    ];
    for (text, expected) in oversized {
        let mut parser = EndpointListParser::new(MAX_ENDPOINTS);
        assert_eq!(parser.push(text.as_bytes(), |_| ()), Err(expected));
    }
    let entries = vec![entry("a"); MAX_ENDPOINTS];
    assert!(parse(&list(1, &entries), 1).is_ok());
    assert_eq!(
        parse(&list(1, &[entries, vec![entry("a")]].concat()), 1),
        Err(EndpointListError::TooManyEndpoints { max_endpoints: MAX_ENDPOINTS })
    );
}

#[test]
fn errors_name_position_and_cause() {
    let incomplete = r#"{"uid":"b"}"#.to_owned();
    let cases = [
        ("nonsense".to_owned(), "after 0 entries: unexpected byte 'n'"),
        (list(1, &[entry("a"), incomplete]), "after 1 entries: missing field `state`"),
        (r#"{"rev":1}"#.to_owned(), "after 0 entries: missing field `all`"),
        (list(1, &vec![entry("a"); MAX_ENDPOINTS + 1]), "maximum of 4 entries"),
    ];
    for (text, expected) in cases {
        let error = parse(&text, 1).expect_err("the text is invalid").to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

// The number of entries was limited and not their length, so that a list could take any memory.
#[test]
fn entries_with_long_texts_count_for_several() {
    let names: Vec<String> = (0..MAX_ENDPOINTS).map(|n| format!("{n}{}", "n".repeat(254))).collect();
    let entries: Vec<String> = names.iter().map(|name| entry(name)).collect();
    assert!(parse(&list(1, &entries), 100).is_ok());
    let mut longer = entries.clone();
    longer[1] = entry(&format!("{}n", names[1]));
    let too_many = EndpointListError::TooManyEndpoints { max_endpoints: MAX_ENDPOINTS };
    assert_eq!(parse(&list(1, &longer), 100), Err(too_many));
    assert!(parse(&list(1, &longer[..MAX_ENDPOINTS - 1]), 100).is_ok());
    // The next list starts anew.
    assert!(parse(&(list(1, &entries) + &list(2, &entries)), 100).is_ok());
}
