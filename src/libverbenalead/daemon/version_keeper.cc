#include "daemon/version_keeper.h"

#include "base/log.h"
#include "base/sleep.h"

namespace verbenalead::daemon {
namespace {

constexpr Duration kStep = 50ms;
constexpr Duration kAfterFailure = 500ms;
constexpr Duration kLoadTimeout = std::chrono::minutes(10);
constexpr Duration kStatusTimeout = 2s;
constexpr Duration kCheckInterval = 1s;
constexpr char kFencePartition[] = "fence";
constexpr int kMaxFenceTries = 8;

}  // namespace

VersionKeeper::VersionKeeper(std::string host,
                             std::string pool,
                             Endpoint weights_server,
                             ConfigKeeper& config,
                             GateKeeper& gate,
                             WeightsStore& store,
                             WeightsFetcher& fetcher,
                             platform::Engine& engine,
                             platform::Table& table)
    : m_host(std::move(host)),
      m_pool(std::move(pool)),
      m_weights_server(std::move(weights_server)),
      m_config(config),
      m_gate(gate),
      m_store(store),
      m_fetcher(fetcher),
      m_engine(engine),
      m_table(table) {}

std::optional<model::VersionSpec> VersionKeeper::Wanted() const {
  return decide::VersionForPool(*m_config.current(), m_pool);
}

VersionProgress VersionKeeper::progress() const {
  std::lock_guard lock(m_mutex);
  return m_progress;
}

void VersionKeeper::SetLoading(const std::string& version,
                               const Digest& digest) {
  std::lock_guard lock(m_mutex);
  m_progress.m_loading = version;
  m_progress.m_loading_digest = digest;
}

Awaitable<void> VersionKeeper::Run() {
  TimePoint next_check{};
  while (true) {
    const auto wanted = Wanted();
    const bool in_force = m_gate.With([&](decide::GateState& gate) {
      return wanted && gate.m_open && gate.m_digest == wanted->m_digest;
    });
    if (!wanted) {
      co_await Sleep(kStep);
    } else if (in_force) {
      if (Now() >= next_check) {
        next_check = Now() + kCheckInterval;
        co_await CheckEngine();
      }
      co_await Sleep(kStep);
    } else {
      auto done = co_await BringIntoForce(*wanted);
      if (!done) {
        LogLine("version_failed")
            .With("version", wanted->m_name)
            .With(done.error())
            .Warn();
        co_await Sleep(kAfterFailure);
      }
    }
  }
}

Awaitable<AsyncResult<bool>> VersionKeeper::BringIntoForce(
    model::VersionSpec version) {
  SetLoading(version.m_name, version.m_digest);
  LogLine("transfer_begun")
      .With("version", version.m_name)
      .With("digest", ToString(version.m_digest))
      .Info();
  // Named, not a temporary: see "Coroutines and GCC 12" in CONTRIBUTING.md.
  std::function<bool()> still_wanted = [this, digest = version.m_digest] {
    const auto now_wanted = Wanted();
    return now_wanted && now_wanted->m_digest == digest;
  };
  auto fetched = co_await m_fetcher.Fetch(version, still_wanted);
  if (!fetched)
    co_return fetched.error();
  if (!*fetched) {
    // Declared anew in mid-transfer: another identity, so what has come of the
    // old one must not be served or mixed in.
    LogLine("transfer_cancelled").With("version", version.m_name).Info();
    m_store.Drop(version.m_digest);
    co_return false;
  }
  co_return co_await Load(version);
}

Awaitable<AsyncResult<bool>> VersionKeeper::Load(model::VersionSpec version) {
  auto fence = co_await MintFence();
  if (!fence)
    co_return fence.error();
  m_gate.With([](decide::GateState& gate) {
    decide::Shut(gate);
    return 0;
  });
  while (m_gate.With([](decide::GateState& g) { return g.m_running; }) > 0)
    co_await Sleep(kStep);
  platform::LoadOrder order;
  order.m_model = version.m_model;
  order.m_version = version.m_name;
  order.m_digest = version.m_digest;
  order.m_fence = *fence;
  order.m_weights_url = "http://" + ToString(m_weights_server) + "/weights/" +
                        ToString(version.m_digest);
  auto loaded = co_await m_engine.Load(order, Now() + kLoadTimeout);
  // Whatever the order's answer was, only what the engine now says of itself
  // opens the gate: the answer may be lost, or the order may have crossed
  // with another one.
  auto status = co_await m_engine.Status(Now() + kStatusTimeout);
  if (!status)
    co_return status.error();
  if (status->m_digest != version.m_digest) {
    co_return loaded ? Failure{FailureCode::kCorrupt, "load", m_host,
                               "the engine serves another version"}
                     : loaded.error();
  }
  m_gate.With([&](decide::GateState& gate) {
    decide::Open(gate, version.m_digest);
    return 0;
  });
  DropOthers(version.m_digest);
  LogLine("version_in_force")
      .With("version", version.m_name)
      .With("digest", ToString(version.m_digest))
      .With("fence", *fence)
      .Info();
  std::lock_guard lock(m_mutex);
  m_progress.m_in_force = version.m_name;
  m_progress.m_loading.clear();
  co_return true;
}

void VersionKeeper::DropOthers(const Digest& keep) {
  for (const Digest& digest : m_store.Versions()) {
    if (digest != keep)
      m_store.Drop(digest);
  }
}

Awaitable<AsyncResult<uint64_t>> VersionKeeper::MintFence() {
  using Condition = platform::TableWrite::Condition;
  std::optional<Failure> last;
  for (int tries = 0; tries < kMaxFenceTries; ++tries) {
    auto item = co_await m_table.Get(kFencePartition, m_host);
    if (!item) {
      last = item.error();
      co_await Sleep(kAfterFailure);
      continue;
    }
    const uint64_t known = item->has_value() ? (*item)->m_revision : 0;
    platform::TableWrite write{
        {kFencePartition, m_host, known + 1, "{}"},
        known ? Condition::kRevisionIs : Condition::kAbsent,
        known};
    std::vector<platform::TableWrite> writes;
    writes.push_back(std::move(write));
    auto done = co_await m_table.Transact(std::move(writes));
    // A lost answer costs one number: the next try mints a higher one.
    if (done && *done == platform::TransactResult::kCommitted)
      co_return known + 1;
  }
  co_return last.value_or(
      Failure{FailureCode::kConflict, "mint fence", "", "lost every race"});
}

Awaitable<void> VersionKeeper::CheckEngine() {
  auto status = co_await m_engine.Status(Now() + kStatusTimeout);
  m_gate.With([&](decide::GateState& gate) {
    if (status && status->m_digest == gate.m_digest)
      return 0;
    // The engine restarted, or somebody else gave it an order.
    LogLine line("gate_shut");
    if (status)
      line.With("reason", "engine_serves_another_version").Warn();
    else
      line.With(status.error()).Warn();
    decide::Shut(gate);
    return 0;
  });
}

}  // namespace verbenalead::daemon
