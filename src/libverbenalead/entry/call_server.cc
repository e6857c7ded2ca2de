#include "entry/call_server.h"

#include <algorithm>

#include "base/log.h"
#include "decide/regions/allowed_data_centers.h"
#include "entry/call_run.h"
#include "entry/crash_blame.h"
#include "platform/call_headers.h"

namespace verbenalead::entry {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// Time limit of a call for which neither the caller nor the route sets one.
constexpr Duration kDefaultTimeLimit = 30s;

Awaitable<void> RefuseCall(wire::ResponseWriter& caller,
                           EntryState& state,
                           const model::InboundCall& call,
                           int status,
                           std::string reason,
                           Duration retry_after) {
  LogLine("call")
      .With("call", call.m_id)
      .With("host", call.m_host)
      .With("path", call.m_path)
      .With("config",
            state.m_routes ? state.m_routes->config().m_version : uint64_t{0})
      .With("outcome", "refused")
      .With("status", status)
      .With("ran", false)
      .With("reason", reason)
      .Info();
  state.m_metrics.Count("calls_total", "outcome=\"turned_away\"");
  co_await caller.Send(
      platform::EncodeRefusal(status, call.m_id, reason, retry_after));
}

}  // namespace

Duration CallServer::EstimateElapsed(const std::string& route,
                                     std::optional<Duration> left) {
  if (!left)
    return Duration();
  Duration& longest = m_longest_time_left[route];
  longest = std::max(longest, *left);
  return decide::MinElapsed(longest, *left);
}

Awaitable<void> CallServer::Serve(const wire::Request& request,
                                  wire::ResponseWriter& caller) {
  CallPlan plan;
  plan.m_started_at = Now();
  plan.m_call = platform::DecodeCall(request);
  const model::InboundCall& call = plan.m_call;
  // Failure: a call arrives on a caller's persistent connection while the entry
  // stops and other callers have already moved to other entries. Symptom: its
  // answer is cut off when the process exits. Idle connections are closed at
  // this point, so only calls that were sent at the same moment arrive here;
  // they are refused at once as not run.
  if (!m_state.m_accepts_calls) {
    co_await RefuseCall(
        caller, m_state, call, kUnavailable, "not run: the entry stops",
        decide::RetryAfter(decide::Refusal::kNotReady, m_state.m_random));
    co_return;
  }
  const auto routes = m_state.m_routes;
  if (!routes || !m_state.m_replicas_known) {
    const std::string reason =
        routes ? "not run: the list of replicas has not been read yet"
               : "not run: the configuration has not been read yet";
    co_await RefuseCall(
        caller, m_state, call, kUnavailable, reason,
        decide::RetryAfter(decide::Refusal::kNotReady, m_state.m_random));
    co_return;
  }
  const model::Route* route = routes->FindRoute(call.m_host, call.m_path);
  const model::Organisation* organisation =
      routes->FindOrganisation(call.m_api_key);
  const bool needs_key =
      route && !route->m_anonymous && !routes->config().m_organisations.empty();
  // Without a valid lease the configuration may be out of date: a route or key
  // that is missing here may have been added, and a key that is present may
  // have been revoked. So a call without a known route, or one that needs a
  // key, is refused as not run, and its caller may retry.
  if ((!route || needs_key) && !HasValidLease(m_state)) {
    co_await RefuseCall(
        caller, m_state, call, kUnavailable,
        "not run: the configuration is too old",
        decide::RetryAfter(decide::Refusal::kNotReady, m_state.m_random));
    co_return;
  }
  if (!route) {
    co_await RefuseCall(caller, m_state, call, kNotFound, "no such route",
                        Duration());
    co_return;
  }
  if (needs_key && !organisation) {
    co_await RefuseCall(caller, m_state, call, kUnauthorized,
                        "the key isn't known", Duration());
    co_return;
  }
  plan.m_route = *route;
  if (needs_key)
    plan.m_organisation = organisation->m_name;
  plan.m_data_centers = decide::AllowedDataCenters(
      route->m_regions,
      needs_key ? organisation->m_regions : std::vector<std::string>(),
      m_state.m_options.m_regions);
  plan.m_fingerprint = decide::RequestKey(plan.m_organisation, request.m_method,
                                          request.m_path, request.m_body);
  plan.m_service = decide::SelectService(*route, m_state.m_random);
  plan.m_rank = routes->RankOf(plan.m_service, *route,
                               needs_key ? organisation : nullptr);
  plan.m_rank_count = routes->CountRanks(plan.m_service);
  for (const std::string& part : call.m_shared_parts)
    plan.m_parts.push_back(decide::PartKey(plan.m_service, part));
  if (IsBlockedCall(m_state, plan)) {
    co_await RefuseCall(
        caller, m_state, call, kUnavailable, CrashReason(m_state, plan),
        decide::RetryAfter(decide::Refusal::kCrashes, m_state.m_random));
    co_return;
  }
  plan.m_config_version = routes->config().m_version;
  const Duration limit =
      route->m_timeout > Duration() ? route->m_timeout : kDefaultTimeLimit;
  plan.m_deadline =
      plan.m_started_at + std::min(limit, call.m_time_left.value_or(limit));
  const model::Service* service = routes->FindService(plan.m_service);
  const model::EngineProfile* engine =
      service && service->m_engine ? &*service->m_engine : nullptr;
  if (engine) {
    plan.m_model = engine->m_model;
    plan.m_expected_run_time = decide::ExpectedRunTime(*engine, call);
  }
  plan.m_caller_elapsed = EstimateElapsed(route->m_name, call.m_time_left);
  plan.m_wait_limit = decide::WaitLimitFor(
      *route, engine, call, plan.m_caller_elapsed,
      GetOrCreateService(m_state, plan.m_service).m_wait_share.m_share);
  CallRun run(CallServices{m_state, m_slot_allocator, m_http}, std::move(plan),
              request, caller);
  co_await run.Run();
}

}  // namespace verbenalead::entry
