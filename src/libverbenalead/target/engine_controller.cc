#include "target/engine_controller.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <cmath>

#include "base/log.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "decide/placement/replica_speed.h"
#include "decide/rollout/even_turn.h"
#include "decide/rollout/read_back.h"
#include "links/cold_log.h"

namespace verbenalead::target {
namespace {

/// Interval between status queries to the engine. Queries from the same host
/// are answered at once and cost nothing. Entries learn of a change within this
/// interval plus the one-way network delay.
constexpr Duration kEnginePollInterval = 100ms;
/// Interval at which an engine that doesn't answer is queried. After a loss of
/// power no replica serves until its engine is found.
constexpr Duration kEngineSearchInterval = 25ms;
/// The window for loads ends this long before the deadline for new weights.
/// From then on, entries send no calls to a replica with older weights: calls
/// are cancelled if they haven't begun 0.3 s before the deadline, and replicas
/// are chosen 0.4 s earlier. Such a replica may load after the deadline, as no
/// call starts there any more.
constexpr Duration kDeadlineMargin = 700ms;
/// Paces are rounded to multiples of this, as each change is sent to entries.
constexpr double kPaceStep = 0.25;
/// Cost of one more load of all replicas when versions are chosen: each replica
/// is out of service for about this time, for its drain and its load.
constexpr Duration kLoadCost = 1000ms;
/// How much longer than the engine's load the query for its end continues.
constexpr Duration kLoadTimeout = 1000ms;
/// Time from the end of a load until entries send calls again, beside the load
/// itself: the query that sees the end, and the update to the entries.
constexpr Duration kLoadOverhead = 100ms;
/// The read-back of the staged chunks begins this long before the turn, so that
/// the replica's turn is not late by the time of the read-back.
constexpr Duration kReadBackTime = 300ms;
/// Entries are notified this long before the scheduled load, and then send new
/// calls to the replica only if no other one has a free slot. Three quarters of
/// the users' streams end within this time, so few have to be aborted. An
/// aborted stream has its prompt read again at another replica and pauses for
/// longer than its caller accepts.
constexpr Duration kClosingNotice = 1200ms;
/// The time until all hosts have all chunks is estimated as a sum of three: the
/// time of a copy of the weights over this host's link, times the first factor;
/// that of a copy over the origin's link, times the second; and
/// kTimePerDoubling for each doubling from one host to all of them.
constexpr double kLinkCopyFactor = 1.25;
constexpr double kOriginCopyFactor = 0.45;
constexpr Duration kTimePerDoubling = 130ms;
constexpr Duration kLoadPollInterval = 25ms;

/// Time until a chunk that one host has is on all hosts.
Duration SpreadTime(const TargetState& state) {
  const double hosts =
      static_cast<double>(std::max<size_t>(2, state.m_replicas.size()));
  return std::chrono::duration_cast<Duration>(kTimePerDoubling *
                                              std::log2(hosts));
}

Duration TransferTime(const TargetState& state) {
  const Duration link =
      decide::CopyTime(*state.m_engine, state.m_options.m_link_rate);
  const Duration origin =
      decide::CopyTime(*state.m_engine, state.m_origin_rate);
  return std::chrono::duration_cast<Duration>(link * kLinkCopyFactor +
                                              origin * kOriginCopyFactor) +
         SpreadTime(state);
}

decide::LoadTimes LoadTimesOf(const TargetState& state) {
  return {state.m_options.m_weights_bound - kDeadlineMargin,
          TransferTime(state)};
}

/// Whether the engine has answered that it doesn't carry the order out.
bool IsRejection(const Failure& failure) {
  return failure.m_code == FailureCode::kConflict ||
         failure.m_code == FailureCode::kRefused ||
         failure.m_code == FailureCode::kNotFound;
}

}  // namespace

EngineController::EngineController(TargetState& state,
                                   platform::EngineClient& engine,
                                   ChunkFetcher& fetcher,
                                   std::function<void()> notify,
                                   std::function<double()> fullness)
    : m_state(state),
      m_engine(engine),
      m_fetcher(fetcher),
      m_notify(std::move(notify)),
      m_get_utilisation(std::move(fullness)),
      m_stager(state, engine) {}

Awaitable<void> EngineController::Run() {
  while (true) {
    if (m_state.m_engine && !m_state.m_engine->m_model.empty())
      co_await Poll();
    const links::ReplicaUpdate update = CurrentUpdate();
    if (update != m_last_update || update.m_loading) {
      m_last_update = update;
      m_notify();
    }
    co_await WaitForNextPoll();
  }
}

Awaitable<void> EngineController::WaitForNextPoll() {
  const TimePoint end = Now() + kEnginePollInterval;
  if (m_report) {
    co_await Sleep(kEnginePollInterval);
    co_return;
  }
  while (Now() < end) {
    co_await Sleep(kEngineSearchInterval);
    if (!m_state.m_engine || m_state.m_engine->m_model.empty())
      continue;
    const auto report = co_await m_engine.Report();
    if (report)
      co_return;
  }
}

uint64_t EngineController::Loaded() const {
  if (!m_report)
    return 0;
  const auto found = m_report->m_weights.find(m_state.m_engine->m_model);
  if (found == m_report->m_weights.end() || found->second == m_unproven_version)
    return 0;
  return found->second;
}

links::ReplicaUpdate EngineController::CurrentUpdate() const {
  links::ReplicaUpdate update;
  const model::Replica* replica = OwnReplica(m_state);
  update.m_replica = replica ? replica->m_id : "";
  update.m_service = m_state.m_options.m_service;
  update.m_version = m_state.m_engine ? Loaded() : 0;
  update.m_pace_percent = static_cast<uint32_t>(
      std::lround(m_state.m_engine_pace * links::kUsualPacePercent));
  update.m_closing = m_closing;
  update.m_loading = m_calls_stopped || (m_report && m_report->m_loading);
  if (IsLeaving())
    update.m_statements.m_leaving = replica ? replica->m_started_ms : 0;
  return update;
}

bool EngineController::IsLeaving() const {
  const model::Replica* replica = OwnReplica(m_state);
  return (m_report && m_report->m_leaving) || (replica && replica->m_leaving);
}

void EngineController::RecordEngineReport(
    AsyncResult<model::EngineReport> report) {
  if (!report) {
    if (m_report)
      LogLine("engine_lost").With(report.error()).Warn();
    m_report.reset();
    return;
  }
  const bool restarted =
      m_report && (m_report->m_started_ms != report->m_started_ms ||
                   report->m_orders < m_report->m_orders);
  if (report->m_leaving && (!m_report || !m_report->m_leaving))
    LogLine("engine_leaving").With("active", uint64_t{report->m_active}).Info();
  if (!m_report || restarted) {
    LogLine("engine_found")
        .With("restarted", restarted)
        .With("orders", report->m_orders)
        .With("started_ms", report->m_started_ms)
        .Info();
  }
  if (restarted) {
    m_stager.ForgetAll();
    m_staging_searched_for = 0;
    m_unproven_version = 0;
    m_not_reloaded_version = 0;
  }
  m_report = *report;
  RecordCold(*m_report);
  RecordPace(*m_report);
}

void EngineController::RecordPace(const model::EngineReport& report) {
  if (!m_state.m_options.m_by_speed)
    return;
  const auto pace = report.m_pace ? decide::ValidPace(*report.m_pace) : 1;
  if (!pace && m_logged_pace != report.m_pace) {
    m_logged_pace = report.m_pace;
    LogLine("pace_ignored")
        .With("pace", *report.m_pace)
        .With("above", 0)
        .With("max", decide::kMaxPace)
        .Warn();
  }
  const double used = std::round(pace.value_or(1) / kPaceStep) * kPaceStep;
  if (used == m_state.m_engine_pace)
    return;
  LogLine("engine_pace")
      .With("pace", used)
      .With("before", m_state.m_engine_pace)
      .Info();
  m_state.m_engine_pace = used;
  m_state.m_metrics.Set("engine_pace", "", used);
}

void EngineController::RecordCold(const model::EngineReport& report) {
  m_state.m_engine_started_ms = report.m_started_ms;
  m_state.m_engine_cold.reset();
  if (!report.m_cold_left)
    return;
  if (decide::IsValidColdTime(*report.m_cold_left)) {
    m_state.m_engine_cold = decide::ColdByAnswer(*report.m_cold_left, Now());
  } else if (m_logged_cold_left != report.m_cold_left) {
    m_logged_cold_left = report.m_cold_left;
    links::LogBadColdTime(ToString(m_engine.endpoint()), *report.m_cold_left,
                          "report");
  }
}

void EngineController::RecordCompleteVersions() {
  for (const auto& [version, cached] : m_state.m_cache.versions()) {
    if (m_state.m_cache.Complete(version))
      m_version_complete_at.emplace(version, Now());
    else
      m_version_complete_at.erase(version);
  }
}

std::optional<decide::LoadPlan> EngineController::PlanNextLoad() const {
  const decide::LoadTimes times = LoadTimesOf(m_state);
  std::map<uint64_t, decide::DeclaredVersion> declared;
  for (const auto& [version, when] : m_state.m_declared) {
    // Even a few missing chunks have to be fetched from the origin and spread
    // to all hosts, so the estimate has a lower bound.
    const double left = 1 - m_state.m_cache.HeldShare(version);
    const Duration needed =
        std::max(SpreadTime(m_state),
                 std::chrono::duration_cast<Duration>(times.m_transfer * left));
    const auto complete_at = m_version_complete_at.find(version);
    declared[version] = {
        when,
        complete_at == m_version_complete_at.end() ? Now() + needed
                                                   : complete_at->second,
        m_fetcher.IsGivenUp(version) && !m_state.m_cache.Complete(version)};
  }
  if (auto plan = decide::PlanLoad(times, declared, Loaded()))
    return plan;
  // The engine has no weights, or does not answer. Before any declaration,
  // engines run version 1, which `NewestVersion` then returns.
  if (Loaded() == 0)
    return decide::LoadPlan{NewestVersion(m_state), Now(), Now()};
  return std::nullopt;
}

bool EngineController::ShouldFinishFetch() const {
  // The missing chunks of a version that is held in large part come from other
  // hosts even if the origin fails. The newer version may be unavailable for a
  // long time.
  const uint64_t version = m_fetcher.version();
  if (!m_fetch_order.empty())
    return decide::ContinuesTransfer(version, NextOfFetchOrder());
  return version > Loaded() && m_fetcher.is_progressing() &&
         m_state.m_cache.HeldShare(version) >= decide::kMinShareToFinish;
}

std::map<uint64_t, decide::VersionSupply> EngineController::Supplies() const {
  const Duration bound = LoadTimesOf(m_state).m_bound;
  std::map<uint64_t, decide::VersionSupply> supplies;
  for (const auto& [version, declared] : m_state.m_declared) {
    if (version <= Loaded())
      continue;
    // A version declared before this process started may be held by hosts that
    // it has not heard of.
    const bool is_held = declared < m_started_at || IsLoadedElsewhere(version);
    supplies[version] = {
        declared + bound, is_held ? 0 : m_fetcher.MissingEverywhere(version),
        m_state.m_cache.Find(version) != nullptr, m_fetcher.IsGivenUp(version)};
  }
  return supplies;
}

void EngineController::ChooseVersion() {
  m_fetch_order.clear();
  if (!PreparesForOutages(m_state) || Loaded() == 0)
    return;
  const decide::VersionTimes times = {m_fetcher.OriginInterval(),
                                      SpreadTime(m_state),
                                      m_state.m_engine->m_load, kLoadCost};
  decide::VersionChoice choice = decide::ChooseVersions(
      Supplies(), times, !m_state.m_origin_unavailable, Now());
  m_fetcher.GiveUp(choice.m_given_up);
  m_fetch_order = std::move(choice.m_fetch_order);
}

std::optional<uint64_t> EngineController::NextOfFetchOrder() const {
  const auto next = std::find_if(
      m_fetch_order.begin(), m_fetch_order.end(),
      [&](uint64_t each) { return !m_state.m_cache.Complete(each); });
  return next == m_fetch_order.end() ? std::nullopt : std::optional(*next);
}

uint64_t EngineController::VersionToFetch(uint64_t planned) const {
  return NextOfFetchOrder().value_or(planned);
}

bool EngineController::IsLoadedElsewhere(uint64_t version) const {
  for (const auto& [id, replica] : m_state.m_replicas) {
    const auto loaded = replica.m_weights.find(m_state.m_engine->m_model);
    if (replica.m_service == m_state.m_options.m_service &&
        replica.m_endpoint != m_state.m_options.m_engine &&
        loaded != replica.m_weights.end() && loaded->second >= version)
      return true;
  }
  return false;
}

Awaitable<void> EngineController::Poll() {
  RecordEngineReport(co_await m_engine.Report());
  if (m_report && m_report->m_loading)
    co_return;
  m_calls_stopped = m_unproven_version > 0;
  RecordCompleteVersions();
  // Its calls run on to their end, which a load would cut off, and it gets no
  // new ones that would need newer weights.
  if (IsLeaving()) {
    m_closing = false;
    co_return;
  }
  ChooseVersion();
  const auto plan = PlanNextLoad();
  const uint64_t version = plan ? plan->m_version : Loaded();
  if (plan && m_window_version != version &&
      m_state.m_cache.Complete(version)) {
    m_window_version = version;
    m_window_fullness = m_get_utilisation();
  }
  m_closing = plan && Loaded() > 0 && m_state.m_cache.Staged(version) &&
              Now() + kClosingNotice >= TurnUnder(*plan).m_at;
  if (!m_report) {
    // A new host is up one second before its engine. Fetching from then on puts
    // its replica into service one second earlier.
    if (IsLoadedElsewhere(version))
      co_await Obtain(version);
    co_return;
  }
  co_await m_stager.Stage(version, Loaded());
  if (!m_state.m_cache.Complete(version)) {
    co_await Obtain(VersionToFetch(version));
    co_await PrefetchNewest();
    // An engine without weights doesn't wait for the next query if all chunks
    // were found staged. Otherwise the plan has to be made anew.
    if (!m_state.m_cache.Complete(version) || Loaded() > 0)
      co_return;
  }
  if (!plan)
    co_return;
  // Fetches the newest version while this one waits for its scheduled load.
  if (m_fetcher.version() == 0)
    co_await Obtain(VersionToFetch(NewestVersion(m_state)));
  if (!m_state.m_cache.Staged(version))
    co_return;
  if (version == m_not_reloaded_version)
    co_return;
  const decide::LoadTurn turn = TurnUnder(*plan);
  if (Loaded() > 0)
    LogTurn(*plan, turn);
  const Duration read_back =
      PreparesForOutages(m_state) ? kReadBackTime : Duration();
  // An engine without weights serves no calls, so it loads at once.
  if (Loaded() == 0 || Now() + read_back >= turn.m_at)
    co_await Load(version, turn);
}

Awaitable<void> EngineController::Obtain(uint64_t version) {
  const auto executor = co_await boost::asio::this_coro::executor;
  if (m_state.m_cache.Complete(version) || m_fetcher.version() == version ||
      ShouldFinishFetch())
    co_return;
  const bool had_digests = m_state.m_cache.Find(version) != nullptr;
  const TimePoint begun = Now();
  if (!co_await m_fetcher.ObtainDigests(version))
    co_return;
  if (!had_digests) {
    LogLine("digests_obtained")
        .With("version", version)
        .With("ms", ToMilliseconds(Now() - begun))
        .Info();
  }
  // Chunks that the engine still has staged need not be fetched. If the staging
  // area holds all chunks of the loaded version, it holds none of a newer one,
  // and reading it would only delay the transfer.
  const bool loaded_is_staged = m_staging_searched_for > 0 &&
                                m_staging_searched_for == Loaded() &&
                                m_state.m_cache.Complete(Loaded());
  if (m_report && m_staging_searched_for < version && !loaded_is_staged) {
    m_staging_searched_for = version;
    co_await m_stager.FindStaged(version);
    m_notify();
  }
  if (m_state.m_cache.Complete(version))
    co_return;
  Spawn(executor, m_fetcher.Fetch(version), "fetch");
}

Awaitable<void> EngineController::PrefetchNewest() {
  const uint64_t newest = NewestVersion(m_state);
  if (m_fetcher.version() == 0 || newest <= m_fetcher.version())
    co_return;
  Spawn(co_await boost::asio::this_coro::executor, m_fetcher.Prefetch(newest),
        "fetch_ahead");
}

decide::LoadTurn EngineController::TurnUnder(
    const decide::LoadPlan& plan) const {
  const model::Replica* own = OwnReplica(m_state);
  std::vector<decide::TurnReplica> replicas;
  for (const auto& [id, replica] : m_state.m_replicas) {
    if (replica.m_service == m_state.m_options.m_service && !replica.m_leaving)
      replicas.push_back(
          {id, replica.m_data_center,
           m_state.m_evacuated_data_centers.contains(replica.m_data_center)});
  }
  const bool prepares = PreparesForOutages(m_state);
  const decide::LoadWindow window = {
      plan.m_first_load_at, plan.m_last_load_at,
      plan.m_last_load_at + kDeadlineMargin,
      m_state.m_engine->m_load + kLoadOverhead,
      prepares ? m_window_fullness : m_get_utilisation()};
  if (!prepares)
    return decide::EvenTurnOf(window, own ? own->m_id : "", replicas);
  return decide::TurnOf(window, own ? own->m_id : "", replicas, Now());
}

void EngineController::LogTurn(const decide::LoadPlan& plan,
                               const decide::LoadTurn& turn) {
  if (m_logged_version == plan.m_version &&
      m_logged_turn.m_reason == turn.m_reason &&
      m_logged_turn.m_rank == turn.m_rank &&
      m_logged_turn.m_count == turn.m_count)
    return;
  m_logged_version = plan.m_version;
  m_logged_turn = turn;
  const Duration window = plan.m_last_load_at - plan.m_first_load_at;
  LogLine("load_turn")
      .With("version", plan.m_version)
      .With("before", Loaded())
      .With("in_ms", ToMilliseconds(turn.m_at - Now()))
      .With("window_ms", ToMilliseconds(window))
      .With("drain_ms", ToMilliseconds(turn.m_drain))
      .With("rank", static_cast<uint64_t>(turn.m_rank))
      .With("of", static_cast<uint64_t>(turn.m_count))
      .With("reason", decide::ToString(turn.m_reason))
      .Info();
}

Awaitable<bool> EngineController::WaitForTurn(uint64_t version, TimePoint at) {
  const Duration left = at - Now();
  if (left <= Duration())
    co_return true;
  co_await Sleep(left);
  RecordEngineReport(co_await m_engine.Report());
  co_return m_report && !IsLeaving() && m_state.m_cache.Staged(version);
}

Awaitable<void> EngineController::WaitForDrain(TimePoint end) {
  while (m_report && m_report->m_active + m_report->m_queued > 0 &&
         Now() < end) {
    co_await Sleep(kLoadPollInterval);
    RecordEngineReport(co_await m_engine.Report());
  }
}

Awaitable<bool> EngineController::HasRecentReadBack(uint64_t version) {
  const auto age = m_stager.ReadBackAge(version);
  if (decide::MayLoadAfterReadBack(age))
    co_return true;
  LogLine("read_back_outdated")
      .With("version", version)
      .With("age_ms", ToMilliseconds(age.value_or(Duration(-1ms))))
      .Warn();
  const bool correct = co_await m_stager.Verify(version);
  if (!correct)
    co_return false;
  co_return decide::MayLoadAfterReadBack(m_stager.ReadBackAge(version));
}

Awaitable<bool> EngineController::AreChunksCorrect(uint64_t version) {
  while (m_report) {
    const bool correct = co_await m_stager.Verify(version);
    if (correct)
      co_return true;
    if (!m_state.m_cache.Staged(version))
      co_return false;
    // A read failed, which says nothing of the chunks.
    co_await Sleep(kLoadPollInterval);
    RecordEngineReport(co_await m_engine.Report());
  }
  co_return false;
}

Awaitable<void> EngineController::CheckLoad(uint64_t version, bool begun) {
  const auto age = m_stager.ReadBackAge(version);
  if (decide::MayLoadAfterReadBack(age)) {
    if (begun)
      m_unproven_version = 0;
    else if (version == m_unproven_version)
      m_not_reloaded_version = version;
    co_return;
  }
  if (!begun)
    co_return;
  const bool correct = co_await AreChunksCorrect(version);
  m_unproven_version = correct ? 0 : version;
  LogLine("load_ordered_late")
      .With("version", version)
      .With("age_ms", ToMilliseconds(age.value_or(Duration(-1ms))))
      .With("correct", correct)
      .Warn();
  m_state.m_metrics.Count("loads_ordered_late_total", "");
}

Awaitable<void> EngineController::OrderLoad(uint64_t version,
                                            decide::LoadTurn turn,
                                            double fullness) {
  const auto loading = co_await m_engine.Load(m_state.m_engine->m_model,
                                              version, m_report->m_orders);
  LogLine line("load_ordered");
  line.With("version", version)
      .With("pool_fullness", fullness)
      .With("drain_ms", ToMilliseconds(turn.m_drain))
      .With("before", Loaded())
      .With("orders", m_report->m_orders)
      .With("accepted", loading.has_value())
      .With("begun", loading && *loading);
  if (!loading)
    line.With(loading.error());
  line.Info();
  if (!loading && IsRejection(loading.error()))
    m_calls_stopped = false;
  else
    co_await CheckLoad(version, !loading || *loading);
}

Awaitable<void> EngineController::Load(uint64_t version,
                                       decide::LoadTurn turn) {
  // Reads the staged chunks back as late as possible before the load; only the
  // rest of the wait for the turn and the drain come between. The engine loads
  // staged chunks without checking them, and they can become corrupt without
  // any write.
  if (!co_await m_stager.Verify(version) || !m_report)
    co_return;
  if (Loaded() > 0 && !co_await WaitForTurn(version, turn.m_at))
    co_return;
  m_calls_stopped = true;
  m_notify();
  const double fullness = m_get_utilisation();
  if (turn.m_reason == decide::TurnReason::kEven)
    turn.m_drain = decide::EvenDrainTime(fullness);
  if (Loaded() > 0)
    co_await WaitForDrain(Now() + turn.m_drain);
  const bool may_load = co_await HasRecentReadBack(version);
  if (!may_load || !m_report) {
    m_calls_stopped = false;
    co_return;
  }
  co_await OrderLoad(version, turn, fullness);
  const TimePoint until = Now() + m_state.m_engine->m_load + kLoadTimeout;
  do {
    co_await Sleep(kLoadPollInterval);
    RecordEngineReport(co_await m_engine.Report());
  } while (m_report && m_report->m_loading && Now() < until);
}

}  // namespace verbenalead::target
