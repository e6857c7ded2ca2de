#ifndef VERBENALEAD_LINKS_CHUNK_NEWS_H_
#define VERBENALEAD_LINKS_CHUNK_NEWS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::links {

/// What a target process tells the others about the weights that it holds.
struct ChunkNews {
  /// Address of the host.
  std::string m_host;
  std::string m_model;
  uint64_t m_version = 0;
  std::vector<uint32_t> m_chunks;

  friend bool operator==(const ChunkNews&, const ChunkNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_CHUNK_NEWS_H_
