#ifndef VERBENALEAD_LINKS_DRAW_NEWS_H_
#define VERBENALEAD_LINKS_DRAW_NEWS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::links {

/// What a target process tells all others that take part in a transfer: the
/// chunks that it draws from the origin now.
struct DrawNews {
  std::string m_model;
  uint64_t m_version = 0;
  std::vector<uint32_t> m_chunks;

  friend bool operator==(const DrawNews&, const DrawNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DRAW_NEWS_H_
