use super::id_of_name;

#[test]
fn an_endpoint_has_the_same_id_at_every_node() {
    // The published test vectors of the hash.
    assert_eq!(id_of_name(""), 0x811c_9dc5);
    assert_eq!(id_of_name("a"), 0xe40c_292c);
    assert_eq!(id_of_name("foobar"), 0xbf9c_f968);
}
