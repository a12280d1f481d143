use std::io;

use super::accept::AcceptFailure;
use super::is_out_of_resources;

#[test]
fn only_a_lack_of_local_resources_counts_as_out_of_resources() {
    let failure = |errno| AcceptFailure::from(&io::Error::from_raw_os_error(errno));
    let [interrupted, connection_aborted, protocol_error, network_down, host_unreachable] =
        [4, 103, 71, 100, 113];
    for errno in [interrupted, connection_aborted, protocol_error, network_down, host_unreachable] {
        assert_eq!(failure(errno), AcceptFailure::Transient, "{errno}");
    }
    let [process_descriptors, system_files, memory, buffers] = [24, 23, 12, 105];
    for errno in [process_descriptors, system_files, memory, buffers] {
        assert_eq!(failure(errno), AcceptFailure::OutOfResources, "{errno}");
    }
    let [timed_out, connection_refused] = [110, 111];
    assert!(
        [timed_out, connection_refused]
            .iter()
            .all(|errno| !is_out_of_resources(&io::Error::from_raw_os_error(*errno)))
    );
}
