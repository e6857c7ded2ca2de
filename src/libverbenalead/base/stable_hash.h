#ifndef VERBENALEAD_BASE_STABLE_HASH_H_
#define VERBENALEAD_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace verbenalead {

/// FNV-1a over a series of texts: the same in every process, unlike std::hash.
class StableHash {
 public:
  StableHash& Add(std::string_view text) {
    for (unsigned char c : text)
      Mix(c);
    Mix(0xff);  // Ends the text: "a","b" isn't "ab","".
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
