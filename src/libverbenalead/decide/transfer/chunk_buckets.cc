#include "decide/transfer/chunk_buckets.h"

namespace verbenalead::decide {

void ChunkBuckets::Put(uint32_t chunk, uint32_t copies) {
  if (Contains(chunk)) {
    if (m_copies[chunk] == copies)
      return;
    Erase(chunk);
  }
  m_copies[chunk] = static_cast<uint8_t>(copies);
  m_positions[chunk] = static_cast<uint32_t>(m_buckets[copies].size());
  m_buckets[copies].push_back(chunk);
}

void ChunkBuckets::Erase(uint32_t chunk) {
  if (!Contains(chunk))
    return;
  std::vector<uint32_t>& bucket = m_buckets[m_copies[chunk]];
  const uint32_t last = bucket.back();
  bucket[m_positions[chunk]] = last;
  m_positions[last] = m_positions[chunk];
  bucket.pop_back();
  m_positions[chunk] = kNotContained;
}

}  // namespace verbenalead::decide
