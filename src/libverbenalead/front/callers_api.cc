#include "front/callers_api.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "front/call_parser.h"
#include "front/problem.h"
#include "peer/header_names.h"

namespace verbenalead::front {
namespace {

namespace json = boost::json;

wire::Response EntriesResponse(const CallersContext& context) {
  json::array addresses;
  for (const std::string& address : context.m_entries())
    addresses.emplace_back(address);
  const int64_t seconds = ToMilliseconds(kEntriesTtl) / 1000;
  wire::Response response = wire::JsonResponse(
      200, json::serialize(json::object{{"entries", std::move(addresses)},
                                        {"ttl_seconds", seconds}}) +
               "\n");
  response.m_headers["cache-control"] = "max-age=" + std::to_string(seconds);
  return response;
}

Problem ProblemFor(const Failure& failure, const std::string& id) {
  Problem problem;
  problem.m_reason = failure.m_reason;
  problem.m_request = id;
  problem.m_status = failure.m_code == FailureCode::kNotFound ? 404 : 400;
  return problem;
}

/// Answers a request that is not a call; nullopt for a call.
std::optional<wire::Response> ResponseWithoutCall(
    const CallersContext& context,
    const wire::Request& request) {
  const std::string path = wire::PathOf(request);
  if (path == "/healthz")
    return context.m_stopping() ? wire::Response{503, {}, "stopping\n"}
                                : wire::Response{200, {}, "ok\n"};
  if (path == "/v1/entries")
    return EntriesResponse(context);
  if (path == "/metrics")
    return wire::Response{200,
                          {{"content-type", "text/plain; version=0.0.4"}},
                          context.m_metrics()};
  return std::nullopt;
}

Awaitable<void> Answer(std::shared_ptr<const CallersContext> context,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (auto response = ResponseWithoutCall(*context, request)) {
    co_await writer.Send(std::move(*response));
    co_return;
  }
  const auto config = context->m_config();
  const std::string id = context->m_new_id();
  auto call =
      CatchFailure([&] { return ParseCall(request, *config, id, Now()); });
  if (!call) {
    LogLine("call_refused")
        .With("request", id)
        .With("peer", request.m_peer)
        .With("reason", call.error().m_reason)
        .Info();
    co_await writer.Send(ToResponse(ProblemFor(call.error(), id)));
    co_return;
  }
  wire::Request forwarded = request;
  forwarded.m_path = TargetPath(request);
  co_await context->m_runner->Run(std::move(*call), std::move(forwarded),
                                  writer);
}

}  // namespace

wire::Handler MakeCallersApi(CallersContext context) {
  auto shared = std::make_shared<const CallersContext>(std::move(context));
  return [shared](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(shared, request, writer);
  };
}

}  // namespace verbenalead::front
