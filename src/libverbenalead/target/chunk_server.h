#ifndef VERBENALEAD_TARGET_CHUNK_SERVER_H_
#define VERBENALEAD_TARGET_CHUNK_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/pacer.h"
#include "platform/engine_client.h"
#include "target/target_state.h"
#include "target/upload_admission.h"
#include "wire/response_writer.h"

namespace verbenalead::target {

/// Serves chunks and digests to other hosts over HTTP.
class ChunkServer {
 public:
  /// Called with the version and the number of a staged chunk that was found to
  /// be corrupt.
  using OnCorruptChunk = std::function<void(uint64_t, uint32_t)>;

  /// Staged chunks are read back from `engine`. `has_calls` returns whether
  /// live calls use the link now; uploads are paced only then.
  ChunkServer(TargetState& state,
              platform::EngineClient& engine,
              std::function<bool()> has_calls,
              OnCorruptChunk on_corrupt_chunk);

  /// Answers one request for digests or a chunk; status 404 if this host does
  /// not have them.
  Awaitable<void> Respond(const wire::Request& request,
                          wire::ResponseWriter& caller);

 private:
  /// Identifies a chunk.
  struct ChunkId {
    uint64_t m_version = 0;
    uint32_t m_chunk = 0;
  };

  const CachedVersion* FindDigests(const std::string& path) const;
  /// The chunk that `path` names; nothing if this host does not hold it.
  std::optional<ChunkId> FindChunk(const std::string& path) const;
  /// Returns the bytes of the chunk; null if the version was removed or the
  /// bytes could not be read or are corrupt.
  Awaitable<std::shared_ptr<const std::string>> ReadChunk(ChunkId name);
  /// Sends a chunk; called once `m_admission` has admitted the upload.
  Awaitable<void> Upload(ChunkId name, wire::ResponseWriter& caller);
  /// Reads a staged chunk from the engine. If it is corrupt, records it as not
  /// staged and returns null.
  Awaitable<std::shared_ptr<const std::string>> ReadStaged(uint64_t version,
                                                           uint32_t chunk);
  /// The path of the chunks of `version`, without the chunk number.
  std::string ChunkPrefix(uint64_t version) const;

  TargetState& m_state;
  platform::EngineClient& m_engine;
  const std::function<bool()> m_has_calls;
  const OnCorruptChunk m_on_corrupt_chunk;
  Pacer m_upload_pacer;
  UploadAdmission m_admission;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_SERVER_H_
