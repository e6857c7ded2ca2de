#ifndef VERBENALEAD_DAEMON_VERSION_CONTROLLER_H_
#define VERBENALEAD_DAEMON_VERSION_CONTROLLER_H_

#include <map>
#include <string>

#include "backends/engine.h"
#include "backends/table.h"
#include "daemon/config_store.h"
#include "daemon/fencing_token_minter.h"
#include "daemon/guarded_gate.h"
#include "daemon/load_permit_table.h"
#include "daemon/version_progress.h"
#include "daemon/weights_fetcher.h"
#include "decide/rollout/rollout.h"

namespace verbenalead::daemon {

/// Activates the declared model version on this host: fetches its weights,
/// obtains a load permit and a fencing token, and orders the engine to load it.
/// decide/rollout.h decides on each step; this class executes the step and
/// reports its result. It is the only component that orders the engine to load.
/// Runs on one thread; state that other threads read is guarded by the gate's
/// mutex.
class VersionController {
 public:
  VersionController(std::string host,
                    std::string pool,
                    Endpoint weights_server,
                    ConfigStore& config,
                    HostDirectory& hosts,
                    GuardedGate& gate,
                    WeightsStore& store,
                    WeightsFetcher& fetcher,
                    backends::Engine& engine,
                    backends::Table& table);

  /// Runs until the process ends. To be called from one thread only.
  Awaitable<void> Run();
  /// May be called from any thread.
  VersionProgress progress() const;

 private:
  /// Calls `function(state, gate)` with the gate's mutex held.
  template <typename Function>
  auto With(Function&& function) const {
    return m_gate.With(
        [&](decide::GateState& gate) { return function(m_state, gate); });
  }

  const decide::RolloutPlan& Plan();
  Awaitable<void> Execute(decide::RolloutAction action);
  Awaitable<void> Fetch(Digest digest);
  Awaitable<void> ReadPermits();
  Awaitable<void> WritePermits(decide::LoadPermits permits);
  Awaitable<void> MintFencingToken();
  Awaitable<void> Order(Digest digest, uint64_t fence);
  Awaitable<void> QueryEngine(uint64_t epoch);

  /// The following run concurrently with the steps, which may take minutes
  /// each.
  Awaitable<void> MaintainPermit();
  Awaitable<void> RenewPermit();
  Awaitable<void> PollEngine();
  Awaitable<void> WatchEngine();
  Awaitable<void> CheckEngine();

  /// Frees the memory of a version that is no longer declared. An engine that
  /// is reading the version's weights gets an incomplete response.
  void DropUndeclared(const Digest& digest);
  /// Drops all versions except these two. Returns true if any was dropped.
  bool DropAllExcept(const Digest& wanted, const Digest& previous);

  const std::string m_host;
  const std::string m_pool;
  const Endpoint m_weights_server;
  ConfigStore& m_config;
  HostDirectory& m_hosts;
  GuardedGate& m_gate;
  WeightsStore& m_store;
  WeightsFetcher& m_fetcher;
  backends::Engine& m_engine;
  FencingTokenMinter m_fences;
  LoadPermitTable m_permits;
  decide::RolloutPlan m_plan;
  uint64_t m_plan_revision = 0;
  mutable decide::RolloutState m_state;
  /// The version that is declared for the pool, for progress().
  Digest m_declared_digest;
  decide::RolloutStage m_logged_stage = decide::RolloutStage::kIdle;
  /// Names of all versions that this process has seen declared, by digest.
  std::map<Digest, std::string> m_version_names;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_VERSION_CONTROLLER_H_
