#include "daemon/version_controller.h"

#include <boost/asio/this_coro.hpp>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"

namespace verbenalead::daemon {
namespace {

using Kind = decide::RolloutAction::Kind;

constexpr Duration kStepInterval = 20ms;
/// Delay after a step with an action. It prevents a busy loop if the action
/// fails immediately.
constexpr Duration kActionDelay = 1ms;
constexpr Duration kMintRetryDelay = 500ms;
constexpr Duration kLoadTimeout = std::chrono::minutes(10);
constexpr Duration kStatusTimeout = 2s;
constexpr Duration kStatusPollInterval = 1s;
constexpr Duration kReconnectDelay = 50ms;
constexpr Duration kPermitPollInterval = 200ms;

std::optional<Digest> DigestOf(
    const AsyncResult<backends::EngineStatus>& status) {
  return status ? std::optional<Digest>(status->m_digest) : std::nullopt;
}

}  // namespace

VersionController::VersionController(std::string host,
                                     std::string pool,
                                     Endpoint weights_server,
                                     ConfigStore& config,
                                     HostDirectory& hosts,
                                     GuardedGate& gate,
                                     WeightsStore& store,
                                     WeightsFetcher& fetcher,
                                     backends::Engine& engine,
                                     backends::Table& table)
    : m_host(std::move(host)),
      m_pool(std::move(pool)),
      m_weights_server(std::move(weights_server)),
      m_config(config),
      m_hosts(hosts),
      m_gate(gate),
      m_store(store),
      m_fetcher(fetcher),
      m_engine(engine),
      m_fences(m_host, gate.incarnation(), table),
      m_permits(m_pool, table),
      m_state(decide::StartRollout(m_host, gate.incarnation())) {}

const decide::RolloutPlan& VersionController::Plan() {
  const ConfigStore::State config = m_config.current();
  uint32_t hosts = 0;
  for (const model::Host& host : m_hosts.Hosts(model::HostRole::kTarget)) {
    if (host.pool() == m_pool && !host.leaving())
      ++hosts;
  }
  m_plan.m_hosts = hosts;
  if (config->m_revision == m_plan_revision)
    return m_plan;
  m_plan = decide::PlanForPool(*config, m_pool, hosts);
  m_plan_revision = config->m_revision;
  With([&](decide::RolloutState&, decide::GateState&) {
    for (const auto& [digest, name] : m_plan.m_declared)
      m_version_names[digest] = name;
  });
  return m_plan;
}

VersionProgress VersionController::progress() const {
  return With([&](decide::RolloutState& state, decide::GateState& gate) {
    auto name_of = [&](const Digest& digest) {
      auto found = m_version_names.find(digest);
      return found == m_version_names.end() ? std::string() : found->second;
    };
    VersionProgress progress;
    progress.m_active_version = name_of(gate.m_digest);
    progress.m_stage = decide::ToString(state.m_stage);
    progress.m_reason = state.m_reason;
    if (state.m_stage != decide::RolloutStage::kInForce) {
      progress.m_loading_version = name_of(m_declared_digest);
      progress.m_loading_digest = m_declared_digest;
    }
    return progress;
  });
}

Awaitable<void> VersionController::Run() {
  const auto executor = co_await boost::asio::this_coro::executor;
  Spawn(executor, MaintainPermit(), "keep_permit");
  SpawnLoop(executor, PollEngine(), "poll_engine");
  SpawnLoop(executor, WatchEngine(), "watch_engine");
  while (true) {
    const decide::RolloutPlan& plan = Plan();
    decide::RolloutAction action =
        With([&](decide::RolloutState& state, decide::GateState& gate) {
          const decide::RolloutStage before = m_logged_stage;
          const bool was_open = gate.m_open;
          m_declared_digest = plan.m_digest;
          decide::RolloutAction next =
              decide::NextStep(state, gate, plan, Now());
          if (was_open && !gate.m_open)
            LogLine("gate_shut").With("reason", "load").Info();
          m_logged_stage = state.m_stage;
          if (state.m_stage != before) {
            LogLine("rollout")
                .With("digest", ToString(plan.m_digest))
                .With("stage", decide::ToString(state.m_stage))
                .With("reason", state.m_reason)
                .With("gate_open", gate.m_open)
                .Info();
          }
          return next;
        });
    if (action.m_kind == Kind::kNone) {
      co_await Sleep(kStepInterval);
      continue;
    }
    co_await Execute(std::move(action));
    co_await Sleep(kActionDelay);
  }
}

Awaitable<void> VersionController::Execute(decide::RolloutAction action) {
  switch (action.m_kind) {
    case Kind::kNone:
      break;
    case Kind::kFetch:
      co_await Fetch(action.m_digest);
      break;
    case Kind::kReadPermits:
      co_await ReadPermits();
      break;
    case Kind::kWritePermits:
      co_await WritePermits(std::move(action.m_load_permits));
      break;
    case Kind::kMintFencingToken:
      co_await MintFencingToken();
      break;
    case Kind::kOrder:
      co_await Order(action.m_digest, action.m_fencing_token);
      break;
    case Kind::kQueryEngine:
      co_await QueryEngine(action.m_status_epoch);
      break;
  }
}

Awaitable<void> VersionController::Fetch(Digest digest) {
  const auto version = decide::VersionForPool(*m_config.current(), m_pool);
  if (!version || version->m_digest != digest)
    co_return;
  LogLine("transfer_begun")
      .With("version", version->m_name)
      .With("digest", ToString(digest))
      .Info();
  // `still_wanted` is a variable instead of a temporary: see "Coroutines and
  // GCC 12" in CONTRIBUTING.md. The transfer stops when the engine's state has
  // to be queried again. The query is short and may open the gate, and the
  // chunks received so far are kept.
  std::function<bool()> still_wanted = [this, digest] {
    return Plan().m_digest == digest &&
           With([](decide::RolloutState& state, decide::GateState& gate) {
             return state.m_resolved_epoch == gate.m_status_epoch;
           });
  };
  auto fetched = co_await m_fetcher.Fetch(*version, still_wanted);
  if (fetched) {
    if (*fetched) {
      With([&](decide::RolloutState& state, decide::GateState&) {
        decide::Fetched(state, digest);
      });
    } else if (Plan().m_digest != digest) {
      // Another version was declared during the transfer. Chunks of the old one
      // must not be served, nor mixed with those of the new one.
      LogLine("transfer_cancelled").With("version", version->m_name).Info();
      DropUndeclared(digest);
    }
    co_return;
  }
  // The previous version is kept for a rollback only while memory suffices.
  if (fetched.error().m_code == FailureCode::kRefused &&
      DropAllExcept(digest, digest))
    co_return;
  LogLine("version_failed")
      .With("version", version->m_name)
      .With(fetched.error())
      .Warn();
  With([&](decide::RolloutState& state, decide::GateState&) {
    decide::FetchFailed(state, ToString(fetched.error()), Now());
  });
}

Awaitable<void> VersionController::ReadPermits() {
  auto read = co_await m_permits.Read();
  if (!read)
    LogLine("permits_unavailable").With(read.error()).Warn();
  With([&](decide::RolloutState& state, decide::GateState&) {
    decide::PermitsRead(
        state, read ? std::optional<decide::LoadPermits>(*read) : std::nullopt,
        Now());
  });
}

Awaitable<void> VersionController::WritePermits(decide::LoadPermits permits) {
  const TimePoint sent = Now();
  const decide::WriteResult result =
      co_await m_permits.Write(std::move(permits));
  With([&](decide::RolloutState& state, decide::GateState& gate) {
    decide::PermitsWritten(state, gate, result, sent, Now());
  });
}

Awaitable<void> VersionController::MintFencingToken() {
  auto fence = co_await m_fences.IssueToken();
  if (fence) {
    With([&](decide::RolloutState& state, decide::GateState&) {
      decide::FencingTokenMinted(state, *fence);
    });
    co_return;
  }
  LogLine("fence_not_minted").With(fence.error()).Warn();
  if (fence.error().m_code == FailureCode::kConflict) {
    With([](decide::RolloutState& state, decide::GateState& gate) {
      decide::Superseded(state, gate);
    });
  }
  co_await Sleep(kMintRetryDelay);
}

Awaitable<void> VersionController::Order(Digest digest, uint64_t fence) {
  const auto version = decide::VersionForPool(*m_config.current(), m_pool);
  std::string reason = "declared anew before the order";
  if (version && version->m_digest == digest) {
    backends::LoadOrder order;
    order.m_model = version->m_model;
    order.m_version = version->m_name;
    order.m_digest = digest;
    order.m_fencing_token = fence;
    order.m_weights_url =
        "http://" + ToString(m_weights_server) + "/weights/" + ToString(digest);
    LogLine("load_ordered")
        .With("version", version->m_name)
        .With("digest", ToString(digest))
        .With("fence", fence)
        .Info();
    auto loaded = co_await m_engine.Load(order, Now() + kLoadTimeout);
    reason = loaded ? std::string() : ToString(loaded.error());
  }
  With([&](decide::RolloutState& state, decide::GateState& gate) {
    decide::OrderEnded(state, gate, reason);
  });
}

Awaitable<void> VersionController::QueryEngine(uint64_t epoch) {
  auto status = co_await m_engine.Status(Now() + kStatusTimeout);
  const decide::RolloutPlan& plan = Plan();
  const Digest previous =
      With([&](decide::RolloutState& state, decide::GateState& gate) {
        const bool was_open = gate.m_open;
        decide::EngineStatusReceived(state, gate, plan, DigestOf(status), epoch,
                                     Now());
        if (gate.m_open && !was_open) {
          LogLine("gate_opened")
              .With("version", m_version_names[gate.m_digest])
              .With("digest", ToString(gate.m_digest))
              .With("generation", gate.m_generation)
              .Info();
        }
        return state.m_previous_version;
      });
  if (status && status->m_digest == plan.m_digest)
    DropAllExcept(plan.m_digest, previous);
}

Awaitable<void> VersionController::MaintainPermit() {
  while (true) {
    const auto [due, ordered] =
        With([](decide::RolloutState& state, decide::GateState&) {
          return std::pair(decide::RenewalDue(state, Now()),
                           state.m_ordered_version);
        });
    if (due)
      co_await RenewPermit();
    if (!ordered.empty() && ordered != Plan().m_digest)
      DropUndeclared(ordered);
    co_await Sleep(kPermitPollInterval);
  }
}

Awaitable<void> VersionController::RenewPermit() {
  auto read = co_await m_permits.Read();
  if (!read)
    co_return;
  std::optional<decide::LoadPermits> next =
      With([&](decide::RolloutState& state, decide::GateState&) {
        return decide::WithPermitRenewed(state, *read);
      });
  if (!next)
    co_return;
  const TimePoint sent = Now();
  const decide::WriteResult result = co_await m_permits.Write(std::move(*next));
  if (result != decide::WriteResult::kCommitted)
    co_return;
  With([&](decide::RolloutState& state, decide::GateState&) {
    decide::RenewalWritten(state, sent);
  });
}

Awaitable<void> VersionController::CheckEngine() {
  auto status = co_await m_engine.Status(Now() + kStatusTimeout);
  With([&](decide::RolloutState& state, decide::GateState& gate) {
    const bool was_open = gate.m_open;
    decide::EnginePolled(state, gate, DigestOf(status));
    if (was_open && !gate.m_open) {
      LogLine line("gate_shut");
      if (status)
        line.With("reason", "engine_serves_another_version").Warn();
      else
        line.With(status.error()).Warn();
    }
  });
}

Awaitable<void> VersionController::PollEngine() {
  while (true) {
    co_await Sleep(kStatusPollInterval);
    co_await CheckEngine();
  }
}

Awaitable<void> VersionController::WatchEngine() {
  while (true) {
    co_await m_engine.WaitForDisconnect();
    co_await CheckEngine();
    co_await Sleep(kReconnectDelay);
  }
}

void VersionController::DropUndeclared(const Digest& digest) {
  m_store.Drop(digest);
  With([&](decide::RolloutState& state, decide::GateState&) {
    if (state.m_fetched == digest)
      state.m_fetched = {};
  });
}

bool VersionController::DropAllExcept(const Digest& wanted,
                                      const Digest& previous) {
  bool dropped = false;
  for (const Digest& digest : m_store.Versions()) {
    if (digest == wanted || digest == previous)
      continue;
    DropUndeclared(digest);
    dropped = true;
  }
  return dropped;
}

}  // namespace verbenalead::daemon
