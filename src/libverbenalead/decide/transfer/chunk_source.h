#ifndef VERBENALEAD_DECIDE_TRANSFER_CHUNK_SOURCE_H_
#define VERBENALEAD_DECIDE_TRANSFER_CHUNK_SOURCE_H_

#include <compare>
#include <string>

namespace verbenalead::decide {

/// Where a chunk is fetched from: a host by name, or the origin.
struct ChunkSource {
  /// Empty: the origin.
  std::string m_host;

  bool IsOrigin() const { return m_host.empty(); }
  friend auto operator<=>(const ChunkSource&, const ChunkSource&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_CHUNK_SOURCE_H_
