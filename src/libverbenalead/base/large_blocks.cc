#include "base/large_blocks.h"

#include <malloc.h>

namespace verbenalead {
namespace {

/// Above the largest chunk (16 MB) and the buffers around it.
constexpr int kLargestKept = 32 << 20;
/// Freed memory kept at the end of the heap; a daemon may use 256 MB besides
/// the weights.
constexpr int kMostKept = 64 << 20;

}  // namespace

void KeepLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargestKept);
  mallopt(M_TRIM_THRESHOLD, kMostKept);
}

}  // namespace verbenalead
