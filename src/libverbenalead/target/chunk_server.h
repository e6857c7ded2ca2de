#ifndef VERBENALEAD_TARGET_CHUNK_SERVER_H_
#define VERBENALEAD_TARGET_CHUNK_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/pacer.h"
#include "target/target_state.h"
#include "wire/response_writer.h"

namespace verbenalead::target {

/// Hands chunks and digests to other hosts.
class ChunkServer {
 public:
  /// `has_calls`: whether live calls use the link now.
  ChunkServer(const TargetState& state, std::function<bool()> has_calls);

  Awaitable<void> Tell(const wire::Request& request,
                       wire::ResponseWriter& caller);

 private:
  const CachedVersion* FindDigests(const std::string& path) const;
  std::shared_ptr<const std::string> FindChunk(const std::string& path) const;
  /// The path of a chunk of `version`, but for its number.
  std::string ChunkPrefix(uint64_t version) const;

  const TargetState& m_state;
  const std::function<bool()> m_has_calls;
  Pacer m_upload;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_SERVER_H_
