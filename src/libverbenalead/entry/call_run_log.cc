#include "base/join_names.h"
#include "base/metric_label.h"
#include "decide/attempts/not_run_promise.h"
#include "entry/call_run.h"

// The members of CallRun that log and count how calls end.

namespace verbenalead::entry {
namespace {

constexpr char kCut[] = "cut";
constexpr char kRefused[] = "refused";

}  // namespace

const char* CallRun::CutCause() const {
  if (m_caller.disconnected())
    return "caller";
  if (Left() <= Duration())
    return "time";
  // The call had time left, so a time-out here is due to the replica's silence,
  // not to the call's deadline.
  return m_failure == FailureCode::kTimeout ? "silence" : "replica";
}

void CallRun::LogCall(const std::string& outcome, int status) {
  m_state.m_metrics.Count("calls_total", "outcome=\"" + outcome + "\"");
  CountByClass(outcome);
  const std::string ended_by = outcome == kCut ? CutCause() : "";
  if (!ended_by.empty())
    m_state.m_metrics.Count("answers_cut_total", "by=\"" + ended_by + "\"");
  const TimePoint now = Now();
  const CallTimes& times = m_record->m_times;
  m_state.m_metrics.Observe(
      "call_seconds", "",
      std::chrono::duration<double>(now - m_plan.m_started_at).count());
  LogLine line("call");
  line.With("call", m_plan.m_call.m_id)
      .With("route", m_plan.m_route.m_name)
      .With("service", m_plan.m_service)
      .With("organisation", m_plan.m_organisation)
      .With("config", m_plan.m_config_version)
      .With("config_now",
            m_state.m_routes ? m_state.m_routes->config().m_version : 0)
      .With("outcome", outcome)
      .With("ended_by", ended_by)
      .With("status", status)
      .With("ran", decide::MayHaveRun(m_record->m_progress))
      .With("attempts", static_cast<uint64_t>(m_record->m_attempts))
      .With("events", m_record->m_events.m_events)
      .With("prompt_tokens", uint64_t{m_plan.m_call.m_prompt_tokens})
      .With("time_left_ms",
            ToMilliseconds(m_plan.m_call.m_time_left.value_or(Duration())))
      .With("objective_ms", ToMilliseconds(m_plan.m_route.m_objective))
      .With("elapsed_ms", ToMilliseconds(m_plan.m_caller_elapsed))
      .With("fresh", m_plan.m_wait_limit.m_can_be_on_time)
      .With("patience_ms", ToMilliseconds(m_plan.m_wait_limit.m_wait))
      .With("patience_share",
            GetOrCreateService(m_state, m_plan.m_service).m_wait_share.m_share)
      .With("waited_ms", ToMilliseconds(times.m_slot_wait))
      .With("first_event_ms",
            times.m_first_event ? ToMilliseconds(*times.m_first_event) : -1)
      .With("longest_pause_ms", ToMilliseconds(times.m_longest_pause))
      .With("ms", ToMilliseconds(now - m_plan.m_started_at))
      .With("left_ms", ToMilliseconds(Left()))
      .With("silent_ms", m_record->m_attempts > 0
                             ? ToMilliseconds(now - times.m_last_seen_at)
                             : 0)
      .With("lag_ms", ToMilliseconds(WorstLag(m_state.m_lag, now)))
      .With("reason", m_reason);
  if (outcome == kRefused) {
    LogPool(line);
    LogClass(line);
  }
  line.Info();
}

void CallRun::CountByClass(const std::string& outcome) {
  const decide::PoolCall& call = m_record->m_pool_call;
  const std::string label = ",outcome=\"" + outcome + "\"";
  if (call.m_rank)
    m_state.m_metrics.Count(
        "calls_by_rank_total",
        "rank=\"" + std::to_string(*call.m_rank) + "\"" + label);
  if (!call.m_organisation)
    return;
  decide::OrganisationUse& use =
      GetOrCreateService(m_state, m_plan.m_service).m_use;
  decide::NoteCall(use, *call.m_organisation, Now());
  m_state.m_metrics.Count(
      "calls_by_organisation_total",
      MetricLabel("organisation",
                  decide::CounterLabel(use, *call.m_organisation)) +
          label);
}

void CallRun::LogClass(LogLine& line) const {
  const decide::PoolCall& call = m_record->m_pool_call;
  const ServiceState& service = GetOrCreateService(m_state, m_plan.m_service);
  if (call.m_rank)
    line.With("rank", *call.m_rank);
  if (call.m_organisation)
    line.With("share", decide::ShareOf(service.m_use, *call.m_organisation));
  const auto wait = decide::StatedQueueWait(service.m_overload, Now());
  if (decide::IsRefusedEarly(call))
    line.With("queued", static_cast<uint64_t>(service.m_pool.m_waiting.size()))
        .With("expected_wait_ms", wait ? ToMilliseconds(*wait) : -1);
}

void CallRun::LogPool(LogLine& line) const {
  const decide::ReplicaPool& pool =
      GetOrCreateService(m_state, m_plan.m_service).m_pool;
  const decide::PoolLoad load =
      decide::LoadOf(pool, m_record->m_pool_call, Now());
  line.With("replicas", static_cast<uint64_t>(pool.m_replicas.size()))
      .With("slots", uint64_t{load.m_slots})
      .With("free_slots", uint64_t{load.m_slots - load.m_used_slots});
  if (m_plan.m_data_centers)
    line.With("allowed_data_centers", JoinNames(*m_plan.m_data_centers));
  if (!pool.m_evacuated_data_centers.empty())
    line.With("evacuated", JoinNames(pool.m_evacuated_data_centers));
}

}  // namespace verbenalead::entry
