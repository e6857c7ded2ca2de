#ifndef VERBENALEAD_TARGET_CHUNK_STAGER_H_
#define VERBENALEAD_TARGET_CHUNK_STAGER_H_

#include <cstdint>
#include <optional>

#include "decide/transfer/staging_area.h"
#include "platform/engine_client.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Writes chunks from the cache to the engine's staging area and checks the
/// staged chunks by reading them back. Without the check an engine could load
/// chunks that became corrupt after they were staged. Must be used by one
/// coroutine at a time.
class ChunkStager {
 public:
  ChunkStager(TargetState& state, platform::EngineClient& engine)
      : m_state(state), m_engine(engine) {}

  /// Records which chunks of `version` an earlier process on this host has
  /// already staged, so that they need not be fetched again.
  Awaitable<void> FindStaged(uint64_t version);
  /// Stages the chunks of `version` that are in memory, unless the staging area
  /// is needed for another version (`decide::MayOverwriteStaged`). `loaded`:
  /// the version that the engine runs.
  Awaitable<void> Stage(uint64_t version, uint64_t loaded);
  /// Reads all staged chunks of `version` back and returns whether each of them
  /// matches its digest. Staged chunks can become corrupt without any write;
  /// such a chunk is removed from the cache and has to be fetched again. A
  /// version that `FindStaged` has just read back completely is not read again.
  Awaitable<bool> Verify(uint64_t version);
  /// Time since the last read-back began that found all chunks of `version`
  /// staged and correct, on a clock that also counts while the host is
  /// suspended; nullopt: there was none since a chunk was staged.
  std::optional<Duration> ReadBackAge(uint64_t version) const;
  /// Must be called after the engine restarted: chunks that it had staged may
  /// be lost.
  void ForgetAll();

 private:
  decide::StagedVersion Held(uint64_t version) const;
  Awaitable<bool> Put(uint64_t version, uint32_t chunk);
  void RecordReadBack(uint64_t version, Duration begun);

  TargetState& m_state;
  platform::EngineClient& m_engine;
  /// The version of which a chunk was staged, or found staged, last; 0: none.
  uint64_t m_version = 0;
  /// The version that `FindStaged` found completely staged, and when that check
  /// began; 0: none.
  uint64_t m_verified_version = 0;
  Duration m_verified_at{};
  /// The version whose chunks were read back and correct last, and when that
  /// began; 0: none.
  uint64_t m_read_back_version = 0;
  Duration m_read_back_at{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_STAGER_H_
