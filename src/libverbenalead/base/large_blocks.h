#ifndef VERBENALEAD_BASE_LARGE_BLOCKS_H_
#define VERBENALEAD_BASE_LARGE_BLOCKS_H_

namespace verbenalead {

/// Configures the allocator to retain freed blocks up to the size of a chunk of
/// weights. By default glibc returns each large block to the kernel, and the
/// next allocation faults its pages in again one by one, which took more time
/// than all other processing of a chunk together.
void KeepLargeBlocks();

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LARGE_BLOCKS_H_
