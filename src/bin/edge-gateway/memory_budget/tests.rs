use super::*;

const MIB: usize = 1 << 20;

fn budget(memory_mb: usize, descriptors: usize) -> MemoryBudget {
    MemoryBudget::new(memory_mb * MIB, DescriptorBudget::new(descriptors))
}

#[test]
fn connections_and_endpoints_reduce_message_memory() {
    let budget = budget(192, 1024);
    let without_endpoints = 2 * budget.messages_per_direction(0);
    assert!(without_endpoints > 140 * MIB && without_endpoints < 180 * MIB);
    let endpoints = 47_000;
    let with_endpoints = 2 * budget.messages_per_direction(endpoints);
    assert_eq!(without_endpoints - with_endpoints, endpoints * MEMORY_PER_ENDPOINT);
}

#[test]
fn message_memory_has_a_minimum() {
    assert_eq!(budget(32, 1024).messages_per_direction(usize::MAX), 2 * MIB);
}

#[test]
fn connections_are_fewer_where_memory_is_short() {
    let descriptors = DescriptorBudget::new(1024);
    assert_eq!(budget(192, 1024).descriptors(), descriptors);
    assert_eq!(budget(32, 256).descriptors(), DescriptorBudget::new(256));
    let limited = budget(32, 1024).descriptors();
    assert!(limited.upstream * MEMORY_PER_UPSTREAM_CONNECTION <= 32 * MIB / UPSTREAM_DIVISOR);
    assert!(limited.upstream < descriptors.upstream && limited.pooled < limited.upstream);
    assert_eq!(limited.client, 512);
    assert!(limited.client * MEMORY_PER_CLIENT_CONNECTION <= 32 * MIB / 8 * CLIENT_EIGHTHS);
}
