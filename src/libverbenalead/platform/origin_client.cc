#include "platform/origin_client.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "platform/json_read.h"
#include "wire/request_target.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

/// Longest answer: a chunk of weights, or the digests of all chunks.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

Result<std::vector<Digest>> DecodeDigests(const std::string& body,
                                          uint64_t version) {
  const auto object = ReadObject(body);
  const json::array* list = object ? ReadList(*object, "digests") : nullptr;
  if (!list || ReadCount(*object, "version") != version) {
    return boost::leaf::new_error(
        Failure{FailureCode::kCorrupt, "read manifest", "",
                "it is no manifest of version " + std::to_string(version)});
  }
  std::vector<Digest> digests;
  for (const json::value& item : *list) {
    if (!item.is_string()) {
      return boost::leaf::new_error(Failure{
          FailureCode::kCorrupt, "read manifest", "", "a digest is no text"});
    }
    BOOST_LEAF_AUTO(digest, ParseDigest(std::string_view(item.as_string())));
    digests.push_back(digest);
  }
  return digests;
}

}  // namespace

Awaitable<AsyncResult<std::string>> OriginClient::Get(Endpoint origin,
                                                      std::string path,
                                                      TimePoint deadline) {
  wire::Request request;
  request.m_path = std::move(path);
  const std::string step = "GET " + request.m_path;
  auto response = co_await wire::Fetch(m_http, origin, std::move(request),
                                       deadline, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (response->m_status == kOk)
    co_return std::move(response->m_body);
  const bool not_found =
      response->m_status == kNotFound || response->m_status == kGone;
  co_return Failure{not_found ? FailureCode::kNotFound : FailureCode::kRefused,
                    step, ToString(origin),
                    "status " + std::to_string(response->m_status)};
}

Awaitable<AsyncResult<std::vector<Digest>>> OriginClient::ReadDigests(
    Endpoint origin,
    std::string model,
    uint64_t version,
    TimePoint deadline) {
  auto body = co_await Get(origin,
                           wire::RequestTarget("/manifest")
                               .Segment(model)
                               .Field("version", version)
                               .Build(),
                           deadline);
  if (!body)
    co_return body.error();
  auto digests = CatchFailure([&] { return DecodeDigests(*body, version); });
  if (!digests)
    digests.error().m_peer = ToString(origin);
  co_return digests;
}

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
OriginClient::OpenChunk(Endpoint origin,
                        std::string model,
                        uint64_t version,
                        uint32_t chunk,
                        TimePoint deadline) {
  wire::Request request;
  request.m_path = wire::RequestTarget("/piece")
                       .Segment(model)
                       .Field("num", chunk)
                       .Field("version", version)
                       .Build();
  co_return co_await m_http.Open(origin, std::move(request), deadline);
}

}  // namespace verbenalead::platform
