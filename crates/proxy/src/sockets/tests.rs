use std::io;

use super::accept::AcceptFailure;
use super::is_out_of_resources;

#[test]
fn only_want_of_resources_pauses_accepting() {
    let failure = |number| AcceptFailure::from(&io::Error::from_raw_os_error(number));
    let [interrupted, aborted, protocol, net_down, unreachable] = [4, 103, 71, 100, 113];
    for number in [interrupted, aborted, protocol, net_down, unreachable] {
        assert_eq!(failure(number), AcceptFailure::Passing, "{number}");
    }
    let [descriptors, files, memory, buffers] = [24, 23, 12, 105];
    for number in [descriptors, files, memory, buffers] {
        assert_eq!(failure(number), AcceptFailure::OutOfResources, "{number}");
    }
    let [timed_out, refused] = [110, 111];
    assert!([timed_out, refused].iter().all(|n| !is_out_of_resources(&io::Error::from_raw_os_error(*n))));
}
