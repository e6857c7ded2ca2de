#include "base/large_blocks.h"

#include <malloc.h>

namespace verbenalead {
namespace {

/// Blocks below this size come from the heap instead of mmap. It is larger than
/// the largest chunk (16 MB) with the buffers around it.
constexpr int kMmapThresholdBytes = 32 << 20;
/// Amount of freed memory retained at the end of the heap. A daemon may use
/// 256 MB of memory in addition to the weights.
constexpr int kTrimThresholdBytes = 64 << 20;

}  // namespace

void KeepLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace verbenalead
