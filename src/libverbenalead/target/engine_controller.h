#ifndef VERBENALEAD_TARGET_ENGINE_CONTROLLER_H_
#define VERBENALEAD_TARGET_ENGINE_CONTROLLER_H_

#include <functional>
#include <optional>

#include "decide/rollout/load_plan.h"
#include "decide/rollout/load_turn.h"
#include "decide/transfer/version_choice.h"
#include "links/replica_update.h"
#include "platform/engine_client.h"
#include "target/chunk_fetcher.h"
#include "target/chunk_stager.h"
#include "target/target_state.h"

namespace verbenalead::target {

/// Polls the engine on this host and brings it to the declared version of the
/// weights: has the chunks fetched and staged, stops new calls at the scheduled
/// time, lets running calls finish and orders the load. Without it the replica
/// would keep serving an old version and be unusable after the deadline for new
/// weights.
class EngineController {
 public:
  /// `notify` is called when the result of `CurrentUpdate` has changed, and
  /// repeatedly while the engine loads. `fullness` returns the share of the
  /// slots of the service that are in use, 0 to 1.
  EngineController(TargetState& state,
                   platform::EngineClient& engine,
                   ChunkFetcher& fetcher,
                   std::function<void()> notify,
                   std::function<double()> fullness);

  /// Doesn't return.
  Awaitable<void> Run();
  /// The state of the replica to be sent to entries, without its calls.
  links::ReplicaUpdate CurrentUpdate() const;

 private:
  /// Queries the engine once and takes the next step towards the planned
  /// version.
  Awaitable<void> Poll();
  /// Waits for the poll interval, or until an engine that didn't answer does.
  Awaitable<void> WaitForNextPoll();
  /// Records the status of the engine, or that the query failed. After a
  /// restart of the engine, its staged chunks are no longer relied on.
  void RecordEngineReport(AsyncResult<model::EngineReport> report);
  /// Records how many times slower than usual the engine works.
  void RecordPace(const model::EngineReport& report);
  /// Records the engine's start and how long it reports to be cold.
  void RecordCold(const model::EngineReport& report);
  /// Whether a replica on another host has loaded `version` or a newer one, so
  /// that `version` can be fetched before the engine on this host answers.
  bool IsLoadedElsewhere(uint64_t version) const;
  /// Verifies the staged chunks of `version`, waits for `turn`, drains the
  /// engine and orders the load.
  Awaitable<void> Load(uint64_t version, decide::LoadTurn turn);
  /// Waits until `at` and queries the engine again. False: the load can't
  /// begin, as the engine has restarted, leaves or doesn't answer.
  Awaitable<bool> WaitForTurn(uint64_t version, TimePoint at);
  /// Waits until the engine has no calls left, at most until `end`.
  Awaitable<void> WaitForDrain(TimePoint end);
  /// Whether the staged chunks of `version` may be loaded now. Reads them back
  /// again if the last read-back is too old, as after a pause of this process.
  Awaitable<bool> HasRecentReadBack(uint64_t version);
  /// Decides, after an order to load `version`, whether the replica may serve
  /// with it. `begun`: the engine has accepted the order, or may have.
  Awaitable<void> CheckLoad(uint64_t version, bool begun);
  /// Whether all staged chunks of `version` are correct. Reads them back until
  /// that is known, or the engine doesn't answer.
  Awaitable<bool> AreChunksCorrect(uint64_t version);
  /// Sends the order to load `version`, logs the result, and decides whether
  /// the replica may serve with it. `fullness` is logged.
  Awaitable<void> OrderLoad(uint64_t version,
                            decide::LoadTurn turn,
                            double fullness);
  /// Starts the transfer of `version` into the cache, unless it is complete,
  /// already being fetched, or another transfer should finish first.
  Awaitable<void> Obtain(uint64_t version);
  /// Handles two versions declared in quick succession: obtains the digests of
  /// the newer one now, as the origin may be unreachable later, and fetches the
  /// newer one once the older one no longer needs the origin.
  Awaitable<void> PrefetchNewest();
  /// Whether the current transfer should finish before another one starts.
  bool ShouldFinishFetch() const;
  /// Chooses which of the declared versions are fetched and in which order.
  /// Only if PreparesForOutages().
  void ChooseVersion();
  /// What the hosts know of the versions to choose from.
  std::map<uint64_t, decide::VersionSupply> Supplies() const;
  /// The first version of the fetch order that isn't complete.
  std::optional<uint64_t> NextOfFetchOrder() const;
  /// The version to fetch now, where `planned` is the next one to load.
  uint64_t VersionToFetch(uint64_t planned) const;
  /// Records when each version in the cache became complete.
  void RecordCompleteVersions();
  /// What to load next; nothing if the engine runs the version that it should.
  std::optional<decide::LoadPlan> PlanNextLoad() const;
  /// When this replica starts its load under `plan`.
  decide::LoadTurn TurnUnder(const decide::LoadPlan& plan) const;
  /// Logs the turn if it isn't the one that was logged last.
  void LogTurn(const decide::LoadPlan& plan, const decide::LoadTurn& turn);
  /// Whether the engine states, or its row in the store says, that it is
  /// leaving.
  bool IsLeaving() const;
  /// The version that the engine runs and may serve with; 0: none, or not
  /// known.
  uint64_t Loaded() const;

  TargetState& m_state;
  platform::EngineClient& m_engine;
  ChunkFetcher& m_fetcher;
  const std::function<void()> m_notify;
  const std::function<double()> m_get_utilisation;
  /// The last status of the engine; empty if the last query failed.
  std::optional<model::EngineReport> m_report;
  ChunkStager m_stager;
  /// A cold time that can't be used and was logged.
  std::optional<Duration> m_logged_cold_left;
  /// The last invalid pace that was logged, so that it is logged once.
  std::optional<double> m_logged_pace;
  /// The newest version for which the staging area was searched; 0: none since
  /// the engine started.
  uint64_t m_staging_searched_for = 0;
  /// The scheduled load starts soon.
  bool m_closing = false;
  /// The replica takes no calls, because it is draining before a load or is
  /// loading.
  bool m_calls_stopped = false;
  /// The engine loaded this version from chunks that may have been corrupt for
  /// too long, so the replica takes no calls until it has loaded it again, or
  /// another one; 0: none.
  ///
  /// Failure: the process is paused while its order is under way to the engine.
  /// Symptom: the order is accepted although the read-back is too old by then.
  /// Whatever the pause was, the answer to the order comes after it, and chunks
  /// that are correct then were correct when the order was accepted.
  uint64_t m_unproven_version = 0;
  /// The version that the engine had when it was ordered to load it again, so
  /// that the order had no effect; 0: none.
  uint64_t m_not_reloaded_version = 0;
  /// When this host was first seen to hold all chunks of each version;
  /// incomplete versions are absent.
  std::map<uint64_t, TimePoint> m_version_complete_at;
  /// The last version that became complete, and the fullness of the pool then.
  uint64_t m_window_version = 0;
  double m_window_fullness = 1;
  /// Version and turn in the last `load_turn` line. Their times are not
  /// compared, as the estimate of the window moves.
  uint64_t m_logged_version = 0;
  decide::LoadTurn m_logged_turn;
  /// Versions to fetch, in order; empty if nothing was chosen.
  std::vector<uint64_t> m_fetch_order;
  /// Versions declared before it were announced to this process only in part.
  const TimePoint m_started_at = Now();
  /// The state at the last call of `m_notify` from `Run`.
  links::ReplicaUpdate m_last_update;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ENGINE_CONTROLLER_H_
