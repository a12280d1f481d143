//! The position of a server on the consistent-hash ring.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the ring position of the server with this name: its 64-bit FNV-1a hash.
///
/// The position depends only on the name, so that all balancers compute the same one.
pub fn ring_position(server_name: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in server_name.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    hash
}
