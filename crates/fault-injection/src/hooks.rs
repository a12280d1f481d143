//! The functions that replace those of the C library. Each one checks the fault plan first, and makes the system call
//! if the plan has no error for this call.

use std::mem::size_of;

use libc::{c_char, c_int, c_long, c_void, iovec, sockaddr, socklen_t, ssize_t};

use crate::plan::plan;

/// Sets `errno` and returns -1, the result of a failed function of the C library.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the location belongs to the calling thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Returns whether a descriptor is a socket. Planned faults of sockets do not apply to other descriptors. Preserves
/// `errno`.
fn is_socket(descriptor: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are to local variables of the right size.
    unsafe {
        let saved_errno = *libc::__errno_location();
        let kind = (&raw mut kind).cast();
        let succeeded =
            libc::getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_TYPE, kind, &raw mut length) == 0;
        *libc::__errno_location() = saved_errno;
        succeeded
    }
}

/// Returns whether a descriptor is a regular file or standard error, to which planned faults of files apply. Other
/// descriptors, such as event descriptors, cannot fail for lack of disk space.
fn is_file_or_stderr(descriptor: c_int) -> bool {
    // SAFETY: all fields of the structure may be zero.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer is to a local variable of the right size.
    let succeeded = unsafe { libc::syscall(libc::SYS_fstat, descriptor, &raw mut status) } == 0;
    descriptor == libc::STDERR_FILENO || (succeeded && status.st_mode & libc::S_IFMT == libc::S_IFREG)
}

/// Returns from the calling function with an error if the plan has one for this call.
macro_rules! fail_as_planned {
    ($call:literal) => {
        if let Some(errno) = plan().errno_for_call($call) {
            return fail(errno).into();
        }
    };
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail_as_planned!("accept4");
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_as_planned!("socket");
    // SAFETY: there are no pointers.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_as_planned!("connect");
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t {
    let call = if flags & libc::MSG_PEEK == 0 { "recv" } else { "peek" };
    if let Some(errno) = plan().errno_for_call(call) {
        return fail(errno) as ssize_t;
    }
    let length = plan().limit_transfer(call, length);
    let no_address = std::ptr::null_mut::<c_void>();
    // SAFETY: the buffer is the caller's and at least as long as what is read into it.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, no_address, no_address) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t {
    if let Some(errno) = plan().errno_for_call("send") {
        return fail(errno) as ssize_t;
    }
    let length = plan().limit_transfer("send", length);
    let no_address = std::ptr::null::<c_void>();
    // SAFETY: the buffer is the caller's and at least as long as what is sent of it.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, no_address, 0) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if !is_socket(fd) {
        // SAFETY: the arguments are the caller's.
        return unsafe { libc::syscall(libc::SYS_writev, fd, buffers, c_long::from(count)) as ssize_t };
    }
    if let Some(errno) = plan().errno_for_call("send") {
        return fail(errno) as ssize_t;
    }
    // SAFETY: the caller passes `count` buffers.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count.max(0) as usize) };
    let total: usize = buffers.iter().map(|buffer| buffer.iov_len).sum();
    let Some(first) = buffers.iter().find(|buffer| buffer.iov_len > 0) else { return 0 };
    if plan().limit_transfer("send", total) < total {
        // A short write may end within the first buffer.
        let length = plan().limit_transfer("send", first.iov_len);
        // SAFETY: the buffer is the caller's and at least as long as what is written of it.
        return unsafe { libc::syscall(libc::SYS_write, fd, first.iov_base, length) as ssize_t };
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_writev, fd, buffers.as_ptr(), c_long::from(count)) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let call = if fd == libc::STDERR_FILENO { "log" } else { "write" };
    if is_file_or_stderr(fd)
        && let Some(errno) = plan().errno_for_call(call)
    {
        return fail(errno) as ssize_t;
    }
    // SAFETY: the buffer is the caller's.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    fail_as_planned!("fsync");
    // SAFETY: there are no pointers.
    unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    fail_as_planned!("rename");
    // SAFETY: the arguments are the caller's. `rename` itself is no system call on all architectures.
    unsafe { libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut c_void, count: c_int, timeout: c_int) -> c_int {
    fail_as_planned!("epoll_wait");
    let no_signal_mask = std::ptr::null::<c_void>();
    // SAFETY: the arguments are the caller's. `epoll_wait` itself is no system call on all architectures.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, fd, events, count, timeout, no_signal_mask, 0) as c_int }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut libc::timespec) -> c_int {
    // SAFETY: the pointer is the caller's.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = plan().clock_offset_ms();
        // SAFETY: the call has succeeded, so the pointer is valid.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + (offset_ms % 1000) * 1_000_000;
        time.tv_sec += offset_ms / 1000 + nanoseconds.div_euclid(1_000_000_000);
        time.tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}

#[unsafe(no_mangle)]
unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: usize) -> ssize_t {
    if is_file_or_stderr(fd)
        && let Some(errno) = plan().errno_for_call("read")
    {
        return fail(errno) as ssize_t;
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_read, fd, buffer, length) as ssize_t }
}

/// The function of the C library is variadic and takes the mode only with `O_CREAT`. This function always passes the
/// mode on, and the kernel ignores it without `O_CREAT`.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    if flags & libc::O_CREAT != 0 {
        fail_as_planned!("create");
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}
