use super::*;

fn limits(memory_mb: u64, descriptors: u64) -> ResourceLimits {
    ResourceLimits::new(
        MemoryMegabytes::try_from(memory_mb).unwrap(),
        DescriptorCount::try_from(descriptors).unwrap(),
    )
}

/// The shares leave more than half of the memory and a quarter of the descriptors.
#[test]
fn shares_leave_room_for_the_process_itself() {
    for (memory_mb, descriptors) in [(64, 256), (260, 4_100), (4_096, 65_536)] {
        let limits = limits(memory_mb, descriptors);
        let bytes = limits.caller_bytes + (limits.link_bytes + limits.retained_bytes) as u64;
        assert!(bytes * 2 < memory_mb * BYTES_PER_MEGABYTE);
        let connections =
            limits.caller_connections + limits.peer_exchanges + 2 * limits.admin_connections;
        assert!(connections * 4 <= 3 * usize::try_from(descriptors).unwrap());
    }
}

#[test]
fn descriptor_limit_is_the_soft_one() {
    let text = "Limit                     Soft Limit           Hard Limit           Units     \n\
                Max processes             95000                95000                processes \n\
                Max open files            1024                 1048576              files     \n";
    assert_eq!(parse_descriptor_limit(text), Ok(1_024));
    let unlimited = "Max open files            unlimited            unlimited            files\n";
    assert_eq!(parse_descriptor_limit(unlimited), Ok(u64::MAX));
    assert_eq!(parse_descriptor_limit(""), Err(NoDescriptorLimit));
}
