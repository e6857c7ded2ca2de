#include "target/engine_keeper.h"

#include <boost/asio/this_coro.hpp>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/load_turn.h"

namespace verbenalead::target {
namespace {

/// How often the engine is looked at. It answers its own host at once and
/// without a price; what it does is known to callers within this and one way.
constexpr Duration kLookInterval = 100ms;
/// The entries hear of a load so long before the order, so that calls on their
/// way arrive before the engine turns them away.
constexpr Duration kNoticeBeforeLoad = 30ms;
/// Passes over the staged chunks: one to stage, one to read back, and more for
/// chunks that go bad in between.
constexpr int kMostPasses = 5;
/// The load must have begun so long before its bound: it still takes its time,
/// and entries stop using older weights a little before the bound.
constexpr Duration kTurnMargin = 1200ms;
/// From the order to the end of the load: running streams end first.
constexpr Duration kOutage = 1300ms;
/// The least time in which the chunks are everywhere: a copy takes 2 s on the
/// links of the hosts.
constexpr Duration kTransferTime = 2300ms;

}  // namespace

EngineKeeper::EngineKeeper(TargetState& state,
                           platform::EngineClient& engine,
                           ChunkFetcher& fetcher,
                           std::function<void()> tell)
    : m_state(state),
      m_engine(engine),
      m_fetcher(fetcher),
      m_tell(std::move(tell)) {}

Awaitable<void> EngineKeeper::Run() {
  while (true) {
    if (m_state.m_engine && !m_state.m_engine->m_model.empty())
      co_await Look();
    const links::WeightsNews news = News();
    if (news != m_told || news.m_loading) {
      m_told = news;
      m_tell();
    }
    co_await Sleep(kLookInterval);
  }
}

uint64_t EngineKeeper::Loaded() const {
  if (!m_report)
    return 0;
  const auto found = m_report->m_weights.find(m_state.m_engine->m_model);
  return found == m_report->m_weights.end() ? 0 : found->second;
}

links::WeightsNews EngineKeeper::News() const {
  links::WeightsNews news;
  const model::Replica* replica = OwnReplica(m_state);
  news.m_replica = replica ? replica->m_id : "";
  news.m_service = m_state.m_options.m_service;
  news.m_version = m_state.m_engine ? Loaded() : 0;
  news.m_loading = m_stopped_calls || (m_report && m_report->m_loading);
  return news;
}

void EngineKeeper::NoteReport(AsyncResult<model::EngineReport> report) {
  if (!report) {
    if (m_report)
      LogLine("engine_lost").With(report.error()).Warn();
    m_report.reset();
    return;
  }
  const bool restarted =
      m_report && (m_report->m_started_ms != report->m_started_ms ||
                   report->m_orders < m_report->m_orders);
  if (!m_report || restarted) {
    LogLine("engine_found")
        .With("restarted", restarted)
        .With("orders", report->m_orders)
        .With("started_ms", report->m_started_ms)
        .Info();
  }
  if (restarted)
    m_staged = 0;
  m_report = *report;
}

Awaitable<void> EngineKeeper::Look() {
  NoteReport(co_await m_engine.Report());
  if (!m_report || m_report->m_loading)
    co_return;
  const uint64_t wanted = WantedVersion(m_state);
  if (Loaded() >= wanted) {
    m_stopped_calls = false;
    if (m_adopted < wanted && !m_state.m_cache.Complete(wanted)) {
      m_adopted = wanted;
      co_await Adopt(wanted);
    }
    co_return;
  }
  if (!m_state.m_cache.Complete(wanted)) {
    if (m_fetcher.version() == wanted)
      co_return;
    if (!co_await m_fetcher.LearnDigests(wanted))
      co_return;
    if (m_adopted < wanted) {
      // What a restarted engine still has staged needn't be fetched again.
      m_adopted = wanted;
      co_await Adopt(wanted);
    }
    Spawn(co_await boost::asio::this_coro::executor, m_fetcher.Fetch(wanted),
          "fetch");
    co_return;
  }
  if (m_staged != wanted) {
    if (co_await StageAll(wanted))
      m_staged = wanted;
    co_return;
  }
  if (Loaded() > 0 && Now() < Turn())
    co_return;
  co_await Load(wanted);
}

TimePoint EngineKeeper::Turn() const {
  const model::Replica* own = OwnReplica(m_state);
  std::vector<std::string> replicas;
  for (const auto& [id, replica] : m_state.m_replicas) {
    if (replica.m_service == m_state.m_options.m_service && !replica.m_leaving)
      replicas.push_back(id);
  }
  const decide::LoadTurns turns = {
      m_state.m_options.m_weights_bound - kTurnMargin, kTransferTime, kOutage};
  return m_state.m_declared_at +
         decide::LoadDelay(turns, own ? own->m_id : "", std::move(replicas));
}

Awaitable<void> EngineKeeper::Adopt(uint64_t version) {
  if (!co_await m_fetcher.LearnDigests(version)) {
    m_adopted = 0;
    co_return;
  }
  for (uint32_t chunk = 0; chunk < m_state.m_engine->m_chunks; ++chunk) {
    auto bytes = co_await m_engine.ReadStaged(m_state.m_engine->m_model, chunk);
    if (!bytes && bytes.error().m_code != FailureCode::kNotFound)
      break;
    if (bytes)
      m_state.m_cache.Put(version, chunk, std::move(*bytes));
  }
  LogLine("staged_adopted")
      .With("version", version)
      .With("chunks",
            static_cast<uint64_t>(m_state.m_cache.Held(version).size()))
      .Info();
  m_tell();
}

Awaitable<AsyncResult<uint32_t>> EngineKeeper::StagePass(uint64_t version) {
  uint32_t staged = 0;
  const std::string model = m_state.m_engine->m_model;
  for (uint32_t chunk = 0; chunk < m_state.m_engine->m_chunks; ++chunk) {
    const CachedVersion* cached = m_state.m_cache.Find(version);
    if (!cached || !cached->m_chunks[chunk]) {
      co_return Failure{FailureCode::kCancelled, "stage", model,
                        "another version is wanted"};
    }
    const std::shared_ptr<const std::string> wanted = cached->m_chunks[chunk];
    auto there = co_await m_engine.ReadStaged(model, chunk);
    if (there && *there == *wanted)
      continue;
    if (!there && there.error().m_code != FailureCode::kNotFound)
      co_return there.error();
    auto put = co_await m_engine.Stage(model, chunk, *wanted);
    if (!put)
      co_return put.error();
    ++staged;
  }
  co_return staged;
}

Awaitable<bool> EngineKeeper::StageAll(uint64_t version) {
  for (int pass = 0; pass < kMostPasses; ++pass) {
    auto staged = co_await StagePass(version);
    if (!staged) {
      LogLine("not_staged")
          .With("version", version)
          .With(staged.error())
          .Warn();
      co_return false;
    }
    LogLine("staged")
        .With("version", version)
        .With("chunks_put", uint64_t{*staged})
        .Info();
    if (*staged == 0)
      co_return true;
  }
  co_return false;
}

Awaitable<void> EngineKeeper::Load(uint64_t version) {
  // Read back right before the order: the engine takes what lies there, and
  // staged chunks go bad by themselves.
  if (!co_await StageAll(version)) {
    m_staged = 0;
    co_return;
  }
  if (WantedVersion(m_state) != version || !m_report)
    co_return;
  m_stopped_calls = true;
  m_tell();
  if (Loaded() > 0)
    co_await Sleep(kNoticeBeforeLoad);
  auto loading = co_await m_engine.Load(m_state.m_engine->m_model, version,
                                        m_report->m_orders);
  LogLine line("load_ordered");
  line.With("version", version)
      .With("before", Loaded())
      .With("orders", m_report->m_orders)
      .With("accepted", loading.has_value());
  if (!loading) {
    line.With(loading.error());
    m_stopped_calls = false;
  }
  line.Info();
}

}  // namespace verbenalead::target
