#ifndef VERBENALEAD_BASE_LARGE_BLOCKS_H_
#define VERBENALEAD_BASE_LARGE_BLOCKS_H_

namespace verbenalead {

/// Lets the allocator keep blocks of up to a chunk's size when they are freed.
/// By default each is given back to the kernel and faulted in again page by
/// page, which took more time than all else on the path of a chunk.
void KeepLargeBlocks();

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LARGE_BLOCKS_H_
