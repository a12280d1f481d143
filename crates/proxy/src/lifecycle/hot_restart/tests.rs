use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_a_listening_tcp_socket_is_taken() {
    let listening = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listening.local_addr().expect("an address");
    let connected = TcpStream::connect(address).expect("it listens");
    let datagrams = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for (text, why) in [
        (String::new(), "is no descriptor"),
        ("seven".to_owned(), "is no descriptor"),
        ("-1".to_owned(), "is no descriptor"),
        ("100000".to_owned(), "is no open socket"),
        (connected.as_raw_fd().to_string(), "is no listening TCP socket"),
        (datagrams.as_raw_fd().to_string(), "is no listening TCP socket"),
    ] {
        let refused = listener(&text).expect_err("it is refused");
        assert!(refused.contains("EDGE_FD") && refused.contains(why), "{refused}");
    }
    let taken = listener(&listening.into_raw_fd().to_string()).expect("a listener");
    assert_eq!(taken.local_addr().expect("an address"), address);
    let info =
        std::fs::read_to_string(format!("/proc/self/fdinfo/{}", taken.as_raw_fd())).expect("its flags");
    let flags = info.lines().find_map(|l| l.strip_prefix("flags:")).expect("a line").trim();
    let close_on_exec = 0o2_000_000;
    assert_ne!(u32::from_str_radix(flags, 8).expect("a number") & close_on_exec, 0, "{flags}");
    drop((connected, taken));
}

#[test]
fn what_cannot_be_read_is_passed_over() {
    let folder = std::env::temp_dir().join(format!("zincstand-legacy-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    assert!(load(&folder).is_none());
    std::fs::write(folder.join(LEGACY), b"{\"learned\":{\"at\":1").expect("a file");
    assert!(load(&folder).is_none());
    std::fs::remove_dir_all(&folder).expect("a folder");
}

#[test]
fn others_are_known_while_they_live() {
    let folder = std::env::temp_dir().join(format!("zincstand-presence-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let one = ProcessPresence::enter(&folder).expect("a place");
    assert_eq!(one.others(), 0);
    let other = ProcessPresence::enter(&folder).expect("a place");
    assert_eq!((one.others(), other.others()), (1, 1));
    drop(one);
    assert_eq!(other.others(), 0);
    let again = ProcessPresence::enter(&folder).expect("a place");
    assert_eq!((again.others(), other.others()), (1, 1));
    std::fs::remove_dir_all(&folder).expect("a folder");
}
