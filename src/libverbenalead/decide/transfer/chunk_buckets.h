#ifndef VERBENALEAD_DECIDE_TRANSFER_CHUNK_BUCKETS_H_
#define VERBENALEAD_DECIDE_TRANSFER_CHUNK_BUCKETS_H_

#include <cstdint>
#include <vector>

namespace verbenalead::decide {

/// Chunks grouped by the number of copies that are known, so that the rarest
/// one is found without scanning all chunks. Insert and erase cost O(1).
class ChunkBuckets {
 public:
  static constexpr uint32_t kMaxCopies = 64;

  ChunkBuckets() = default;
  explicit ChunkBuckets(uint32_t chunk_count)
      : m_buckets(kMaxCopies + 1),
        m_copies(chunk_count),
        m_positions(chunk_count, kNotContained) {}

  bool Contains(uint32_t chunk) const {
    return m_positions[chunk] != kNotContained;
  }
  /// Moves `chunk` to the bucket of `copies`, whether or not it was in one.
  void Put(uint32_t chunk, uint32_t copies);
  void Erase(uint32_t chunk);
  const std::vector<uint32_t>& Bucket(uint32_t copies) const {
    return m_buckets[copies];
  }

 private:
  static constexpr uint32_t kNotContained = ~uint32_t{0};

  std::vector<std::vector<uint32_t>> m_buckets;
  std::vector<uint8_t> m_copies;
  std::vector<uint32_t> m_positions;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_CHUNK_BUCKETS_H_
