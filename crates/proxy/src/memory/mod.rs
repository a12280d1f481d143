//! The memory of the process: how much of it is in use, how much may be, and what is refused when it is short.

mod budget;
mod causes;
mod counting_allocator;
mod heap;
mod process_share;

pub use budget::{MemoryBudget, MemoryLevel, RequestCharge, RequestSize};
pub use causes::MemoryCause;
pub use counting_allocator::set_serving_thread;

pub use process_share::process_share;
