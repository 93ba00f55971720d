use super::*;

fn error_of<T>(result: Result<T, MessageError>) -> String {
    result.err().expect("an error").to_string()
}

#[test]
fn a_line_is_a_name_and_fields() {
    let message = Message::parse("done node=3 elapsedMs=1.5 requestId=t/a=b load=").expect("a message");
    assert_eq!(message.name, "done");
    assert_eq!(message.integer("node").expect("an integer"), 3);
    assert_eq!(message.number("elapsedMs").expect("a number"), 1.5);
    assert_eq!(message.text("requestId").expect("a text"), "t/a=b");
    assert_eq!((message.find("load"), message.find("copy")), (Some(""), None));
    assert_eq!(message.small_integer_or("copy", 7).expect("a default"), 7);
}

#[test]
fn settings_run_to_the_end_of_the_line() {
    let message = Message::parse("enlist node=0 setup={\"a\": 1, \"b\": \"x=y\"}").expect("a message");
    assert_eq!(message.text("setup").expect("a text"), "{\"a\": 1, \"b\": \"x=y\"}");
}

#[test]
fn an_error_names_message_and_field() {
    let message = Message::parse("done a=x b= c=-1 d=4294967296 e=inf").expect("a message");
    assert_eq!(error_of(message.number("a")), "done: field 'a': 'x' is not a number");
    assert_eq!(error_of(message.text("b")), "done: field 'b': is missing");
    assert_eq!(error_of(message.integer("c")), "done: field 'c': '-1' is not a whole number");
    assert_eq!(error_of(message.small_integer("d")), "done: field 'd': is too large");
    assert_eq!(error_of(message.number_or("e", 1.0)), "done: field 'e': 'inf' is not a number");
    assert_eq!(error_of(message.integer_or("b", 1)), "done: field 'b': is missing");
    assert_eq!(error_of(Message::parse("done nonsense")), "done: expected name=value, found 'nonsense'");
}

#[test]
fn an_error_quotes_the_beginning_of_a_long_text() {
    let line = format!("done {}", "é".repeat(MAX_QUOTED_LENGTH + 1));
    let quoted = "é".repeat(MAX_QUOTED_LENGTH);
    assert_eq!(error_of(Message::parse(&line)), format!("done: expected name=value, found '{quoted}'"));
}
