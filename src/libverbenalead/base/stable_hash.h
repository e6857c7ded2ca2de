#ifndef VERBENALEAD_BASE_STABLE_HASH_H_
#define VERBENALEAD_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace verbenalead {

/// Computes the FNV-1a hash of a sequence of texts. Unlike std::hash, the value
/// is the same in every process.
class StableHash {
 public:
  StableHash& Add(std::string_view text) {
    for (unsigned char c : text)
      Mix(c);
    Mix(0xff);  // Separator: "a","b" must differ from "ab","".
    return *this;
  }
  uint64_t value() const { return m_value; }

 private:
  void Mix(uint64_t byte) {
    constexpr uint64_t kPrime = 1099511628211ULL;
    m_value = (m_value ^ byte) * kPrime;
  }

  uint64_t m_value = 14695981039346656037ULL;
};

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_STABLE_HASH_H_
