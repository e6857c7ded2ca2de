#include "base/large_blocks.h"

#include <malloc.h>

namespace verbenalead {
namespace {

/// Above the largest chunk (16 MB) and the buffers around it.
constexpr int kMmapThresholdBytes = 32 << 20;
/// Freed memory kept at the end of the heap; a daemon may use 256 MB besides
/// the weights.
constexpr int kTrimThresholdBytes = 64 << 20;

}  // namespace

void KeepLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace verbenalead
