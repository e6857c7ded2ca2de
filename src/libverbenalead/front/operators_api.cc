#include "front/operators_api.h"

#include <boost/json.hpp>
#include <charconv>

#include "base/catch_failure.h"
#include "front/trace_summary.h"
#include "model/json_fields.h"
#include "wire/request_target.h"

namespace verbenalead::front {
namespace {

namespace json = boost::json;

using Context = std::shared_ptr<const OperatorsContext>;

constexpr std::string_view kResources = "/v1/resources";
constexpr std::string_view kTrace = "/v1/trace/";
constexpr std::string_view kDrain = "/v1/drain/";
/// A watch sends an empty line as a heartbeat after this long without a change.
constexpr Duration kWatchHeartbeat = 5s;

wire::Response Error(int status, const std::string& reason) {
  return wire::JsonResponse(
      status, json::serialize(json::object{{"error", reason}}) + "\n");
}

int StatusFor(const Failure& failure) {
  switch (failure.m_code) {
    case FailureCode::kInvalid:
      return 400;
    case FailureCode::kNotFound:
      return 404;
    case FailureCode::kConflict:
      return 409;
    case FailureCode::kTimeout:
      return 504;
    default:
      return 503;
  }
}

wire::Response ErrorFor(const Failure& failure, const std::string& operation) {
  json::object body{{"error", ToString(failure)}};
  if (!operation.empty())
    body["operation"] = operation;
  // Status 504 means that the write may have taken effect, 503 that it has not.
  return wire::JsonResponse(StatusFor(failure), json::serialize(body) + "\n");
}

json::object ShowResource(const model::ResourceKey& key,
                          const decide::ActiveResource& resource) {
  boost::system::error_code ignored;
  return {{"kind", key.m_kind},
          {"name", key.m_name},
          {"revision", resource.m_revision},
          {"spec", json::parse(resource.m_spec, ignored)}};
}

json::object ShowChange(const model::Change& change) {
  boost::system::error_code ignored;
  return {{"revision", change.m_revision},
          {"kind", change.m_key.m_kind},
          {"name", change.m_key.m_name},
          {"deleted", change.m_deleted},
          {"operation", change.m_operation},
          {"operator", change.m_operator},
          {"spec", json::parse(change.m_spec, ignored)}};
}

/// Splits "/v1/resources/KIND/NAME"; missing parts are empty.
model::ResourceKey KeyOf(const std::string& path) {
  std::string rest = path.substr(kResources.size());
  if (!rest.empty())
    rest.erase(0, 1);
  const size_t slash = rest.find('/');
  if (slash == std::string::npos)
    return {wire::NameAfter(rest, ""), ""};
  return {wire::NameAfter(rest.substr(0, slash), ""),
          wire::NameAfter(rest.substr(slash + 1), "")};
}

wire::Response ListResources(const OperatorsContext& context,
                             const model::ResourceKey& filter) {
  const auto config = context.m_config();
  json::array items;
  for (const auto& [key, resource] : config->m_resources) {
    if (filter.m_kind.empty() || filter.m_kind == key.m_kind)
      items.push_back(ShowResource(key, resource));
  }
  return wire::JsonResponse(
      200, json::serialize(json::object{{"revision", config->m_revision},
                                        {"items", std::move(items)}}) +
               "\n");
}

wire::Response GetResource(const OperatorsContext& context,
                           const model::ResourceKey& key) {
  const auto config = context.m_config();
  auto found = config->m_resources.find(key);
  if (found == config->m_resources.end())
    return Error(404, ToString(key) + " is not declared");
  return wire::JsonResponse(
      200, json::serialize(ShowResource(key, found->second)) + "\n");
}

Result<uint64_t> ParseRevision(const std::string& text) {
  uint64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return model::BadField("revision", "a whole number");
  return value;
}

Result<model::ResourceWrite> ReadWrite(const OperatorsContext& context,
                                       const wire::Request& request) {
  model::ResourceWrite write;
  write.m_key = KeyOf(wire::PathOf(request));
  write.m_deleted = request.m_method == "DELETE";
  write.m_spec = write.m_deleted ? "{}" : request.m_body;
  write.m_operator = wire::Get(request.m_headers, "x-operator");
  write.m_operation = wire::Get(request.m_headers, "x-operation-id");
  if (write.m_operation.empty())
    write.m_operation = context.m_new_id();
  const std::string match = wire::Get(request.m_headers, "if-match");
  if (!match.empty()) {
    BOOST_LEAF_AUTO(revision, ParseRevision(match));
    write.m_expected_revision = revision;
  }
  if (!write.m_deleted)
    BOOST_LEAF_CHECK(model::CheckSpec(write.m_key, write.m_spec));
  return write;
}

Awaitable<wire::Response> Write(Context context, wire::Request request) {
  auto write = CatchFailure([&] { return ReadWrite(*context, request); });
  if (!write)
    co_return ErrorFor(write.error(), "");
  const std::string operation = write->m_operation;
  auto accepted = co_await context->m_commit(std::move(*write));
  if (!accepted)
    co_return ErrorFor(accepted.error(), operation);
  json::object body = ShowChange(accepted->m_change);
  body["held_by"] = accepted->m_received_by;
  // 202: the change is committed, but no other entry is known to have it until
  // the entries that read the table do so again.
  const bool hidden =
      accepted->m_received_by == 0 && accepted->m_other_entries > 0;
  co_return wire::JsonResponse(hidden ? 202 : 200,
                               json::serialize(body) + "\n");
}

wire::Response Status(const OperatorsContext& context) {
  json::array targets;
  for (const model::TargetReport& report : context.m_targets()) {
    boost::system::error_code ignored;
    targets.push_back(json::parse(ToJson(report), ignored));
  }
  return wire::JsonResponse(
      200,
      json::serialize(json::object{{"host", context.m_host},
                                   {"revision", context.m_config()->m_revision},
                                   {"targets", std::move(targets)}}) +
          "\n");
}

Awaitable<wire::Response> Trace(Context context, std::string request_id) {
  const auto lines = co_await context->m_trace(request_id);
  if (lines.empty())
    co_return Error(404, "nothing is known of request " + request_id);
  json::array out;
  for (const std::string& line : lines)
    out.emplace_back(line);
  co_return wire::JsonResponse(
      200, json::serialize(json::object{{"request", request_id},
                                        {"summary", SummarizeTrace(lines)},
                                        {"lines", std::move(out)}}) +
               "\n");
}

Awaitable<wire::Response> Drain(Context context, std::string target) {
  auto drained = co_await context->m_drain(target);
  if (!drained)
    co_return ErrorFor(drained.error(), "");
  co_return wire::JsonResponse(
      200, json::serialize(json::object{{"draining", target}}) + "\n");
}

Awaitable<void> Watch(Context context,
                      uint64_t after,
                      wire::ResponseWriter& writer) {
  if (!context->m_changes(after)) {
    co_await writer.Send(Error(410, "the revision is too old; list again"));
    co_return;
  }
  wire::ResponseHead head{200, {}};
  head.m_headers["content-type"] = "application/x-ndjson";
  bool alive = co_await writer.Start(std::move(head));
  while (alive) {
    const auto changes = context->m_changes(after);
    if (!changes) {
      // The watcher reads more slowly than changes arrive, and has to list the
      // resources again.
      co_await writer.Write("{\"error\":\"410 the revision is too old\"}\n");
      co_return;
    }
    std::string lines;
    for (const model::Change& change : *changes) {
      lines += json::serialize(ShowChange(change)) + "\n";
      after = change.m_revision;
    }
    if (lines.empty())
      lines = "\n";
    alive = co_await writer.Write(std::move(lines));
    co_await context->m_wait_for_newer_revision(after, Now() + kWatchHeartbeat);
  }
}

Awaitable<wire::Response> Respond(Context context, wire::Request request) {
  const std::string path = wire::PathOf(request);
  if (path.starts_with(kResources)) {
    const model::ResourceKey key = KeyOf(path);
    if (request.m_method == "PUT" || request.m_method == "DELETE")
      co_return co_await Write(context, std::move(request));
    if (request.m_method != "GET")
      co_return Error(405, "use GET, PUT or DELETE");
    co_return key.m_name.empty() ? ListResources(*context, key)
                                 : GetResource(*context, key);
  }
  if (path == "/v1/status")
    co_return Status(*context);
  if (path.starts_with(kTrace))
    co_return co_await Trace(context, wire::NameAfter(path, kTrace));
  if (path.starts_with(kDrain) && request.m_method == "POST")
    co_return co_await Drain(context, wire::NameAfter(path, kDrain));
  co_return Error(404, "unknown path " + path);
}

Awaitable<void> Answer(Context context,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (wire::PathOf(request) == "/v1/watch") {
    auto after = CatchFailure(
        [&] { return ParseRevision(wire::QueryValue(request, "after")); });
    co_await Watch(context, after ? *after : context->m_config()->m_revision,
                   writer);
    co_return;
  }
  wire::Response response = co_await Respond(context, request);
  co_await writer.Send(std::move(response));
}

}  // namespace

wire::Handler MakeOperatorsApi(OperatorsContext context) {
  auto shared = std::make_shared<const OperatorsContext>(std::move(context));
  return [shared](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(shared, request, writer);
  };
}

}  // namespace verbenalead::front
