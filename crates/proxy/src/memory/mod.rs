//! The memory of the process: how much of it is in use, how much may be, and what is refused when it is short.

mod budget;
mod causes;
mod heap;
mod process_share;

pub use budget::{MemoryBudget, MemoryLevel, RequestCharge, RequestSize};
pub use causes::MemoryCause;
pub use heap::HeapReading;
pub use process_share::process_share;
