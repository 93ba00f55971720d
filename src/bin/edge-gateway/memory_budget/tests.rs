use super::*;

const MIB: usize = 1 << 20;

fn budget(memory_mb: usize, descriptors: usize) -> MemoryBudget {
    MemoryBudget::new(memory_mb * MIB, DescriptorBudget::new(descriptors))
}

#[test]
fn messages_get_what_connections_and_endpoints_leave() {
    let budget = budget(192, 1024);
    let without_endpoints = 2 * budget.messages_per_direction(0);
    assert!(without_endpoints > 140 * MIB && without_endpoints < 180 * MIB);
    let endpoints = 47_000;
    let with_endpoints = 2 * budget.messages_per_direction(endpoints);
    assert_eq!(without_endpoints - with_endpoints, endpoints * MEMORY_PER_ENDPOINT);
}

#[test]
fn messages_get_a_part_in_any_case() {
    assert_eq!(budget(32, 1024).messages_per_direction(usize::MAX), 2 * MIB);
}
