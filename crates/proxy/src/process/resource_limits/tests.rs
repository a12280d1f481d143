use super::*;

const MIB: usize = 1 << 20;

#[test]
fn a_single_process_gets_all_descriptors_except_the_reserved_ones() {
    let limits = ResourceBudget { descriptors: 256, memory_bytes: 32 * MIB }.limits_per_process(1);
    assert_eq!(limits.client_connections, 118);
    assert_eq!(limits.upstream_connections, 98);
    assert_eq!(limits.memory_bytes, 16 * MIB);
}

#[test]
fn descriptors_are_reserved_for_each_process() {
    let limits = ResourceBudget { descriptors: 256, memory_bytes: 32 * MIB }.limits_per_process(2);
    assert_eq!(limits.client_connections, 48);
    assert_eq!(limits.upstream_connections, 40);
    assert_eq!(limits.memory_bytes, 8 * MIB);
}

#[test]
fn too_few_descriptors_still_allow_one_client_and_one_upstream_connection() {
    let limits = ResourceBudget { descriptors: 1, memory_bytes: MIB }.limits_per_process(4);
    assert_eq!(limits.client_connections, 1);
    assert_eq!(limits.upstream_connections, 1);
}
