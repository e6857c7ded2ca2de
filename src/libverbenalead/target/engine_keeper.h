#ifndef VERBENALEAD_TARGET_ENGINE_KEEPER_H_
#define VERBENALEAD_TARGET_ENGINE_KEEPER_H_

#include <functional>
#include <optional>

#include "decide/load_plan.h"
#include "links/replica_news.h"
#include "platform/engine_client.h"
#include "target/chunk_fetcher.h"
#include "target/chunk_stager.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Brings the engine on this host to the version that it should have.
class EngineKeeper {
 public:
  /// `tell` is called when the news about the engine have changed, and again
  /// while it loads. `fullness`: the part of the places of its service
  /// that is taken.
  EngineKeeper(TargetState& state,
               platform::EngineClient& engine,
               ChunkFetcher& fetcher,
               std::function<void()> tell,
               std::function<double()> fullness);

  /// Doesn't return.
  Awaitable<void> Run();
  /// What entries should know now, but for the calls there.
  links::ReplicaNews News() const;

 private:
  /// One look at the engine, and what follows from it.
  Awaitable<void> Look();
  void NoteReport(AsyncResult<model::EngineReport> report);
  /// Whether other hosts have `version`, so that it can be fetched from them
  /// before the engine on this host answers.
  bool OthersHave(uint64_t version) const;
  Awaitable<void> Load(uint64_t version);
  /// Waits until the engine's calls have ended, or until `end`.
  Awaitable<void> LetCallsEnd(TimePoint end);
  /// Brings `version` into the cache.
  Awaitable<void> Obtain(uint64_t version);
  /// Two versions came in quick succession: learns the newer one's digests now,
  /// as the origin may be gone later, and fetches it once only other hosts are
  /// needed for the older.
  Awaitable<void> FetchNewestAhead();
  /// Whether what is under way should end before anything else is fetched.
  bool LetFetchEnd() const;
  /// Notes which versions have come whole.
  void NoteWhole();
  /// What to load next; nothing: the engine has what it should.
  std::optional<decide::LoadPlan> Plan() const;
  TimePoint Turn(const decide::LoadPlan& plan) const;
  uint64_t Loaded() const;

  TargetState& m_state;
  platform::EngineClient& m_engine;
  ChunkFetcher& m_fetcher;
  const std::function<void()> m_tell;
  const std::function<double()> m_fullness;
  std::optional<model::EngineReport> m_report;
  ChunkStager m_stager;
  uint64_t m_adopted = 0;
  /// Its turn to load comes soon.
  bool m_closing = false;
  bool m_stopped_calls = false;
  /// When each version came whole; those that aren't are absent.
  std::map<uint64_t, TimePoint> m_whole_at;
  links::ReplicaNews m_told;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ENGINE_KEEPER_H_
