#include "daemon/target_peer_api.h"

#include <algorithm>
#include <cstdlib>

#include "base/catch_failure.h"
#include "base/sleep.h"
#include "daemon/transfer_messages.h"
#include "decide/membership/report_change.h"
#include "peer/header_names.h"
#include "wire/request_target.h"

namespace verbenalead::daemon {
namespace {

using Context = std::shared_ptr<const TargetPeerContext>;

constexpr std::string_view kHave = "/v1/have/";
constexpr std::string_view kChunk = "/v1/chunk/";
constexpr std::string_view kManifest = "/v1/manifest/";
constexpr std::string_view kTrace = "/v1/trace/";
constexpr std::string_view kWeights = "/weights/";
/// Interval at which newly arrived chunks are announced to a follower. It is
/// less than half of the time that a chunk takes on the intended links, and
/// limits the rate to 20 messages per second.
constexpr Duration kUpdateSendInterval = 50ms;
/// How long a request to follow a version waits for the version's manifest. A
/// new version reaches the hosts within seconds of each other.
constexpr Duration kManifestWaitLimit = 30s;
/// Longest time that a request for the status is held open, and the interval at
/// which the report is compared meanwhile.
constexpr unsigned long long kMaxHoldMs = 10000;
constexpr Duration kReportPollInterval = 100ms;
constexpr size_t kHexDigits = 2 * Digest::kBytes;

/// Returns the digest that follows `prefix` in `path`; empty if malformed.
Digest DigestAfter(const std::string& path, std::string_view prefix) {
  const std::string text = path.substr(prefix.size(), kHexDigits);
  auto digest = CatchFailure([&] { return ParseDigest(text); });
  return digest ? *digest : Digest();
}

Awaitable<wire::Response> ServeChunk(Context context, wire::Request request) {
  const std::string path = wire::PathOf(request);
  const Digest digest = DigestAfter(path, kChunk);
  const size_t slash = path.rfind('/');
  decide::UploadRequest upload;
  upload.m_chunk = static_cast<uint32_t>(
      std::strtoul(path.c_str() + slash + 1, nullptr, 10));
  upload.m_chunk_count = static_cast<uint32_t>(std::strtoul(
      wire::Get(request.m_headers, kHeldHeader).c_str(), nullptr, 10));
  upload.m_other_region =
      wire::Get(request.m_headers, kRegionHeader) != context->m_region;
  const WeightsStore::Chunk chunk =
      context->m_store->Get(digest, upload.m_chunk);
  if (!chunk)
    co_return wire::Response{404, {}, "not here"};
  co_await context->m_uploads->WaitForTurn(digest, upload, chunk->size());
  co_return wire::Response{200, {}, *chunk};
}

/// Sends the set of chunks that this host holds and then the number of each
/// chunk that arrives, until the version is complete. The request may arrive
/// before this host has the manifest; it then waits up to kManifestWaitLimit.
Awaitable<void> ServeFollow(Context context,
                            std::string path,
                            wire::ResponseWriter& writer) {
  const Digest digest = DigestAfter(path, kHave);
  bool alive = co_await writer.Start({200, {}});
  auto manifest = context->m_store->GetManifest(digest);
  const TimePoint wait_end = Now() + kManifestWaitLimit;
  while (alive && !manifest && Now() < wait_end) {
    co_await Sleep(kUpdateSendInterval);
    alive = !writer.disconnected();
    manifest = context->m_store->GetManifest(digest);
  }
  if (!alive || !manifest)
    co_return;
  // The count is read before the bits: a chunk that arrives between the two
  // reads is then sent twice. In the other order it would not be sent at all.
  size_t sent_count = context->m_store->ArrivalsSince(digest, 0).size();
  alive = co_await writer.Write(context->m_store->HeldChunkBits(digest));
  while (alive && sent_count < manifest->chunk_count()) {
    co_await Sleep(kUpdateSendInterval);
    std::string update;
    for (uint32_t chunk : context->m_store->ArrivalsSince(digest, sent_count)) {
      AppendNumber(update, chunk);
      ++sent_count;
    }
    if (update.empty() && !context->m_store->GetManifest(digest))
      co_return;
    alive = update.empty() ? !writer.disconnected() : alive;
    if (!update.empty())
      alive = co_await writer.Write(std::move(update));
  }
  co_await writer.Finish({});
}

wire::Response ServeTrace(const TargetPeerContext& context,
                          const std::string& request) {
  std::string body;
  for (const std::string& line : context.m_journal->Find(request))
    body += line + "\n";
  return {200, {}, std::move(body)};
}

wire::Response ServeManifest(const TargetPeerContext& context,
                             const std::string& path) {
  std::string text =
      context.m_store->ManifestText(DigestAfter(path, kManifest));
  if (text.empty())
    return {404, {}, "not here"};
  return {200, {}, std::move(text)};
}

/// Answers a long poll for the target's report. Responds as soon as the report
/// has an urgent change against the one that the client has seen. At the end of
/// the hold time it responds with any other change, or with 204 if there is
/// none. An idle target thus costs each watching client two short messages per
/// 1.5 seconds.
Awaitable<wire::Response> ServeStatus(Context context, wire::Request request) {
  using decide::ReportChange;
  const std::string seen = wire::QueryValue(request, "seen");
  const auto hold = std::chrono::milliseconds(std::min(
      kMaxHoldMs, std::strtoull(wire::QueryValue(request, "hold_ms").c_str(),
                                nullptr, 10)));
  const TimePoint wait_end = Now() + hold;
  while (true) {
    const model::TargetReport report = context->m_report();
    const std::string mark = decide::ReportMarkOf(report);
    const ReportChange change = decide::CompareMarks(mark, seen);
    const bool ended = Now() >= wait_end;
    if (change == ReportChange::kUrgent ||
        (change == ReportChange::kDeferrable && ended)) {
      wire::Response response = wire::JsonResponse(200, ToJson(report));
      response.m_headers[peer::kReportMark] = mark;
      co_return response;
    }
    if (ended)
      co_return wire::Response{204, {}, ""};
    co_await Sleep(kReportPollInterval);
  }
}

Awaitable<wire::Response> Respond(Context context, wire::Request request) {
  const std::string path = wire::PathOf(request);
  if (path == "/v1/status")
    co_return co_await ServeStatus(context, std::move(request));
  if (path == "/v1/void")
    co_return context->m_attempts->HandleVoid(request);
  if (path == "/v1/drain") {
    context->m_drain();
    co_return wire::Response{200, {}, "leaving"};
  }
  if (path.starts_with(kHave)) {
    co_return wire::Response{
        200, {}, context->m_store->HeldChunkBits(DigestAfter(path, kHave))};
  }
  if (path.starts_with(kChunk))
    co_return co_await ServeChunk(context, std::move(request));
  if (path.starts_with(kManifest))
    co_return ServeManifest(*context, path);
  if (path.starts_with(kTrace))
    co_return ServeTrace(*context, wire::NameAfter(path, kTrace));
  co_return wire::Response{404, {}, "unknown path"};
}

Awaitable<void> Answer(Context context,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path == "/v1/attempt") {
    co_await context->m_attempts->Serve(request, writer);
    co_return;
  }
  const std::string path = wire::PathOf(request);
  if (path.starts_with(kHave) && !wire::QueryValue(request, "follow").empty()) {
    co_await ServeFollow(context, path, writer);
    co_return;
  }
  wire::Response response = co_await Respond(context, request);
  co_await writer.Send(std::move(response));
}

wire::Response MetricsResponse(std::string text) {
  wire::Response response{200, {}, std::move(text)};
  response.m_headers["content-type"] = "text/plain; version=0.0.4";
  return response;
}

Awaitable<void> AnswerWeights(const WeightsStore& store,
                              std::function<std::string()> metrics,
                              const wire::Request& request,
                              wire::ResponseWriter& writer) {
  const std::string path = wire::PathOf(request);
  if (path == "/metrics") {
    wire::Response response = MetricsResponse(metrics());
    co_await writer.Send(std::move(response));
    co_return;
  }
  if (!path.starts_with(kWeights)) {
    co_await writer.Send({404, {}, "unknown path"});
    co_return;
  }
  const Digest digest = DigestAfter(path, kWeights);
  const auto manifest = store.GetManifest(digest);
  if (!manifest || store.HeldChunkCount(digest) != manifest->chunk_count()) {
    co_await writer.Send({404, {}, "not whole here"});
    co_return;
  }
  bool alive = co_await writer.Start({200, {}});
  for (uint32_t i = 0; alive && i < manifest->chunk_count(); ++i) {
    const WeightsStore::Chunk chunk = store.Get(digest, i);
    if (!chunk)
      co_return;
    alive = co_await writer.Write(*chunk);
  }
  co_await writer.Finish({});
}

}  // namespace

wire::Handler MakeTargetPeerApi(TargetPeerContext context) {
  auto shared = std::make_shared<const TargetPeerContext>(std::move(context));
  return [shared](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(shared, request, writer);
  };
}

wire::Handler MakeWeightsApi(const WeightsStore& store,
                             std::function<std::string()> metrics) {
  return [&store, metrics = std::move(metrics)](const wire::Request& request,
                                                wire::ResponseWriter& writer) {
    return AnswerWeights(store, metrics, request, writer);
  };
}

}  // namespace verbenalead::daemon
