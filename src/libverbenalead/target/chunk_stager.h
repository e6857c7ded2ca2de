#ifndef VERBENALEAD_TARGET_CHUNK_STAGER_H_
#define VERBENALEAD_TARGET_CHUNK_STAGER_H_

#include <cstdint>

#include "decide/staging_area.h"
#include "platform/engine_client.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Brings chunks from the cache into the engine's staging area, and makes sure
/// that they lie there as they should. Used by one coroutine at a time.
class ChunkStager {
 public:
  ChunkStager(TargetState& state, platform::EngineClient& engine)
      : m_state(state), m_engine(engine) {}

  /// Notes which chunks of `version` lie there already, left by a process
  /// before this one.
  Awaitable<void> Adopt(uint64_t version);
  /// Stages the chunks of `version` that are in memory, unless the area is
  /// needed for another one. `loaded`: the version that the engine runs.
  Awaitable<void> Stage(uint64_t version, uint64_t loaded);
  /// Reads all chunks of `version` back; true: each is right. One that isn't
  /// leaves the cache and has to be fetched anew: chunks go bad there by
  /// themselves. What has just been adopted was read back already.
  Awaitable<bool> Verify(uint64_t version);
  /// The engine started anew, and what it had staged may be gone.
  void ForgetAll();

 private:
  decide::StagedVersion Held(uint64_t version) const;
  Awaitable<bool> Put(uint64_t version, uint32_t chunk);

  TargetState& m_state;
  platform::EngineClient& m_engine;
  /// The version that was staged last; 0: none.
  uint64_t m_version = 0;
  /// The version all of which was found there, and since when it is known to be
  /// right; 0: none.
  uint64_t m_found_version = 0;
  TimePoint m_found_at{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_STAGER_H_
