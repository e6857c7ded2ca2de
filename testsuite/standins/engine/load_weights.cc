#include "standins/engine/load_weights.h"

#include <algorithm>
#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "base/sha256_hasher.h"

namespace verbenalead::standins {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr Duration kTimeout = std::chrono::minutes(5);
constexpr size_t kLengthBytes = 8;
constexpr uint64_t kMaxHeader = uint64_t{100} << 20;

/// Collects and checks the safetensors header at the start of a file: an 8-byte
/// little-endian length, followed by that many bytes of JSON.
class HeaderCheck {
 public:
  void Add(const std::string& piece) {
    if (m_bytes.size() < kLengthBytes + std::min(Length(), kMaxHeader))
      m_bytes += piece;
  }

  bool Good() const {
    const uint64_t length = Length();
    if (length == 0 || m_bytes.size() < kLengthBytes + length)
      return false;
    boost::system::error_code error;
    const auto header = boost::json::parse(
        std::string_view(m_bytes).substr(kLengthBytes, length), error);
    return !error && header.is_object();
  }

 private:
  uint64_t Length() const {
    if (m_bytes.size() < kLengthBytes)
      return kLengthBytes;
    uint64_t length = 0;
    for (size_t i = kLengthBytes; i-- > 0;)
      length = length << 8 | static_cast<unsigned char>(m_bytes[i]);
    return length;
  }

  std::string m_bytes;
};

}  // namespace

Awaitable<AsyncResult<Digest>> LoadWeights(wire::Client& client,
                                           std::string url) {
  const size_t slash = url.find('/', kScheme.size());
  const std::string address =
      url.substr(kScheme.size(), slash - kScheme.size());
  auto endpoint = CatchFailure([&] { return ParseEndpoint(address); });
  if (!endpoint)
    co_return endpoint.error();
  wire::Request request;
  request.m_path = url.substr(slash);
  const TimePoint deadline = Now() + kTimeout;
  auto opened = co_await client.Open(*endpoint, std::move(request), deadline);
  if (!opened)
    co_return opened.error();
  auto head = co_await (*opened)->ReadHead(deadline);
  if (!head)
    co_return head.error();
  if (head->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "load", address,
                      "status " + std::to_string(head->m_status)};
  }
  Sha256Hasher hasher;
  HeaderCheck header;
  while (true) {
    auto piece = co_await (*opened)->ReadBody(deadline);
    if (!piece)
      co_return piece.error();
    if (!piece->has_value())
      break;
    hasher.Update(**piece);
    header.Add(**piece);
  }
  if (!header.Good()) {
    co_return Failure{FailureCode::kCorrupt, "load", address,
                      "not in the safetensors layout"};
  }
  co_return hasher.Finish();
}

}  // namespace verbenalead::standins
