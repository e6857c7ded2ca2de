#ifndef VERBENALEAD_LINKS_CHUNK_UPDATE_H_
#define VERBENALEAD_LINKS_CHUNK_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::links {

/// Sent by a target process to other target processes: the chunks of one
/// version of a model's weights that it holds and serves to them.
struct ChunkUpdate {
  /// Address of the host.
  std::string m_host;
  std::string m_model;
  uint64_t m_version = 0;
  std::vector<uint32_t> m_chunks;

  friend bool operator==(const ChunkUpdate&, const ChunkUpdate&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_CHUNK_UPDATE_H_
