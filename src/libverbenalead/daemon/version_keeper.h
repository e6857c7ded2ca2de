#ifndef VERBENALEAD_DAEMON_VERSION_KEEPER_H_
#define VERBENALEAD_DAEMON_VERSION_KEEPER_H_

#include <mutex>
#include <string>

#include "daemon/config_keeper.h"
#include "daemon/gate_keeper.h"
#include "daemon/weights_fetcher.h"
#include "platform/engine.h"
#include "platform/table.h"

namespace verbenalead::daemon {

/// What a target host has in force and on its way.
struct VersionProgress {
  std::string m_in_force;
  std::string m_loading;
  Digest m_loading_digest;
  uint32_t m_chunks_total = 0;

  friend bool operator==(const VersionProgress&,
                         const VersionProgress&) = default;
};

/// Brings the declared version into force on this host: fetches its weights,
/// shuts the gate, orders the engine to load, and opens the gate once the
/// engine has confirmed the digest. The only giver of orders to the engine.
class VersionKeeper {
 public:
  VersionKeeper(std::string host,
                std::string pool,
                Endpoint weights_server,
                ConfigKeeper& config,
                GateKeeper& gate,
                WeightsStore& store,
                WeightsFetcher& fetcher,
                platform::Engine& engine,
                platform::Table& table);

  /// Runs until the process ends. On one thread.
  Awaitable<void> Run();
  /// From any thread.
  VersionProgress progress() const;

 private:
  std::optional<model::VersionSpec> Wanted() const;
  Awaitable<AsyncResult<bool>> BringIntoForce(model::VersionSpec version);
  Awaitable<AsyncResult<bool>> Load(model::VersionSpec version);
  Awaitable<AsyncResult<uint64_t>> MintFence();
  Awaitable<void> CheckEngine();
  void DropOthers(const Digest& keep);
  void SetLoading(const std::string& version, const Digest& digest);

  const std::string m_host;
  const std::string m_pool;
  const Endpoint m_weights_server;
  ConfigKeeper& m_config;
  GateKeeper& m_gate;
  WeightsStore& m_store;
  WeightsFetcher& m_fetcher;
  platform::Engine& m_engine;
  platform::Table& m_table;
  mutable std::mutex m_mutex;
  VersionProgress m_progress;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_VERSION_KEEPER_H_
