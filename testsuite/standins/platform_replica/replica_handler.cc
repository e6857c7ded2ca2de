#include "standins/platform_replica/replica_handler.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <cstdlib>

#include "base/log.h"
#include "base/metrics.h"
#include "base/sleep.h"
#include "base/spawn.h"
#include "http/client.h"
#include "platform/names.h"
#include "platform/store.h"
#include "standins/common/weights_pattern.h"

namespace verbenalead::standins {
namespace {

constexpr Duration kHeartbeatInterval = 300ms;
constexpr char kLeaving[] = "server-leaving";

uint64_t Number(const wire::Request& request, const char* name) {
  return std::strtoull(wire::QueryValue(request, name).c_str(), nullptr, 10);
}

/// Counts one call as active during the lifetime of the object. Logs the start
/// of the run, and at its end how it ended.
class RunScope {
 public:
  RunScope(Replica& replica, const wire::Request& request)
      : m_replica(replica),
        m_call(wire::Get(request.m_headers, platform::kRequestId)) {
    ++m_replica.m_active;
    ++m_replica.m_runs;
    LogLine("ran")
        .With("call", m_call)
        .With("organisation",
              wire::Get(request.m_headers, platform::kOrganisation))
        .With("weights", m_replica.m_version)
        .Info();
  }
  ~RunScope() {
    --m_replica.m_active;
    LogLine("run_ended").With("call", m_call).With("how", m_how).Info();
  }
  RunScope(const RunScope&) = delete;
  RunScope& operator=(const RunScope&) = delete;

  /// The complete response was sent.
  void MarkComplete() { m_how = "whole"; }
  /// The replica itself ended the response early.
  void MarkBrokenOff() { m_how = "broken_off"; }
  /// The replica ended the run with a status of its own.
  void MarkFailed(int status) { m_how = "failed_" + std::to_string(status); }

 private:
  Replica& m_replica;
  const std::string m_call;
  std::string m_how = "caller_left";
};

/// Adds what the replica states of itself in all its answers.
void AddStatements(const Replica& replica, wire::Headers& headers) {
  if (!replica.m_rate_limit.empty())
    headers[platform::kRateLimit] = replica.m_rate_limit;
  if (!replica.m_leaving_text.empty())
    headers[kLeaving] = replica.m_leaving_text;
  if (ColdLeft(replica) > Duration()) {
    headers[platform::kPrefixedColdLeft] =
        std::to_string(ToMilliseconds(ColdLeft(replica)));
  }
}

wire::Headers AnswerHeaders(const wire::Request& request,
                            const Replica& replica) {
  wire::Headers headers = {{platform::kRequestId,
                            wire::Get(request.m_headers, platform::kRequestId)},
                           {platform::kStamp, "stamp-of-" + replica.m_id}};
  if (replica.m_version > 0)
    headers[platform::kWeightVersion] = std::to_string(replica.m_version);
  AddStatements(replica, headers);
  return headers;
}

wire::Response NotRun(int status, const Replica& replica) {
  wire::Response response = {status, {{platform::kNotExecuted, "1"}}, ""};
  AddStatements(replica, response.m_headers);
  return response;
}

Awaitable<void> Load(std::shared_ptr<Replica> replica, uint64_t version) {
  bool good = true;
  for (uint32_t chunk = 0; chunk < kPatternChunks; ++chunk)
    good &= replica->m_staged[chunk] == PatternChunk(version, chunk);
  replica->m_bad_loads += good ? 0 : 1;
  co_await Sleep(replica->m_load_duration);
  replica->m_version = version;
  replica->m_loading = false;
}

Awaitable<wire::Response> Order(std::shared_ptr<Replica> replica,
                                std::string body) {
  const auto executor = co_await boost::asio::this_coro::executor;
  boost::system::error_code error;
  const boost::json::value order = boost::json::parse(body, error);
  if (error || !order.is_object())
    co_return wire::Response(400, {}, "");
  const boost::json::object& fields = order.as_object();
  if (replica->m_loading || fields.at("precondition").to_number<uint64_t>() !=
                                replica->m_accepted_orders)
    co_return wire::Response(409, {}, "");
  ++replica->m_accepted_orders;
  replica->m_loading = true;
  replica->m_version = 0;
  Spawn(executor, Load(replica, fields.at("version").to_number<uint64_t>()),
        "load");
  co_return wire::Response(202, {}, "");
}

/// Whether the prompt has the part that crashes the replica, not as its last.
bool Crashes(const Replica& replica, const wire::Request& request) {
  const std::string parts =
      "," + wire::Get(request.m_headers, platform::kPromptParts);
  const size_t found = parts.find("," + replica.m_crash_part + ":");
  return !replica.m_crash_part.empty() && found != std::string::npos &&
         parts.find(',', found + 1) != std::string::npos;
}

Awaitable<void> Stream(std::shared_ptr<Replica> replica,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  RunScope running(*replica, request);
  const std::string usage = wire::Get(request.m_headers, platform::kTokenUsage);
  const uint64_t events =
      std::strtoull(usage.c_str() + usage.find(',') + 1, nullptr, 10);
  const uint64_t after = std::strtoull(
      wire::Get(request.m_headers, platform::kLastEventId).c_str(), nullptr,
      10);
  wire::ResponseHead head(200, AnswerHeaders(request, *replica));
  head.m_headers["content-type"] = "text/event-stream";
  if (replica->m_prefill_duration > Duration())
    co_await Sleep(replica->m_prefill_duration);
  if (!co_await writer.Start(std::move(head)))
    co_return;
  if (Crashes(*replica, request)) {
    co_await Sleep(replica->m_event_interval);
    std::_Exit(1);
  }
  for (uint64_t event = after + 1; event <= events; ++event) {
    co_await Sleep(replica->m_event_interval);
    if (replica->m_loading) {
      running.MarkBrokenOff();
      co_return;
    }
    const std::string id = std::to_string(event);
    if (!co_await writer.Write("id: " + id + "\ndata: token " + id + "\n\n"))
      co_return;
  }
  if (co_await writer.Finish({}))
    running.MarkComplete();
}

/// Records the arrival of a call, and logs it for checks of runs in which
/// replicas are killed.
void RecordArrival(Replica& replica, const wire::Request& request) {
  const Arrival arrival{Now(),
                        wire::Get(request.m_headers, platform::kRequestId),
                        replica.m_rest, !replica.m_leaving_text.empty()};
  replica.m_arrivals.push_back(arrival);
  LogLine("arrived")
      .With("call", arrival.m_call)
      .With("started_ms", replica.m_started_ms)
      .With("at_ms", ToMilliseconds(arrival.m_at.time_since_epoch()))
      .With("said_leaving", arrival.m_said_leaving)
      .With("retry_after", arrival.m_retry_after)
      .Info();
}

/// Counts a call, and ends the process if it is cold and there were too many in
/// a second.
void CountColdCall(Replica& replica) {
  if (replica.m_cold_calls == 0)
    return;
  const TimePoint now = Now();
  std::deque<TimePoint>& counted = replica.m_counted;
  counted.push_back(now);
  if (counted.size() <= replica.m_cold_calls)
    return;
  const bool too_many = now - counted.front() < 1s;
  counted.pop_front();
  if (!too_many || ColdLeft(replica) == Duration())
    return;
  LogLine("cold_overrun").With("calls", uint64_t{counted.size() + 1}).Error();
  std::_Exit(1);
}

/// Whether number `number`, from 1, is among the `percent` in 100 that are
/// chosen, spread evenly.
bool IsChosen(uint64_t number, uint32_t percent) {
  return number * percent / 100 != (number - 1) * percent / 100;
}

/// Runs the call and ends it with the replica's own status.
Awaitable<void> FailRun(std::shared_ptr<Replica> replica,
                        const wire::Request& request,
                        wire::ResponseWriter& writer) {
  const int status = replica->m_failed_status;
  RunScope running(*replica, request);
  running.MarkFailed(status);
  if (replica->m_call_duration > Duration())
    co_await Sleep(replica->m_call_duration);
  wire::Response response(status, AnswerHeaders(request, *replica),
                          "failed: " + request.m_path);
  co_await writer.Send(std::move(response));
}

Awaitable<void> Call(std::shared_ptr<Replica> replica,
                     const wire::Request& request,
                     wire::ResponseWriter& writer) {
  RecordArrival(*replica, request);
  const std::string expected =
      wire::Get(request.m_headers, platform::kExpectReplica);
  if (!expected.empty() && expected != replica->m_id) {
    co_await writer.Send(NotRun(421, *replica));
    co_return;
  }
  const std::string weights =
      wire::Get(request.m_headers, platform::kExpectWeights);
  if (!weights.empty() && weights != std::to_string(replica->m_version)) {
    co_await writer.Send(NotRun(421, *replica));
    co_return;
  }
  CountColdCall(*replica);
  if (IsChosen(replica->m_arrivals.size(), replica->m_cut_percent))
    co_return;
  if (!replica->m_rest.empty()) {
    wire::Response response = NotRun(503, *replica);
    response.m_headers["retry-after"] = replica->m_rest;
    co_await writer.Send(std::move(response));
    co_return;
  }
  const bool engine = !replica->m_model.empty();
  if (replica->m_active >= replica->m_slots ||
      (engine && replica->m_version == 0)) {
    co_await writer.Send(NotRun(503, *replica));
    co_return;
  }
  if (IsChosen(replica->m_runs + 1, replica->m_failed_percent)) {
    co_await FailRun(replica, request, writer);
    co_return;
  }
  if (engine) {
    co_await Stream(replica, request, writer);
    co_return;
  }
  RunScope running(*replica, request);
  if (replica->m_call_duration > Duration())
    co_await Sleep(replica->m_call_duration);
  wire::Response response(200, AnswerHeaders(request, *replica),
                          "ran: " + request.m_path);
  if (co_await writer.Send(std::move(response)))
    running.MarkComplete();
}

std::string EncodeState(const Replica& replica) {
  return boost::json::serialize(
      boost::json::object{{"version", replica.m_version},
                          {"runs", replica.m_runs},
                          {"active", replica.m_active},
                          {"orders", replica.m_accepted_orders},
                          {"bad_loads", replica.m_bad_loads}});
}

std::string EncodeArrivals(const Replica& replica) {
  boost::json::array arrivals;
  for (const Arrival& arrival : replica.m_arrivals)
    arrivals.push_back(ToMilliseconds(arrival.m_at.time_since_epoch()));
  return boost::json::serialize(arrivals);
}

std::string EncodeCallLog(const Replica& replica) {
  boost::json::array calls;
  for (const Arrival& arrival : replica.m_arrivals) {
    calls.push_back(boost::json::object{
        {"at_ms", ToMilliseconds(arrival.m_at.time_since_epoch())},
        {"call", arrival.m_call},
        {"retry_after", arrival.m_retry_after},
        {"said_leaving", arrival.m_said_leaving}});
  }
  return boost::json::serialize(calls);
}

/// Reads the status with which runs fail, and the percentage of them; an empty
/// text: none does.
void SetFailures(Replica& replica, const std::string& text) {
  char* rest = nullptr;
  const auto status = static_cast<int>(std::strtol(text.c_str(), &rest, 10));
  replica.m_failed_status = status;
  replica.m_failed_percent =
      static_cast<uint32_t>(std::strtoul(rest, nullptr, 10));
}

/// Sets what the replica states of itself from the body of a request to
/// `path`. False: there is no such statement.
bool SetStatement(Replica& replica,
                  const std::string& path,
                  const std::string& body) {
  if (path == "/limit")
    replica.m_rate_limit = body;
  else if (path == "/leaving")
    replica.m_leaving_text = body;
  else if (path == "/leave")
    replica.m_leaving = true;
  else if (path == "/cold")
    replica.m_cold_until =
        Now() + std::chrono::milliseconds(std::atoll(body.c_str()));
  else if (path == "/rest")
    replica.m_rest = body;
  else if (path == "/fail")
    SetFailures(replica, body);
  else if (path == "/cut")
    replica.m_cut_percent =
        static_cast<uint32_t>(std::strtoul(body.c_str(), nullptr, 10));
  else
    return false;
  return true;
}

Awaitable<void> Serve(std::shared_ptr<Replica> replica,
                      const wire::Request& request,
                      wire::ResponseWriter& writer) {
  const std::string& path = request.m_path;
  wire::Response response(404, {}, "");
  if (path == "/report") {
    response = wire::JsonResponse(200, EncodeReport(*replica));
    AddStatements(*replica, response.m_headers);
  } else if (path == "/state") {
    response = wire::JsonResponse(200, EncodeState(*replica));
  } else if (path == "/arrivals") {
    response = wire::JsonResponse(200, EncodeArrivals(*replica));
  } else if (path == "/call-log") {
    response = wire::JsonResponse(200, EncodeCallLog(*replica));
  } else if (SetStatement(*replica, path, request.m_body)) {
    response = wire::Response(200, {}, "");
  } else if (path == "/order") {
    response = co_await Order(replica, request.m_body);
  } else if (path.starts_with("/stage-put/")) {
    replica->m_staged[static_cast<uint32_t>(Number(request, "num"))] =
        request.m_body;
    response = wire::Response(200, {}, "");
  } else if (path.starts_with("/stage-get/")) {
    const auto found =
        replica->m_staged.find(static_cast<uint32_t>(Number(request, "num")));
    if (found != replica->m_staged.end())
      response = wire::Response(200, {}, found->second);
  } else {
    co_await Call(replica, request, writer);
    co_return;
  }
  co_await writer.Send(std::move(response));
}

}  // namespace

wire::Handler MakeReplicaHandler(std::shared_ptr<Replica> replica) {
  return [replica](const wire::Request& request, wire::ResponseWriter& writer) {
    return Serve(replica, request, writer);
  };
}

Awaitable<void> RegisterPeriodically(std::shared_ptr<Replica> replica) {
  http::Client http;
  Metrics metrics;
  platform::Store store(http, replica->m_store, metrics);
  while (true) {
    auto written = co_await store.Write(platform::kReplicaTable, "",
                                        replica->m_id, EncodeRow(*replica));
    if (!written)
      LogLine("not_registered").With(written.error()).Debug();
    co_await Sleep(kHeartbeatInterval);
  }
}

}  // namespace verbenalead::standins
