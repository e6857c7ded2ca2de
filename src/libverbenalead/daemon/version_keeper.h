#ifndef VERBENALEAD_DAEMON_VERSION_KEEPER_H_
#define VERBENALEAD_DAEMON_VERSION_KEEPER_H_

#include <map>
#include <string>

#include "backends/engine.h"
#include "backends/table.h"
#include "daemon/config_keeper.h"
#include "daemon/fence_minter.h"
#include "daemon/gate_keeper.h"
#include "daemon/permit_table.h"
#include "daemon/version_progress.h"
#include "daemon/weights_fetcher.h"
#include "decide/rollout.h"

namespace verbenalead::daemon {

/// Brings the declared version into force on this host, as the rollout core
/// decides: does each of its steps and reports back. The only giver of orders
/// to the engine. Runs on one thread; what other threads see is under the
/// gate's lock.
class VersionKeeper {
 public:
  VersionKeeper(std::string host,
                std::string pool,
                Endpoint weights_server,
                ConfigKeeper& config,
                HostDirectory& hosts,
                GateKeeper& gate,
                WeightsStore& store,
                WeightsFetcher& fetcher,
                backends::Engine& engine,
                backends::Table& table);

  /// Runs until the process ends. On one thread.
  Awaitable<void> Run();
  /// From any thread.
  VersionProgress progress() const;

 private:
  /// Calls `function(state, gate)` under the gate's lock.
  template <typename Function>
  auto With(Function&& function) const {
    return m_gate.With(
        [&](decide::GateState& gate) { return function(m_state, gate); });
  }

  const decide::RolloutPlan& Plan();
  Awaitable<void> Do(decide::RolloutAction action);
  Awaitable<void> Fetch(Digest digest);
  Awaitable<void> ReadPermits();
  Awaitable<void> WritePermits(decide::PermitBoard board);
  Awaitable<void> MintFence();
  Awaitable<void> Order(Digest digest, uint64_t fence);
  Awaitable<void> AskEngine(uint64_t doubt);

  /// Beside the steps, which may take minutes each:
  Awaitable<void> KeepPermit();
  Awaitable<void> RenewPermit();
  Awaitable<void> PollEngine();
  Awaitable<void> WatchEngine();
  Awaitable<void> LookAtEngine();

  /// Frees the memory of a version that is not wanted any more, and breaks off
  /// an engine that is reading it.
  void DropUnwanted(const Digest& digest);
  /// Drops all versions but these; true if any was dropped.
  bool DropOthers(const Digest& wanted, const Digest& previous);

  const std::string m_host;
  const std::string m_pool;
  const Endpoint m_weights_server;
  ConfigKeeper& m_config;
  HostDirectory& m_hosts;
  GateKeeper& m_gate;
  WeightsStore& m_store;
  WeightsFetcher& m_fetcher;
  backends::Engine& m_engine;
  FenceMinter m_fences;
  PermitTable m_permits;
  decide::RolloutPlan m_plan;
  uint64_t m_plan_of_revision = 0;
  mutable decide::RolloutState m_state;
  /// What the pool declares, for progress().
  Digest m_wanted;
  decide::RolloutStage m_logged_stage = decide::RolloutStage::kIdle;
  /// Every version's name that was ever declared here, by digest.
  std::map<Digest, std::string> m_names;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_VERSION_KEEPER_H_
