use super::*;

fn error_of<T>(result: Result<T, MessageError>) -> String {
    result.err().expect("an error").to_string()
}

#[test]
fn parses_name_and_fields_of_line() {
    let message = Message::parse("done node=3 elapsedMs=1.5 requestId=t/a=b load=").expect("a message");
    assert_eq!(message.name, "done");
    assert_eq!(message.parse_u64("node").expect("an integer"), 3);
    assert_eq!(message.parse_f64("elapsedMs").expect("a number"), 1.5);
    assert_eq!(message.text("requestId").expect("a text"), "t/a=b");
    assert_eq!((message.get("load"), message.get("copy")), (Some(""), None));
    assert_eq!(message.parse_u32_or("copy", 7).expect("a default"), 7);
}

#[test]
fn reads_settings_to_end_of_line() {
    let message = Message::parse("enlist node=0 setup={\"a\": 1, \"b\": \"x=y\"}").expect("a message");
    assert_eq!(message.text("setup").expect("a text"), "{\"a\": 1, \"b\": \"x=y\"}");
}

#[test]
fn errors_name_message_field_and_value() {
    let message = Message::parse("done a=x b= c=-1 d=4294967296 e=inf").expect("a message");
    assert_eq!(error_of(message.parse_f64("a")), "done: field 'a': 'x' is not a finite number");
    assert_eq!(error_of(message.text("b")), "done: field 'b': missing or empty");
    assert_eq!(error_of(message.parse_u64("c")), "done: field 'c': '-1' is not an unsigned 64-bit integer");
    assert_eq!(error_of(message.parse_u32("d")), "done: field 'd': 4294967296 does not fit into 32 bits");
    assert_eq!(error_of(message.parse_f64_or("e", 1.0)), "done: field 'e': 'inf' is not a finite number");
    assert_eq!(error_of(message.parse_u64_or("b", 1)), "done: field 'b': missing or empty");
    assert_eq!(error_of(Message::parse("done nonsense")), "done: expected name=value, found 'nonsense'");
}

#[test]
fn errors_quote_only_beginning_of_long_text() {
    let line = format!("done {}", "é".repeat(MAX_EXCERPT_LENGTH + 1));
    let quoted = "é".repeat(MAX_EXCERPT_LENGTH);
    assert_eq!(error_of(Message::parse(&line)), format!("done: expected name=value, found '{quoted}'"));
}
