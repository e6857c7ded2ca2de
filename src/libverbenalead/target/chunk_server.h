#ifndef VERBENALEAD_TARGET_CHUNK_SERVER_H_
#define VERBENALEAD_TARGET_CHUNK_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/pacer.h"
#include "platform/engine_client.h"
#include "target/target_state.h"
#include "target/upload_gate.h"
#include "wire/response_writer.h"

namespace verbenalead::target {

/// Hands chunks and digests to other hosts.
class ChunkServer {
 public:
  /// Told of a version and a chunk of it that went bad beside the engine.
  using OnSpoilt = std::function<void(uint64_t, uint32_t)>;

  /// `engine` has the chunks that are staged. `has_calls`: whether live calls
  /// use the link now.
  ChunkServer(TargetState& state,
              platform::EngineClient& engine,
              std::function<bool()> has_calls,
              OnSpoilt on_spoilt);

  Awaitable<void> Tell(const wire::Request& request,
                       wire::ResponseWriter& caller);

 private:
  /// A chunk that is here.
  struct ChunkName {
    uint64_t m_version = 0;
    uint32_t m_chunk = 0;
  };

  const CachedVersion* FindDigests(const std::string& path) const;
  /// The chunk that `path` names; nothing where it isn't here.
  std::optional<ChunkName> FindChunk(const std::string& path) const;
  /// Its bytes; null: they have gone bad.
  Awaitable<std::shared_ptr<const std::string>> ReadChunk(ChunkName name);
  /// Sends a chunk whose turn has come.
  Awaitable<void> Upload(ChunkName name, wire::ResponseWriter& caller);
  /// Reads a chunk from the engine, and forgets it if it has gone bad there.
  Awaitable<std::shared_ptr<const std::string>> ReadStaged(uint64_t version,
                                                           uint32_t chunk);
  /// The path of a chunk of `version`, but for its number.
  std::string ChunkPrefix(uint64_t version) const;

  TargetState& m_state;
  platform::EngineClient& m_engine;
  const std::function<bool()> m_has_calls;
  const OnSpoilt m_on_spoilt;
  Pacer m_upload;
  UploadGate m_gate;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_SERVER_H_
